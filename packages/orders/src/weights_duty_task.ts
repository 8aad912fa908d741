/**
 * Holds the duty to bring engines to new weights and carries it out.
 *
 * @module
 */

import { type Clock, pause, type Scheduler } from "@endivebend/clock";
import type { BackendServerId, ModelName, VmId } from "@endivebend/types";
import {
  type ClaimInput,
  type DutyLog,
  type EngineOrders,
  type OrderAnswer,
  type OrderedEngine,
  planWeightsOrders,
  shouldClaim,
} from "./weights_duty.ts";

/** What the task needs of its neighbours. */
export interface WeightsDutyOptions {
  readonly self: VmId;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: DutyLog;
  readonly orders: EngineOrders;
  /** Time that a former holder may go on ordering, from the site's bounds. */
  readonly leaseMs: number;
  /** Engines whose model has named weights. */
  engines(): readonly OrderedEngine[];
  /** Daemons in reach, and whether one of them holds the duty. */
  peers(): {
    readonly candidates: readonly VmId[];
    readonly holderEpoch: number;
  };
  rank: ClaimInput["rank"];
  reachesStore(): boolean;
  /** An engine begins or has ended taking weights. */
  changed(note: {
    readonly server: BackendServerId;
    readonly model: ModelName;
    readonly weights: number;
    readonly isDone: boolean;
  }): void;
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

const TICK_MS = 50;
/** The holder orders only this long after it last confirmed its epoch. */
const CONFIRMED_SHARE_OF_LEASE = 0.6;
/** Added to the lease before the first order, for clocks and messages. */
const TAKEOVER_MARGIN_MS = 200;
/** An engine loads weights in 390 ms; asking sooner is of no use. */
const FIRST_CHECK_MS = 400;
const CHECK_MS = 250;
/** Runs of up to 218 tokens end within 3 s, then the load takes its time. */
const MAX_LOAD_MS = 6_000;
/** An order without an answer may be carried out late; ask before repeating. */
const RETRY_MS = 400;
/** An engine that does not answer is left alone for this long. */
const SILENT_ENGINE_MS = 1_000;

/** The running task. */
export class WeightsDutyTask {
  readonly #options: WeightsDutyOptions;
  readonly #inProgress = new Set<BackendServerId>();
  readonly #notBeforeMs = new Map<BackendServerId, number>();
  #epoch = 0;
  #mayOrderFromMs = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #vacantSinceMs: number;
  #isTalking = false;
  #hasStopped = false;

  constructor(options: WeightsDutyOptions) {
    this.#options = options;
    this.#vacantSinceMs = options.clock.elapsedMs();
  }

  /** The epoch under which this daemon holds the duty; 0 when it does not. */
  get epoch(): number {
    return this.#epoch;
  }

  start(): void {
    this.#tick();
  }

  /** Gives the duty up; orders in progress are left to the next holder. */
  stop(): void {
    this.#hasStopped = true;
    this.#epoch = 0;
  }

  #tick(): void {
    if (this.#hasStopped) return;
    this.#options.scheduler.after(TICK_MS, () => this.#tick());
    this.#noteHolder();
    if (this.#isTalking) return;
    this.#isTalking = true;
    this.#advance().catch((caught: Error) => {
      this.#options.decision("duty_failed", { reason: caught.message });
    }).finally(() => {
      this.#isTalking = false;
    });
  }

  #noteHolder(): void {
    const nowMs = this.#options.clock.elapsedMs();
    const { holderEpoch } = this.#options.peers();
    if (holderEpoch > this.#epoch && this.#epoch > 0) {
      this.#giveUp("another daemon holds a later epoch");
    }
    if (this.#epoch > 0 || holderEpoch > 0) this.#vacantSinceMs = nowMs;
  }

