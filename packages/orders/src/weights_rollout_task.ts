/**
 * Claims the rollout lease and brings engines to new weights while it is held.
 *
 * @module
 */

import { delay, type Scheduler, steadyMs } from "@endivebend/clock";
import type { BackendServerId, ModelName } from "@endivebend/types";
import { RolloutLease, type RolloutLeaseOptions } from "./rollout_lease.ts";
import {
  type OrderAnswer,
  planRolloutOrders,
  type RolloutEngine,
  type RolloutOrderClient,
} from "./weights_rollout.ts";

/** Dependencies of the task. */
export interface WeightsRolloutOptions extends RolloutLeaseOptions {
  readonly scheduler: Scheduler;
  readonly orders: RolloutOrderClient;
  /** Engines of models for which the operator has named weights. */
  engines(): readonly RolloutEngine[];
  /** Called when an engine is about to be ordered, or has loaded, weights. */
  onWeightsChange(update: {
    readonly server: BackendServerId;
    readonly model: ModelName;
    readonly weights: number;
    readonly isDone: boolean;
  }): void;
}

const TICK_INTERVAL_MS = 50;
/** An engine takes 390 ms to load weights; an earlier check can't succeed. */
const FIRST_CHECK_DELAY_MS = 400;
const CHECK_INTERVAL_MS = 250;
/** Running requests of up to 218 tokens end within 3 s; then the load begins. */
const LOAD_TIMEOUT_MS = 6_000;
/** Delay before a retry; the engine's state is read before the next order. */
const RETRY_DELAY_MS = 400;
/** Delay before the next order to an engine that did not answer or refused. */
const SILENT_ENGINE_DELAY_MS = 1_000;

/** The running task; one runs in every daemon. */
export class WeightsRolloutTask {
  readonly #options: WeightsRolloutOptions;
  readonly #inProgress = new Set<BackendServerId>();
  readonly #nextOrderAtMs = new Map<BackendServerId, number>();
  /** Engines that did not answer, or refused, the latest report or order. */
  readonly #silent = new Set<BackendServerId>();
  readonly #lease: RolloutLease;
  /** Orders that are about to be sent. */
  #preparing = 0;
  #isAdvancing = false;
  #hasStopped = false;

  constructor(options: WeightsRolloutOptions) {
    this.#options = options;
    this.#lease = new RolloutLease(options);
  }

  /** The epoch under which this daemon holds the lease; 0 when it does not. */
  get epoch(): number {
    return this.#lease.epoch;
  }

  /** Whether this daemon holds the lease, and no other one can by now. */
  get isLeaseFresh(): boolean {
    return this.#lease.isFresh;
  }

  /** The newest known end of the lease's log, for peers; 0 when unknown. */
  get leaseLogEnd(): number {
    return this.#lease.logEnd;
  }

  /** Takes note of an end of the lease's log that a peer has told of. */
  noteLeaseLogEnd(end: number): void {
    this.#lease.noteLogEnd(end);
  }

  start(): void {
    this.#tick();
  }

