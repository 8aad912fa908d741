/**
 * Engines in virtual time for tests of the weights rollout: their runs have to
 * end before they load weights, and they take new requests afterwards.
 *
 * @module
 */

import type { Clock, Scheduler } from "@endivebend/clock";
import {
  type BackendServerId,
  brandId,
  type ModelName,
  type VmId,
} from "@endivebend/types";
import { LeaseRecords } from "./testing_lease_log.ts";
import type {
  EngineReport,
  OrderAnswer,
  RolloutEngine,
  RolloutOrderClient,
  WeightsOrder,
} from "./weights_rollout.ts";
import { WeightsRolloutTask } from "./weights_rollout_task.ts";

const MODEL = brandId<ModelName>("m");
const HOLDER = brandId<VmId>("vm-1");
const STEP_MS = 10;
const LOAD_MS = 390;
/** Time after which an engine that answers nothing is given up. */
const CALL_TIMEOUT_MS = 700;
/** Time in which an engine that has loaded gets as many requests as before. */
const REFILL_MS = 1_000;

/** The requests that an engine has while no order is in progress. */
export interface EngineLoad {
  readonly running: number;
  /** Time until the running requests have ended. */
  readonly runsMs: number;
  /** Until when the engine answers nothing. */
  readonly darkUntilMs?: number;
}

/** State of an engine at the time of an order. */
export interface SimulatedEngine {
  readonly id: BackendServerId;
  readonly weights: number;
  readonly weightsDeadlineMs: number | undefined;
  readonly isLoading: boolean;
}

/** An accepted order, with the state of all engines just before. */
export interface RecordedOrder {
  readonly atMs: number;
  readonly id: BackendServerId;
  readonly engines: readonly SimulatedEngine[];
}

class Engine {
  readonly id: BackendServerId;
  readonly load: EngineLoad;
  weights = 1;
  acceptedOrders = 0;
  isLoading = false;
  loadedAtMs = -REFILL_MS;

  constructor(index: number, load: EngineLoad) {
    this.id = brandId<BackendServerId>(`e${index}`);
    this.load = load;
  }

  isDark(nowMs: number): boolean {
    return nowMs < (this.load.darkUntilMs ?? -Infinity);
  }

  /** Share of its usual requests that it has. */
  filledShare(nowMs: number): number {
    return Math.min(1, (nowMs - this.loadedAtMs) / REFILL_MS);
  }
}

/** Engines, the names of weights, and the holder of the rollout lease. */
export class SimulatedEngines {
  readonly orders: RecordedOrder[] = [];
  readonly #engines: readonly Engine[];
  /** When versions 2, 3 and so on are named. */
  readonly #namedAtMs: readonly number[];
  readonly #weightsBoundMs: number;
  #timers: { readonly atMs: number; readonly run: () => void }[] = [];
  #nowMs = 0;

  constructor(options: {
    readonly loads: readonly EngineLoad[];
    readonly namedAtMs: readonly number[];
    /** Time after a name when requests may no longer begin on older weights. */
    readonly weightsBoundMs: number;
  }) {
    this.#engines = options.loads.map((load, index) => new Engine(index, load));
    this.#namedAtMs = options.namedAtMs;
    this.#weightsBoundMs = options.weightsBoundMs;
  }

  /** Plays a holder that nothing disturbs. */
  async play(lengthMs: number): Promise<void> {
    const records = new LeaseRecords();
    const task = new WeightsRolloutTask({
      self: HOLDER,
      incarnation: "first",
      clock: this.#clock(),
      scheduler: this.#scheduler(),
      log: {
        read: () => Promise.resolve(records.read()),
        append: (record, end) => Promise.resolve(records.append(record, end)),
      },
      orders: this.#orderClient(),
      leaseMs: 3_000,
      engines: () => this.#engines.map((engine) => this.#known(engine)),
      candidates: () => [],
      rank: (members) => members,
      reachesStore: () => true,
      reachesEngines: () => true,
      onWeightsChange() {},
      logDecision() {},
    });
    task.start();
    await this.#advance(lengthMs);
    task.stop();
  }

  /** Whether all engines have the weights that were named last. */
  get areCurrent(): boolean {
    return this.#engines.every(({ weights }) => weights === this.#newest);
  }

  get #newest(): number {
    const named = this.#namedAtMs.filter((atMs) => atMs <= this.#nowMs);
    return 1 + named.length;
  }

  #known(engine: Engine): RolloutEngine {
    const { id, load, weights } = engine;
    return {
      id,
      address: id,
      model: MODEL,
      weights,
      namedWeights: this.#newest,
      running: Math.round(load.running * engine.filledShare(this.#nowMs)),
      weightsDeadlineMs: this.#weightsDeadlineMs(weights),
    };
  }

  #weightsDeadlineMs(weights: number): number | undefined {
    const replacedAtMs = this.#namedAtMs[weights - 1];
    if (replacedAtMs === undefined || replacedAtMs > this.#nowMs) {
      return undefined;
    }
    return replacedAtMs + this.#weightsBoundMs;
  }

  #clock(): Clock {
    return { wallMs: () => this.#nowMs, elapsedMs: () => this.#nowMs };
  }

  #scheduler(): Scheduler {
    return {
      after: (delayMs, run) => {
        this.#after(delayMs, run);
        return () => {};
      },
    };
  }

  #orderClient(): RolloutOrderClient {
    return {
      report: ({ id }) => this.#report(id),
      order: ({ id }, order) => Promise.resolve(this.#order(id, order)),
    };
  }

  #report(id: BackendServerId): Promise<EngineReport | undefined> {
    const engine = this.#engines.find((other) => other.id === id);
    if (engine === undefined || engine.isDark(this.#nowMs)) {
      return new Promise((resolve) => {
        this.#after(CALL_TIMEOUT_MS, () => resolve(undefined));
      });
    }
    return Promise.resolve({
      weights: new Map([[MODEL, engine.weights]]),
      isBusy: engine.isLoading,
      acceptedOrders: engine.acceptedOrders,
      startedAtMs: 0,
    });
  }

  #order(id: BackendServerId, order: WeightsOrder): OrderAnswer {
    const engine = this.#engines.find((other) => other.id === id);
    if (engine === undefined || engine.isDark(this.#nowMs)) return "unknown";
    if (!order.maySend()) return "unknown";
    const engines = this.#engines.map(({ id, weights, isLoading }) => ({
      id,
      weights,
      weightsDeadlineMs: this.#weightsDeadlineMs(weights),
      isLoading,
    }));
    this.orders.push({ atMs: this.#nowMs, id, engines });
    engine.acceptedOrders += 1;
    engine.isLoading = true;
    const runsMs = engine.load.runsMs * engine.filledShare(this.#nowMs);
    this.#after(runsMs + LOAD_MS, () => {
      engine.weights = order.weights;
      engine.isLoading = false;
      engine.loadedAtMs = this.#nowMs;
    });
    return "accepted";
  }

  #after(delayMs: number, run: () => void): void {
    this.#timers.push({ atMs: this.#nowMs + delayMs, run });
  }

  async #advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += STEP_MS;
      const due = this.#timers.filter(({ atMs }) => atMs <= this.#nowMs);
      this.#timers = this.#timers.filter(({ atMs }) => atMs > this.#nowMs);
      for (const { run } of due) run();
      // The promises of the fakes settle between two steps of virtual time.
      await new Promise(setImmediate);
    }
  }
}
