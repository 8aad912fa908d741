/**
 * The lease and the orders of the weights rollout, for a fleet in virtual time.
 *
 * @module
 */

import type {
  EngineReport,
  OrderAnswer,
  RolloutEngine,
  WeightsOrder,
} from "@endivebend/orders";
import type { VmId } from "@endivebend/types";
import type { FrontPorts } from "./ports.ts";

/** Time in which an engine ends its runs and loads weights. */
const LOAD_MS = 600;

/** The part of an engine that holds weights. */
export interface SimulatedWeights {
  weights: number;
  /** The order in progress; undefined when there is none. */
  loading: number | undefined;
  acceptedOrders: number;
  /** Ends an order in progress, as the engine's process does. */
  cancelLoad: () => void;
}

/** What the rollout needs of the simulated fleet. */
export interface RolloutWorld {
  after(delayMs: number, task: () => void): () => void;
  /** Resolves when the store has answered a call. */
  callStore(): Promise<void>;
  /** Resolves when a message has gone to an engine and back. */
  callEngine(): Promise<void>;
  engineAt(address: string): SimulatedWeights | undefined;
}

/** Lease and orders for all daemons of a fleet. */
export class SimulatedRollout {
  readonly #world: RolloutWorld;
  readonly #holders: VmId[] = [];

  constructor(world: RolloutWorld) {
    this.#world = world;
  }

  /** The latest daemon that has claimed the lease. */
  get holder(): VmId | undefined {
    return this.#holders.at(-1);
  }

  leaseLog(): FrontPorts["rolloutLeaseLog"] {
    const holders = this.#holders;
    return {
      claim: async (holder) => {
        await this.#world.callStore();
        const previousHolder = holders.at(-1);
        holders.push(holder);
        return { kind: "held", epoch: holders.length, previousHolder };
      },
      confirm: async (epoch) => {
        await this.#world.callStore();
        return epoch === holders.length;
      },
    };
  }

  orders(): FrontPorts["engineOrders"] {
    return {
      report: (engine) => this.#report(engine),
      order: (engine, order) => this.#order(engine, order),
    };
  }

  async #report(engine: RolloutEngine): Promise<EngineReport | undefined> {
    await this.#world.callEngine();
    const state = this.#world.engineAt(engine.address);
    return state && {
      weights: new Map([[engine.model, state.weights]]),
      isBusy: state.loading !== undefined,
      acceptedOrders: state.acceptedOrders,
    };
  }

  async #order(
    engine: RolloutEngine,
    order: WeightsOrder,
  ): Promise<OrderAnswer> {
    await this.#world.callEngine();
    const state = this.#world.engineAt(engine.address);
    if (state === undefined || !order.maySend()) return "unknown";
    if (order.epoch < this.#holders.length) return "fenced";
    if (state.weights === order.weights) return "already_holds";
    const isExpected = state.acceptedOrders === order.acceptedOrders;
    if (state.loading !== undefined || !isExpected) return "conflict";
    state.acceptedOrders += 1;
    state.loading = order.weights;
    state.cancelLoad = this.#world.after(LOAD_MS, () => {
      state.weights = order.weights;
      state.loading = undefined;
    });
    return "accepted";
  }
}
