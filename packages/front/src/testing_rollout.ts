/**
 * The lease and the orders of the weights rollout, for a fleet in virtual time.
 *
 * @module
 */

import type {
  EngineReport,
  LeaseRecord,
  OrderAnswer,
  RolloutEngine,
  WeightsOrder,
} from "@endivebend/orders";
import type { ListedServer } from "@endivebend/request-path";
import type { VmId } from "@endivebend/types";
import type { FrontPorts } from "./ports.ts";

/** Time in which an engine ends its runs and loads weights. */
const LOAD_MS = 600;
const RUNS_CHECK_INTERVAL_MS = 10;

/** The part of an engine that holds weights. */
export interface SimulatedWeights {
  readonly listed: ListedServer;
  weights: number;
  /** The order in progress; undefined when there is none. */
  loading: number | undefined;
  acceptedOrders: number;
  /** The highest epoch of an order since the engine's start. */
  highestEpoch: number;
  /** Ends an order in progress, as the engine's process does. */
  cancelLoad: () => void;
}

/** How engines load weights once their runs have ended. */
export interface LoadOptions {
  readonly loadMs: number;
  /** With more loads at a time, each takes longer in proportion. */
  readonly fullSpeedLoads: number;
}

/** What the rollout needs of the simulated fleet. */
export interface RolloutWorld {
  readonly nowMs: number;
  after(delayMs: number, task: () => void): () => void;
  /** The engine, when a message has gone there and back; else undefined. */
  callEngine(vm: VmId, address: string): Promise<SimulatedWeights | undefined>;
  hasRuns(state: SimulatedWeights): boolean;
}

/** An order that an engine has taken. */
export interface AcceptedOrder {
  readonly atMs: number;
  readonly holder: VmId;
  readonly epoch: number;
  readonly weights: number;
}

/** Lease and orders for all daemons of a fleet. */
export class SimulatedRollout {
  readonly accepted: AcceptedOrder[] = [];
  readonly #world: RolloutWorld;
  readonly #load: LoadOptions | undefined;
  readonly #records: LeaseRecord[] = [];
  #loads = 0;

  /** Without options, runs and load together take a fixed time. */
  constructor(world: RolloutWorld, load?: LoadOptions) {
    this.#world = world;
    this.#load = load;
  }

  /** The latest daemon that has claimed the lease. */
  get holder(): VmId | undefined {
    return this.#records.at(-1)?.holder;
  }

  leaseLog(callStore: () => Promise<void>): FrontPorts["rolloutLeaseLog"] {
    const records = this.#records;
    return {
      read: async () => {
        await callStore();
        return { end: records.length, newest: records.at(-1) };
      },
      append: async (record, end) => {
        await callStore();
        if (records.length !== end) return { kind: "moved" };
        records.push(record);
        return { kind: "appended", end: end + 1 };
      },
    };
  }

  orders(vm: VmId): FrontPorts["engineOrders"] {
    return {
      report: (engine) => this.#report(vm, engine),
      order: (engine, order) => this.#order(vm, { engine, order }),
    };
  }

  async #report(
    vm: VmId,
    { id, address }: Pick<RolloutEngine, "id" | "address">,
  ): Promise<EngineReport | undefined> {
    const state = await this.#world.callEngine(vm, address);
    if (state === undefined || state.listed.id !== id) return undefined;
    const models = [...state.listed.weights.keys()];
    return {
      weights: new Map(models.map((model) => [model, state.weights])),
      isBusy: state.loading !== undefined,
      acceptedOrders: state.acceptedOrders,
      startedAtMs: state.listed.startedAtMs,
    };
  }

  async #order(
    vm: VmId,
    { engine, order }: {
      readonly engine: RolloutEngine;
      readonly order: WeightsOrder;
    },
  ): Promise<OrderAnswer> {
    const state = await this.#world.callEngine(vm, engine.address);
    if (state === undefined || !order.maySend()) return "unknown";
    if (order.epoch < state.highestEpoch) return "fenced";
    state.highestEpoch = order.epoch;
    if (state.weights === order.weights) return "already_holds";
    const isExpected = state.acceptedOrders === order.acceptedOrders;
    if (state.loading !== undefined || !isExpected) return "conflict";
    state.acceptedOrders += 1;
    state.loading = order.weights;
    const { holder, epoch, weights } = order;
    const atMs = this.#world.nowMs;
    this.accepted.push({ atMs, holder, epoch, weights });
    this.#awaitRuns(state, weights);
    return "accepted";
  }

  #awaitRuns(state: SimulatedWeights, weights: number): void {
    const load = this.#load;
    if (load === undefined) {
      return this.#finishAfter(LOAD_MS, { state, weights });
    }
    if (this.#world.hasRuns(state)) {
      const cancel = this.#world.after(
        RUNS_CHECK_INTERVAL_MS,
        () => this.#awaitRuns(state, weights),
      );
      state.cancelLoad = () => {
        cancel();
        state.loading = undefined;
      };
      return;
    }
    this.#loads += 1;
    const slowdown = Math.max(1, this.#loads / load.fullSpeedLoads);
    this.#finishAfter(load.loadMs * slowdown, {
      state,
      weights,
      ended: () => {
        this.#loads -= 1;
      },
    });
  }

  #finishAfter(
    delayMs: number,
    load: {
      readonly state: SimulatedWeights;
      readonly weights: number;
      readonly ended?: () => void;
    },
  ): void {
    const { state, weights, ended = () => {} } = load;
    const cancel = this.#world.after(delayMs, () => {
      state.weights = weights;
      end();
    });
    const end = () => {
      state.loading = undefined;
      state.cancelLoad = () => {};
      ended();
    };
    state.cancelLoad = () => {
      cancel();
      end();
    };
  }
}
