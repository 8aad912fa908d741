/**
 * Claims and renews the rollout lease.
 *
 * @module
 */

import { type Clock, steadyMs } from "@endivebend/clock";
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

/** A holder that reaches no engine for this long releases the lease. */
const ENGINES_LOST_MS = 1_500;
/** Then it leaves the next claim to others for this long. */
const RELEASED_MS = 6_000;
/** Time for a call to come to the store while the lease holds. */
const FRESH_MARGIN_MS = 300;
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
  /** When a successor might send its first order, but for own orders. */
  readonly othersMayFromMs: number;
  /** The end of the log after the latest record. */
  end: number;
  /** When the latest record was sent. */
  renewedAtMs: number;
  /** The same on the clock that counts suspensions; permits end by it. */
  permittedAtElapsedMs: number;
  /** When a renewal was last tried. */
  triedAtMs: number;
  permitsOrders: boolean;
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
  /** An end that a peer told of and that the log does not have yet. */
  #refutedEnd = Number.POSITIVE_INFINITY;
  /** Kept over claims, as a successor waits from then on. */
  #lastOrderAtMs = Number.NEGATIVE_INFINITY;
  #enginesLostSinceMs: number | undefined;
  /** Since when a look at the log is due and possible. */
  #dueSinceMs: number | undefined;
  #lookedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RolloutLeaseOptions) {
    this.#options = options;
    this.#endSinceMs = steadyMs(options.clock);
  }

  /** The epoch under which this daemon holds the lease; 0 when it does not. */
  get epoch(): number {
    return this.#held?.epoch ?? 0;
  }

  /**
   * Whether the latest record is so recent that no other daemon can claim the
   * lease before a call that is made now has come to the store.
   */
  get isFresh(): boolean {
    const held = this.#held;
    return held !== undefined &&
      this.#options.clock.elapsedMs() - held.permittedAtElapsedMs <
        LEASE_SILENCE_MS - FRESH_MARGIN_MS;
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
    const { clock, leaseMs } = this.#options;
    return held !== undefined && held.epoch === epoch && held.permitsOrders &&
      clock.elapsedMs() < held.permittedAtElapsedMs + permitMs(leaseMs);
  }

  /** Records that an order is sent now. */
  noteOrder(): void {
    this.#lastOrderAtMs = this.#nowMs();
  }

  /**
   * Claims the lease if it is vacant, or renews it if that is due. Rejects when
   * the store does not answer.
   */
  async advance({ needsOrders }: { readonly needsOrders: boolean }) {
    if (this.#held === undefined) return await this.#claimIfVacant();
    if (this.#hasLostEngines()) {
      this.#lookedAtMs = this.#nowMs() + RELEASED_MS;
      return await this.release("no engine is reachable");
    }
    await this.#renewIfDue(this.#held, needsOrders);
  }

  /** Ends the lease and tells so, as others else wait for its silence. */
  async release(reason: string): Promise<void> {
    const held = this.#held;
    if (held === undefined) return;
    this.end(reason, held.epoch);
    const { log } = this.#options;
    const record = this.#renewalOf(held, "release", false);
    const result = await log.append(record, held.end);
    if (result.kind !== "moved") return;
    // A renewal that was on its way may have come before.
    const state = await log.read(held.end);
    if (this.#isOwn(state)) await log.append(record, state.end);
  }

  /** Ends the lease of the epoch here; others find out by its silence. */
  end(reason: string, epoch: number): void {
    if (this.#held?.epoch !== epoch) return;
    this.#options.logDecision("duty_lost", { epoch, reason });
    this.#held = undefined;
    this.#lookedAtMs = Math.max(this.#lookedAtMs, this.#nowMs());
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  #hasLostEngines(): boolean {
    if (this.#options.reachesEngines()) {
      this.#enginesLostSinceMs = undefined;
      return false;
    }
    this.#enginesLostSinceMs ??= this.#nowMs();
    return this.#nowMs() - this.#enginesLostSinceMs >= ENGINES_LOST_MS;
  }

  /** Takes an end that the store itself has stated. */
  #setEnd(end: number): void {
    if (end >= this.#refutedEnd) this.#refutedEnd = Number.POSITIVE_INFINITY;
    if (end === this.#end) return;
    this.#end = end;
    this.#endSinceMs = this.#nowMs();
  }

  #isOwn({ newest }: LeaseLogState): boolean {
    const { self, incarnation } = this.#options;
    return typeof newest === "object" && newest.holder === self &&
      newest.incarnation === incarnation;
  }

  async #claimIfVacant(): Promise<void> {
    const { self, log, leaseMs } = this.#options;
    const restored = this.#takeRestored();
    if (restored === undefined && !this.#isLookDue()) return;
    this.#lookedAtMs = this.#nowMs();
    this.#dueSinceMs = undefined;
    const knownEnd = this.#end;
    const knownSinceMs = this.#endSinceMs;
    const state = await log.read(knownEnd);
    if (knownEnd !== undefined && state.end < knownEnd) {
      this.#refutedEnd = Math.min(this.#refutedEnd, knownEnd);
    }
    this.#setEnd(state.end);
    const isUnchanged = state.end === knownEnd;
    const seenAtMs = isUnchanged ? knownSinceMs : this.#nowMs();
    const isSilent = isUnchanged &&
      this.#nowMs() - seenAtMs >= LEASE_SILENCE_MS;
    const { newest } = state;
    const isContinued = restored !== undefined && newest === "unknown";
    const isVacant = isSilent || isContinued || newest === undefined ||
      (newest !== "unknown" &&
        (newest.kind === "release" || newest.holder === self));
    this.#options.logDecision("duty_look", {
      end: state.end,
      holder: holderOf(state),
      isVacant,
    });
    if (!isVacant) return;
    if (isContinued) return await this.#claim(state, restored);
    const othersMayFromMs = mayOrderFrom(newest, { leaseMs, seenAtMs });
    // Orders of one daemon, also of an earlier process, are of one holder.
    const isOwnPermit = typeof newest === "object" && newest.holder === self &&
      newest.permitsOrders;
    const mayOrderFromMs = isOwnPermit ? seenAtMs : othersMayFromMs;
    await this.#claim(state, { mayOrderFromMs, othersMayFromMs });
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

  async #claim(
    state: LeaseLogState,
    from: Pick<HeldLease, "mayOrderFromMs" | "othersMayFromMs">,
  ): Promise<void> {
    const { self, incarnation, log, clock } = this.#options;
    const { mayOrderFromMs, othersMayFromMs } = from;
    const renewedAtMs = this.#nowMs();
    const permittedAtElapsedMs = clock.elapsedMs();
    const waitMs = this.#othersWaitMs(othersMayFromMs);
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
      waitMs: Math.max(0, Math.ceil(mayOrderFromMs - renewedAtMs)),
    });
    if (result.kind !== "appended") return;
    this.#setEnd(result.end);
    this.#held = {
      epoch: result.end,
      end: result.end,
      mayOrderFromMs,
      othersMayFromMs,
      renewedAtMs,
      permittedAtElapsedMs,
      triedAtMs: renewedAtMs,
      permitsOrders: false,
    };
  }

  async #renewIfDue(held: HeldLease, needsOrders: boolean): Promise<void> {
    const { leaseMs, log, clock } = this.#options;
    const nowMs = this.#nowMs();
    const elapsedMs = clock.elapsedMs();
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
    if (isReplaced) {
      return this.end("peers know of later records in the log", held.epoch);
    }
    held.triedAtMs = nowMs;
    // The record states how long ago the last order was sent.
    if (!permitsOrders) held.permitsOrders = false;
    const record = this.#renewalOf(held, "renewal", permitsOrders);
    const result = await log.append(record, held.end);
    if (this.#held !== held) return;
    if (result.kind === "moved") return await this.#checkIsHeld(held);
    if (result.kind === "restored") {
      this.end("the store was restored", held.epoch);
      this.#restored = held;
      return;
    }
    held.end = result.end;
    held.renewedAtMs = nowMs;
    held.permittedAtElapsedMs = elapsedMs;
    held.permitsOrders = permitsOrders;
    this.#setEnd(result.end);
  }

  /** The newest record may be an own one whose answer was lost. */
  async #checkIsHeld(held: HeldLease): Promise<void> {
    const state = await this.#options.log.read(held.end);
    if (this.#held !== held) return;
    this.#setEnd(state.end);
    if (!this.#isOwn(state)) {
      return this.end("the log names another holder", held.epoch);
    }
    held.end = state.end;
  }

  #renewalOf(
    held: HeldLease,
    kind: LeaseRecord["kind"],
    permitsOrders: boolean,
  ): LeaseRecord {
    const { self: holder, incarnation } = this.#options;
    const waitMs = this.#othersWaitMs(held.othersMayFromMs);
    return { holder, incarnation, kind, permitsOrders, waitMs };
  }

  /** How long a successor waits if no order is sent from now on. */
  #othersWaitMs(othersMayFromMs: number): number {
    const { leaseMs } = this.#options;
    const fromMs = Math.max(
      othersMayFromMs,
      this.#lastOrderAtMs + handoverMs(leaseMs),
    );
    return Math.max(0, Math.ceil(fromMs - this.#nowMs()));
  }
}

function holderOf({ newest }: LeaseLogState): string | undefined {
  return typeof newest === "object" ? newest.holder : newest;
}