  async #advance(): Promise<void> {
    if (this.#epoch === 0) return await this.#considerClaim();
    const nowMs = this.#options.clock.elapsedMs();
    if (!this.#options.reachesStore()) {
      return this.#giveUp("the store is out of reach");
    }
    if (nowMs < this.#mayOrderFromMs) return;
    const next = planWeightsOrders(this.#options.engines(), this.#inProgress)
      .filter(({ id }) => nowMs >= (this.#notBeforeMs.get(id) ?? 0));
    if (next.length === 0 || !await this.#confirm()) return;
    for (const engine of next) void this.#bring(engine);
  }

  async #considerClaim(): Promise<void> {
    const { self, log, rank, clock, leaseMs } = this.#options;
    const { candidates, holderEpoch } = this.#options.peers();
    const isDue = shouldClaim({
      self,
      reachesStore: this.#options.reachesStore(),
      candidates,
      hasHolder: holderEpoch > 0,
      vacantForMs: clock.elapsedMs() - this.#vacantSinceMs,
      rank,
    });
    if (!isDue) return;
    const result = await log.claim(self);
    this.#vacantSinceMs = clock.elapsedMs();
    this.#options.decision("duty_claim", { ...result });
    if (result.kind !== "held") return;
    this.#epoch = result.epoch;
    this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
    const isTakeover = result.previousHolder !== undefined &&
      result.previousHolder !== self;
    this.#mayOrderFromMs = isTakeover
      ? clock.elapsedMs() + leaseMs + TAKEOVER_MARGIN_MS
      : 0;
  }

  #giveUp(reason: string): void {
    this.#options.decision("duty_lost", { epoch: this.#epoch, reason });
    this.#epoch = 0;
    this.#vacantSinceMs = this.#options.clock.elapsedMs();
  }

  /** Whether the duty is held for long enough to send an order now. */
  async #confirm(): Promise<boolean> {
    const { clock, log, leaseMs } = this.#options;
    const validMs = leaseMs * CONFIRMED_SHARE_OF_LEASE;
    const askedAtMs = clock.elapsedMs();
    if (askedAtMs - this.#confirmedAtMs < validMs / 2) return true;
    const epoch = this.#epoch;
    const isHeld = await log.confirm(epoch);
    if (epoch !== this.#epoch) return false;
    if (!isHeld) {
      this.#giveUp("the store names another holder");
      return false;
    }
    this.#confirmedAtMs = askedAtMs;
    return clock.elapsedMs() - askedAtMs < validMs / 2;
  }

  async #bring(engine: OrderedEngine): Promise<void> {
    this.#inProgress.add(engine.id);
    try {
      await this.#orderAndWait(engine);
    } catch (caught) {
      this.#options.decision("order_failed", {
        server: engine.id,
        reason: (caught as Error).message,
      });
      this.#waitBeforeNext(engine.id, SILENT_ENGINE_MS);
    } finally {
      this.#inProgress.delete(engine.id);
    }
  }

  async #orderAndWait(engine: OrderedEngine): Promise<void> {
    const { orders, self, clock } = this.#options;
    const weights = engine.namedWeights;
    const report = await orders.report(engine);
    if (report === undefined) {
      return this.#waitBeforeNext(engine.id, SILENT_ENGINE_MS);
    }
    if ((report.weights.get(engine.model) ?? 0) >= weights) {
      return this.#done(engine, weights);
    }
    if (report.isBusy) return await this.#awaitLoad(engine);
    const epoch = this.#epoch;
    const isValid = epoch > 0 &&
      clock.elapsedMs() - this.#confirmedAtMs <
        this.#options.leaseMs * CONFIRMED_SHARE_OF_LEASE;
    if (!isValid) return;
    this.#note(engine, { weights, isDone: false });
    const answer = await orders.order(engine, {
      model: engine.model,
      weights,
      epoch,
      holder: self,
      acceptedOrders: report.acceptedOrders,
    });
    this.#options.decision("order", {
      server: engine.id,
      model: engine.model,
      weights,
      epoch,
      answer,
    });
    await this.#afterAnswer[answer](engine);
  }

  readonly #afterAnswer: Readonly<
    Record<OrderAnswer, (engine: OrderedEngine) => Promise<void> | void>
  > = {
    accepted: (engine) => this.#awaitLoad(engine),
    already_holds: (engine) => this.#done(engine, engine.namedWeights),
    // An order without an answer may be in progress; its count tells.
    unknown: (engine) => this.#awaitLoad(engine),
    conflict: ({ id }) => this.#waitBeforeNext(id, RETRY_MS),
    misdirected: ({ id }) => this.#waitBeforeNext(id, SILENT_ENGINE_MS),
    refused: ({ id }) => this.#waitBeforeNext(id, SILENT_ENGINE_MS),
    fenced: () => this.#giveUp("an engine knows a later epoch"),
  };

  /** Asks the engine until it has the weights or is idle without them. */
  async #awaitLoad(engine: OrderedEngine): Promise<void> {
    const { orders, clock, scheduler } = this.#options;
    const untilMs = clock.elapsedMs() + MAX_LOAD_MS;
    await pause(scheduler, FIRST_CHECK_MS);
    while (clock.elapsedMs() < untilMs && !this.#hasStopped) {
      const report = await orders.report(engine);
      const weights = report?.weights.get(engine.model) ?? 0;
      if (weights >= engine.namedWeights) return this.#done(engine, weights);
      if (report === undefined || !report.isBusy) break;
      await pause(scheduler, CHECK_MS);
    }
    this.#waitBeforeNext(engine.id, RETRY_MS);
  }

  #done(engine: OrderedEngine, weights: number): void {
    const { id: server, model } = engine;
    this.#options.decision("weights_done", { server, model, weights });
    this.#note(engine, { weights, isDone: true });
  }

  #note(
    engine: OrderedEngine,
    state: { readonly weights: number; readonly isDone: boolean },
  ): void {
    const { id: server, model } = engine;
    this.#options.changed({ server, model, ...state });
  }

  #waitBeforeNext(id: BackendServerId, delayMs: number): void {
    this.#notBeforeMs.set(id, this.#options.clock.elapsedMs() + delayMs);
  }
}
