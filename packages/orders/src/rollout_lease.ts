/**
 * Claims and renews the rollout lease.
 *
 * @module
 */

import type { Clock } from "@endivebend/clock";
import type { VmId } from "@endivebend/types";
import {
  firstLeaseLookMs,
  handoverMs,
  LEASE_RENEWAL_INTERVAL_MS,
  LEASE_SILENCE_MS,
  type LeaseLogState,
  leaseLookDelayMs,
  type LeaseRecord,
  mayOrderFrom,
  permitMs,
  type RolloutLeaseLog,
} from "./lease_plan.ts";

/** Delay before a renewal that the store did not take is tried again. */
const RETRY_INTERVAL_MS = 300;

/** Dependencies of the lease. */
export interface RolloutLeaseOptions {
  readonly self: VmId;
  /** The process; an earlier one of the same daemon holds nothing. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: RolloutLeaseLog;
  /** Time for which a former holder may go on sending orders; a site setting. */
  readonly leaseMs: number;
  /** Other daemons that may claim the lease. */
  candidates(): readonly VmId[];
  /** Puts daemons into the order in which they should claim the lease. */
  rank(members: readonly VmId[]): readonly VmId[];
  reachesStore(): boolean;
  /** Whether this daemon reaches the engines that it would order. */
  reachesEngines(): boolean;
  logDecision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** The lease while this daemon holds it. */
interface HeldLease {
  /** The end of the log after the claim. */
  readonly epoch: number;
  readonly mayOrderFromMs: number;
  /** The end of the log after the latest record. */
  end: number;
  /** When the latest record was sent; orders are permitted from then on. */
  renewedAtMs: number;
  /** When a renewal was last tried. */
  triedAtMs: number;
  permitsOrders: boolean;
  lastOrderAtMs: number | undefined;
}

/** The lease as this daemon knows it. */
export class RolloutLease {
  readonly #options: RolloutLeaseOptions;
  #held: HeldLease | undefined;
  /** The lease that a restore of the store has ended. */
  #restored: HeldLease | undefined;
  /** The newest known end of the log, and since when it is known. */
  #end: number | undefined;
  #endSinceMs: number;
  /** An end that a peer told of and that the log does not have. */
  #refutedEnd = Number.POSITIVE_INFINITY;
  /** Since when a look at the log is due and possible. */
  #dueSinceMs: number | undefined;
  #lookedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RolloutLeaseOptions) {
    this.#options = options;
    this.#endSinceMs = options.clock.elapsedMs();
  }

  /** The epoch under which this daemon holds the lease; 0 when it does not. */
  get epoch(): number {
    return this.#held?.epoch ?? 0;
  }

  /** The newest known end of the lease's log, for peers; 0 when unknown. */
  get logEnd(): number {
    return this.#end ?? 0;
  }

  /** Takes note of an end of the lease's log that a peer has told of. */
  noteLogEnd(end: number): void {
    if (end <= (this.#end ?? 0) || end >= this.#refutedEnd) return;
    this.#end = end;
    this.#endSinceMs = this.#nowMs();
  }

  /** Whether an order may be sent now under the epoch. */
  mayOrder(epoch: number): boolean {
    const held = this.#held;
    return held !== undefined && held.epoch === epoch && held.permitsOrders &&
      this.#nowMs() < held.renewedAtMs + permitMs(this.#options.leaseMs);
  }

  /** Records that an order is sent now. */
  noteOrder(): void {
    if (this.#held !== undefined) this.#held.lastOrderAtMs = this.#nowMs();
  }

  /**
   * Claims the lease if it is vacant, or renews it if that is due. Rejects when
   * the store does not answer.
   */
  async advance({ needsOrders }: { readonly needsOrders: boolean }) {
    if (this.#held === undefined) return await this.#claimIfVacant();
    if (!this.#options.reachesEngines()) {
      return await this.release("no engine is reachable");
    }
    await this.#renewIfDue(this.#held, needsOrders);
  }

  /** Ends the lease and tells so, as others else wait for its silence. */
  async release(reason: string): Promise<void> {
    const held = this.#held;
    if (held === undefined) return;
    this.end(reason);
    const record = this.#renewalOf(held, "release", false);
    await this.#options.log.append(record, held.end);
  }

  /** Ends the lease here; others find out by its silence. */
  end(reason: string): void {
    if (this.#held === undefined) return;
    const { epoch } = this.#held;
    this.#options.logDecision("duty_lost", { epoch, reason });
    this.#held = undefined;
    this.#lookedAtMs = this.#nowMs();
  }

  #nowMs(): number {
    return this.#options.clock.elapsedMs();
  }

  async #claimIfVacant(): Promise<void> {
    const { self, log } = this.#options;
    const restored = this.#takeRestored();
    if (restored === undefined && !this.#isLookDue()) return;
    this.#lookedAtMs = this.#nowMs();
    this.#dueSinceMs = undefined;
    const knownEnd = this.#end;
    const state = await log.read(knownEnd);
    if (knownEnd !== undefined && state.end < knownEnd) {
      this.#refutedEnd = Math.min(this.#refutedEnd, knownEnd);
      this.#end = undefined;
    }
    this.noteLogEnd(state.end);
    if (restored !== undefined && state.newest === "unknown") {
      return await this.#claim(state, restored.mayOrderFromMs);
    }
    const { leaseMs } = this.#options;
    const seenAtMs = this.#endSinceMs;
    const isSilent = state.end === knownEnd &&
      this.#nowMs() - seenAtMs >= LEASE_SILENCE_MS;
    const isVacant = isSilent || state.newest === undefined ||
      (state.newest !== "unknown" &&
        (state.newest.kind === "release" || state.newest.holder === self));
    this.#options.logDecision("duty_look", {
      end: state.end,
      holder: holderOf(state),
      isVacant,
    });
    if (!isVacant) return;
    const fromMs = mayOrderFrom(state.newest, { self, leaseMs, seenAtMs });
    await this.#claim(state, fromMs);
  }

  #isLookDue(): boolean {
    const { self, rank, candidates, reachesStore, reachesEngines } =
      this.#options;
    const nowMs = this.#nowMs();
    const firstLookMs = firstLeaseLookMs({
      hasKnownEnd: this.#end !== undefined,
      unchangedSinceMs: this.#endSinceMs,
      lookedAtMs: this.#lookedAtMs,
    });
    if (nowMs < firstLookMs || !reachesStore() || !reachesEngines()) {
      this.#dueSinceMs = undefined;
      return false;
    }
    this.#dueSinceMs ??= nowMs;
    const ownRank = rank([...candidates(), self]).indexOf(self);
    return nowMs >= this.#dueSinceMs + leaseLookDelayMs(ownRank);
  }

  /**
   * The lease that a restore has ended, if no other daemon can have claimed it
   * since: none does before the latest renewal is old enough.
   */
  #takeRestored(): HeldLease | undefined {
    const restored = this.#restored;
    this.#restored = undefined;
    if (restored === undefined) return undefined;
    const isRecent = this.#nowMs() - restored.renewedAtMs < LEASE_SILENCE_MS;
    return isRecent ? restored : undefined;
  }