  /** Ends the lease; orders in progress are left to the next holder. */
  stop(): void {
    this.#hasStopped = true;
    this.#lease.release("the daemon stops").catch((caught: Error) => {
      this.#logFailure(caught);
    });
  }

  #tick(): void {
    if (this.#hasStopped) return;
    this.#options.scheduler.after(TICK_INTERVAL_MS, () => this.#tick());
    if (this.#isAdvancing) return;
    this.#isAdvancing = true;
    this.#advance().catch((caught: Error) => {
      this.#logFailure(caught);
    }).finally(() => {
      this.#isAdvancing = false;
    });
  }

  #logFailure({ message: reason }: Error): void {
    this.#options.logDecision("duty_failed", { reason });
  }

  async #advance(): Promise<void> {
    const next = this.epoch > 0 ? this.#nextEngines() : [];
    const needsOrders = this.#preparing > 0 || next.length > 0;
    await this.#lease.advance({ needsOrders });
    if (!this.#lease.mayOrder(this.epoch)) return;
    for (const engine of next) void this.#rollOut(engine);
  }

  #nextEngines(): RolloutEngine[] {
    const nowMs = this.#options.clock.elapsedMs();
    for (const [id, atMs] of this.#nextOrderAtMs) {
      if (nowMs >= atMs) this.#nextOrderAtMs.delete(id);
    }
    return planRolloutOrders(this.#options.engines(), this.#inProgress, {
      postponed: new Set(this.#nextOrderAtMs.keys()),
      silent: this.#silent,
      nowMs: steadyMs(this.#options.clock),
    });
  }

  async #rollOut(engine: RolloutEngine): Promise<void> {
    this.#inProgress.add(engine.id);
    try {
      await this.#orderAndAwaitLoad(engine);
    } catch (caught) {
      this.#options.logDecision("order_failed", {
        server: engine.id,
        reason: (caught as Error).message,
      });
      this.#delaySilentEngine(engine);
    } finally {
      this.#inProgress.delete(engine.id);
    }
  }

  async #orderAndAwaitLoad(engine: RolloutEngine): Promise<void> {
    const { orders, self } = this.#options;
    const weights = engine.namedWeights;
    const epoch = this.epoch;
    this.#preparing += 1;
    const report = await orders.report(engine).finally(() => {
      this.#preparing -= 1;
    });
    if (report === undefined) return this.#delaySilentEngine(engine);
    this.#silent.delete(engine.id);
    if ((report.weights.get(engine.model) ?? 0) >= weights) {
      return this.#reportDone(engine, weights);
    }
    if (report.isBusy) return await this.#awaitLoad(engine);
    const maySend = () => {
      if (!this.#lease.mayOrder(epoch)) return false;
      this.#lease.noteOrder();
      return true;
    };
    if (!this.#lease.mayOrder(epoch)) return;
    this.#reportProgress(engine, { weights, isDone: false });
    const answer = await orders.order(engine, {
      model: engine.model,
      weights,
      epoch,
      holder: self,
      acceptedOrders: report.acceptedOrders,
      maySend,
    });
    this.#options.logDecision("order", {
      server: engine.id,
      model: engine.model,
      weights,
      epoch,
      answer,
    });
    if (answer === "fenced") {
      return this.#lease.end("an engine knows a later epoch", epoch);
    }
    await this.#answerHandlers[answer](engine);
  }

  readonly #answerHandlers: Readonly<
    Record<
      Exclude<OrderAnswer, "fenced">,
      (engine: RolloutEngine) => Promise<void> | void
    >
  > = {
    accepted: (engine) => this.#awaitLoad(engine),
    already_holds: (engine) => this.#reportDone(engine, engine.namedWeights),
    // An order without an answer may have been accepted. Its state is polled,
    // and a retry carries the engine's new count of accepted orders.
    unknown: (engine) => this.#awaitLoad(engine),
    conflict: ({ id }) => this.#delayNextOrder(id, RETRY_DELAY_MS),
    misdirected: (engine) => this.#delaySilentEngine(engine),
    refused: (engine) => this.#delaySilentEngine(engine),
  };

  /**
   * Polls the engine until it has the weights, is idle without them, does not
   * answer, or {@link LOAD_TIMEOUT_MS} have passed.
   */
  async #awaitLoad(engine: RolloutEngine): Promise<void> {
    const { orders, clock, scheduler } = this.#options;
    const untilMs = clock.elapsedMs() + LOAD_TIMEOUT_MS;
    await delay(scheduler, FIRST_CHECK_DELAY_MS);
    while (clock.elapsedMs() < untilMs && !this.#hasStopped) {
      const report = await orders.report(engine);
      const weights = report?.weights.get(engine.model) ?? 0;
      if (weights >= engine.namedWeights) {
        return this.#reportDone(engine, weights);
      }
      if (report === undefined) return this.#delaySilentEngine(engine);
      if (!report.isBusy) break;
      await delay(scheduler, CHECK_INTERVAL_MS);
    }
    this.#delayNextOrder(engine.id, RETRY_DELAY_MS);
  }

  #delaySilentEngine({ id }: RolloutEngine): void {
    this.#silent.add(id);
    this.#delayNextOrder(id, SILENT_ENGINE_DELAY_MS);
  }

  #reportDone(engine: RolloutEngine, weights: number): void {
    const { id: server, model } = engine;
    this.#options.logDecision("weights_done", { server, model, weights });
    this.#reportProgress(engine, { weights, isDone: true });
  }

  #reportProgress(
    engine: RolloutEngine,
    state: { readonly weights: number; readonly isDone: boolean },
  ): void {
    const { id: server, model } = engine;
    this.#options.onWeightsChange({ server, model, ...state });
  }

  #delayNextOrder(id: BackendServerId, delayMs: number): void {
    this.#nextOrderAtMs.set(id, this.#options.clock.elapsedMs() + delayMs);
  }
}
