/**
 * Decisions about the rollout lease. The log of the lease in the store decides
 * who holds it and whether the holder is alive: the holder appends a renewal in
 * short intervals, and a daemon claims the lease only when it knows that nothing
 * was appended for {@link LEASE_SILENCE_MS}. What peers say of the log only
 * tells when to look at it.
 *
 * @module
 */

import type { VmId } from "@endivebend/types";

/** A record of the lease's log. */
export interface LeaseRecord {
  readonly holder: VmId;
  /** The holder's process; a daemon that starts again holds nothing. */
  readonly incarnation: string;
  readonly kind: "claim" | "renewal" | "release";
  /** Whether the holder may send orders for {@link permitMs} from then on. */
  readonly permitsOrders: boolean;
  /**
   * Milliseconds for which a successor waits before its first order, counted
   * from the append. Only for a record that permits no orders.
   */
  readonly waitMs: number;
}

/** The end of the lease's log. */
export interface LeaseLogState {
  /** Position of the next record; it rises also across restores of the store. */
  readonly end: number;
  /**
   * Undefined when there has been none; `unknown` when it was deleted or is
   * malformed, and when a restore of the store may have lost later ones.
   */
  readonly newest: LeaseRecord | "unknown" | undefined;
}

/** Result of a conditional append to the lease's log. */
export type LeaseAppendResult =
  | { readonly kind: "appended"; readonly end: number }
  /** Another record stands at the position. */
  | { readonly kind: "moved" }
  /**
   * The store has been restored since the end was read. The record may be in
   * its log, where it counts as unknown.
   */
  | { readonly kind: "restored" };

/** The log of the rollout lease in the store. Calls reject without an answer. */
export interface RolloutLeaseLog {
  /** Reads the end of the log; `knownEnd` is an end that was known before. */
  read(knownEnd: number | undefined): Promise<LeaseLogState>;
  /** Appends a record if the log still ends at `end`. */
  append(record: LeaseRecord, end: number): Promise<LeaseAppendResult>;
}

/**
 * A holder whose latest renewal is older than this may be replaced. It covers
 * two intervals of renewals and a call that is not answered.
 */
export const LEASE_SILENCE_MS = 2_000;
/** Interval of renewals while no orders are to be sent. */
export const LEASE_RENEWAL_INTERVAL_MS = 700;
/** Time in which a daemon that starts hears from most others. */
const FIRST_LOOK_DELAY_MS = 600;
/** Each candidate leaves the one ranked before it this much time to claim. */
const RANK_DELAY_MS = 400;
/** Candidates from this rank on follow each other sooner. */
const FIRST_LATE_RANK = 10;
const LATE_RANK_DELAY_MS = 100;
/** Share of the lease for which a record permits orders. */
const PERMIT_SHARE = 0.4;
/** Added to the wait of a successor, for orders in transit. */
const TRANSIT_MARGIN_MS = 200;

/** How long a record permits its holder to send orders. */
export function permitMs(leaseMs: number): number {
  return leaseMs * PERMIT_SHARE;
}

/** How long after a holder's last order another may send its first. */
export function handoverMs(leaseMs: number): number {
  return leaseMs + TRANSIT_MARGIN_MS;
}

/** Input of the decision when to look at the lease's log. */
export interface LeaseLookInput {
  /** Whether an end of the log is known. */
  readonly hasKnownEnd: boolean;
  /** Since when the newest known end stands; without one, since the start. */
  readonly unchangedSinceMs: number;
  /** When this daemon last looked. */
  readonly lookedAtMs: number;
}

/**
 * When the first daemon in rank should look at the log, to claim the lease if
 * nothing was appended meanwhile.
 *
 * @example
 * ```ts
 * const isDue = nowMs >= firstLeaseLookMs({
 *   hasKnownEnd: true,
 *   unchangedSinceMs,
 *   lookedAtMs,
 * }) + leaseLookDelayMs(ownRank);
 * ```
 */
export function firstLeaseLookMs(input: LeaseLookInput): number {
  const silenceMs = input.hasKnownEnd ? LEASE_SILENCE_MS : FIRST_LOOK_DELAY_MS;
  return Math.max(
    input.unchangedSinceMs + silenceMs,
    input.lookedAtMs + LEASE_SILENCE_MS,
  );
}

/** How much later than the first one a daemon of this rank, from 0, looks. */
export function leaseLookDelayMs(rank: number): number {
  return Math.min(rank, FIRST_LATE_RANK) * RANK_DELAY_MS +
    Math.max(0, rank - FIRST_LATE_RANK) * LATE_RANK_DELAY_MS;
}

/**
 * When a successor of the newest record's holder may send its first order, if
 * the record was appended by `seenAtMs`. The wait runs from the last order that
 * a former holder can have sent, so a holder that never came to send orders
 * leaves nothing more to wait for than it found.
 *
 * @example
 * ```ts
 * const fromMs = mayOrderFrom(state.newest, { leaseMs, seenAtMs });
 * ```
 */
export function mayOrderFrom(
  newest: LeaseLogState["newest"],
  at: { readonly leaseMs: number; readonly seenAtMs: number },
): number {
  const { leaseMs, seenAtMs } = at;
  if (newest === undefined) return seenAtMs;
  if (newest === "unknown" || newest.permitsOrders) {
    return seenAtMs + permitMs(leaseMs) + handoverMs(leaseMs);
  }
  return seenAtMs + newest.waitMs;
}