  async #claim(state: LeaseLogState, fromMs: number): Promise<void> {
    const { self, incarnation, log } = this.#options;
    const askedAtMs = this.#nowMs();
    const waitMs = Math.max(0, Math.ceil(fromMs - askedAtMs));
    const result = await log.append({
      holder: self,
      incarnation,
      kind: "claim",
      permitsOrders: false,
      waitMs,
    }, state.end);
    this.#options.logDecision("duty_claim", {
      kind: result.kind === "appended" ? "held" : result.kind,
      epoch: result.kind === "appended" ? result.end : undefined,
      previousHolder: holderOf(state),
      waitMs,
    });
    if (result.kind !== "appended") return;
    this.noteLogEnd(result.end);
    this.#held = {
      epoch: result.end,
      end: result.end,
      mayOrderFromMs: fromMs,
      renewedAtMs: askedAtMs,
      triedAtMs: askedAtMs,
      permitsOrders: false,
      lastOrderAtMs: undefined,
    };
  }

  async #renewIfDue(held: HeldLease, needsOrders: boolean): Promise<void> {
    const { leaseMs, log } = this.#options;
    const nowMs = this.#nowMs();
    const permitsOrders = needsOrders && nowMs >= held.mayOrderFromMs;
    const intervalMs = permitsOrders
      ? permitMs(leaseMs) / 2
      : LEASE_RENEWAL_INTERVAL_MS;
    const isDue = nowMs - held.renewedAtMs >= intervalMs ||
      (permitsOrders && !held.permitsOrders);
    const hasFailed = held.triedAtMs > held.renewedAtMs;
    if (!isDue) return;
    if (hasFailed && nowMs - held.triedAtMs < RETRY_INTERVAL_MS) return;
    const isReplaced = this.logEnd > held.end &&
      nowMs - held.renewedAtMs >= LEASE_SILENCE_MS;
    if (isReplaced) return this.end("peers know of later records in the log");
    held.triedAtMs = nowMs;
    // The record states how long ago the last order was sent.
    if (!permitsOrders) held.permitsOrders = false;
    const record = this.#renewalOf(held, "renewal", permitsOrders);
    const result = await log.append(record, held.end);
    if (this.#held !== held) return;
    if (result.kind === "moved") return await this.#checkIsHeld(held);
    if (result.kind === "restored") {
      this.end("the store was restored");
      this.#restored = held;
      return;
    }
    held.end = result.end;
    held.renewedAtMs = nowMs;
    held.permitsOrders = permitsOrders;
    this.noteLogEnd(result.end);
  }

  /** The newest record may be an own one whose answer was lost. */
  async #checkIsHeld(held: HeldLease): Promise<void> {
    const { self, incarnation, log } = this.#options;
    const state = await log.read(held.end);
    if (this.#held !== held) return;
    this.noteLogEnd(state.end);
    const { newest } = state;
    const isOwn = typeof newest === "object" && newest.holder === self &&
      newest.incarnation === incarnation;
    if (!isOwn) return this.end("the log names another holder");
    held.end = state.end;
  }

  #renewalOf(
    held: HeldLease,
    kind: LeaseRecord["kind"],
    permitsOrders: boolean,
  ): LeaseRecord {
    const { self: holder, incarnation, leaseMs } = this.#options;
    const fromMs = held.lastOrderAtMs === undefined
      ? held.mayOrderFromMs
      : held.lastOrderAtMs + handoverMs(leaseMs);
    const waitMs = Math.max(0, Math.ceil(fromMs - this.#nowMs()));
    return { holder, incarnation, kind, permitsOrders, waitMs };
  }
}

function holderOf({ newest }: LeaseLogState): string | undefined {
  return typeof newest === "object" ? newest.holder : newest;
}
