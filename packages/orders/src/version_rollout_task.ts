/**
 * Drives version rollouts while this daemon holds the rollout lease, and writes
 * their status. A holder that was paused or cut off must not end an order that
 * its successor drives: each one writes the status anew after its claim, and
 * every write holds only at the end of the records that its writer has read.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import type { FinalPhase, VersionOrder } from "@endivebend/version-rollouts";
import type { RolloutStatus, RolloutStatusLog } from "./rollout_status.ts";

/** The orders that are not known to have ended, and what this daemon does. */
export interface OpenRollouts {
  open(): readonly VersionOrder[];
  /** Plans the order as its holder; tells how it is to end, if it is. */
  plan(order: VersionOrder, epoch: number): "running" | FinalPhase;
  /** Whether nothing was heard of the order for too long. */
  wantsStatus(order: VersionOrder): boolean;
  /**
   * Whether any daemon may write that the order was rolled back: its version was
   * found bad, or its time ends, and no holder has written it.
   */
  mayRollBack(order: VersionOrder): boolean;
  /** Applies a status; true when it is the final one of this order. */
  applyStatus(order: VersionOrder, status: RolloutStatus): boolean;
}

/** Dependencies of the task. */
export interface VersionRolloutOptions {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: RolloutStatusLog;
  readonly rollouts: OpenRollouts;
  /** The epoch under which this daemon holds the lease; 0 when it does not. */
  epoch(): number;
  /** Whether no other daemon can hold the lease now. */
  isLeaseFresh(): boolean;
  logDecision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

const TICK_INTERVAL_MS = 50;
/** Delay after a call that the store did not answer. */
const RETRY_INTERVAL_MS = 150;
/** Interval at which daemons that hear nothing read the status themselves. */
const LOOK_INTERVAL_MS = 1_000;

/** The running task; one runs in every daemon. */
export class VersionRolloutTask {
  readonly #options: VersionRolloutOptions;
  /** Orders with a call to the store under way, by position. */
  readonly #busy = new Set<number>();
  readonly #nextCallAtMs = new Map<number, number>();
  /** The epoch under which each order's status was written as running. */
  readonly #confirmed = new Map<number, number>();
  /** The end of the records; undefined after a write in doubt. */
  #end: number | undefined;
  #hasStopped = false;

  constructor(options: VersionRolloutOptions) {
    this.#options = options;
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#hasStopped = true;
  }

  #tick(): void {
    if (this.#hasStopped) return;
    this.#options.scheduler.after(TICK_INTERVAL_MS, () => this.#tick());
    const open = this.#options.rollouts.open();
    for (const order of open) this.#advance(order);
    if (open.length > 0) return;
    this.#confirmed.clear();
    this.#nextCallAtMs.clear();
  }

  #advance(order: VersionOrder): void {
    const { rollouts, isLeaseFresh } = this.#options;
    const epoch = this.#options.epoch();
    if (epoch === 0 && rollouts.mayRollBack(order)) {
      return this.#call(order, () => this.#rollBack(order));
    }
    if (epoch === 0) {
      if (rollouts.wantsStatus(order)) {
        this.#call(order, () => this.#look(order));
      }
      return;
    }
    if (this.#confirmed.get(order.position) !== epoch) {
      if (isLeaseFresh()) this.#call(order, () => this.#confirm(order, epoch));
      return;
    }
    // The plan is renewed also while the store does not answer.
    const phase = rollouts.plan(order, epoch);
    if (phase === "running" || !isLeaseFresh()) return;
    this.#call(order, () => this.#finish(order, phase));
  }

  /** Makes one call after another for each order. */
  #call(order: VersionOrder, call: () => Promise<void>): void {
    const { position, service } = order;
    const nowMs = this.#nowMs();
    const isEarly = nowMs < (this.#nextCallAtMs.get(position) ?? 0);
    if (this.#busy.has(position) || isEarly) return;
    this.#busy.add(position);
    call().catch(({ message: reason }: Error) => {
      this.#end = undefined;
      this.#nextCallAtMs.set(position, this.#nowMs() + RETRY_INTERVAL_MS);
      this.#options.logDecision("rollout_status_failed", { service, reason });
    }).finally(() => {
      this.#busy.delete(position);
    });
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  async #look(order: VersionOrder): Promise<void> {
    this.#nextCallAtMs.set(order.position, this.#nowMs() + LOOK_INTERVAL_MS);
    await this.#read(order);
  }

  /**
   * Reads the statuses; true when the order has ended. The end that is read is
   * that of all orders, so that the statuses of all are applied.
   */
  async #read(order: VersionOrder): Promise<boolean> {
    const { rollouts, log } = this.#options;
    const { end, statuses } = await log.read();
    this.#end = end;
    const apply = (to: VersionOrder) => {
      const status = statuses.find(({ service }) => service === to.service);
      return status !== undefined && rollouts.applyStatus(to, status);
    };
    for (const other of rollouts.open()) {
      if (other.position !== order.position) apply(other);
    }
    return apply(order);
  }

  /** Writes the status as running, which lets writes of a former holder fail. */
  async #confirm(order: VersionOrder, epoch: number): Promise<void> {
    if (await this.#read(order)) return;
    const isWritten = await this.#append(order, "running");
    if (isWritten) this.#confirmed.set(order.position, epoch);
  }

  /** Needs no lease: what has stopped does not go on under another holder. */
  async #rollBack(order: VersionOrder): Promise<void> {
    this.#nextCallAtMs.set(order.position, this.#nowMs() + LOOK_INTERVAL_MS);
    if (await this.#read(order)) return;
    await this.#append(order, "rolled_back", { needsLease: false });
  }

  async #finish(order: VersionOrder, phase: FinalPhase): Promise<void> {
    const mayHaveEnded = this.#end === undefined;
    if (mayHaveEnded && await this.#read(order)) return;
    await this.#append(order, phase);
  }

  async #append(
    order: VersionOrder,
    phase: RolloutStatus["phase"],
    { needsLease = true }: { readonly needsLease?: boolean } = {},
  ): Promise<boolean> {
    const { service, to } = order;
    const { log, rollouts, isLeaseFresh } = this.#options;
    const end = this.#end;
    // The calls before may have taken long.
    if (end === undefined || (needsLease && !isLeaseFresh())) return false;
    // Until the answer comes it is unknown where the records end.
    this.#end = undefined;
    const status = { service, to, phase };
    const result = await log.append(status, end);
    this.#options.logDecision("rollout_status", {
      ...status,
      result: result.kind,
    });
    if (result.kind !== "appended") return false;
    this.#end = result.end;
    rollouts.applyStatus(order, status);
    return true;
  }
}
