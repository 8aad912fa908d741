/**
 * Tracks the level of a team's bucket over time.
 *
 * @module
 */

import { UNITS_PER_TOKEN } from "./fixed_point.ts";
import type { LoanOut, TeamState } from "./state.ts";

/** Capacity lent now: the largest loan of each borrower, summed. */
export function lentCapacityTokens(loans: readonly LoanOut[]): number {
  if (loans.length < 2) return loans[0]?.capacityTokens ?? 0;
  const largest = new Map<string, number>();
  for (const { borrower, capacityTokens } of loans) {
    const known = largest.get(borrower) ?? 0;
    largest.set(borrower, Math.max(known, capacityTokens));
  }
  let total = 0;
  for (const capacityTokens of largest.values()) total += capacityTokens;
  return total;
}

/** Capacity held now: the share minus what is lent, plus what is borrowed. */
export function heldCapacityTokens(state: TeamState): number {
  const { share } = state.terms;
  const own = share.capacityTokens - lentCapacityTokens(state.loansOut);
  let held = Math.max(0, own);
  for (const loan of state.loansIn) held += loan.capacityTokens;
  return held;
}

/** The highest level: capacity held minus the room for tokens in transit. */
export function maxLevelUnits(state: TeamState): number {
  let room = heldCapacityTokens(state);
  for (const reserved of state.round.pendingTokens.values()) room -= reserved;
  return Math.max(0, room) * UNITS_PER_TOKEN;
}

/** Whole tokens that could be spent now. */
export function levelTokens(state: TeamState): number {
  return Math.max(0, Math.floor(state.levelUnits / UNITS_PER_TOKEN));
}

function accrue(state: TeamState, untilMs: number): void {
  const { rateMilli } = state.terms.share;
  const capacityUnits = maxLevelUnits(state);
  if (untilMs > state.accruedUntilMs) {
    state.levelUnits += rateMilli * (untilMs - state.accruedUntilMs);
    state.accruedUntilMs = untilMs;
  }
  if (state.levelUnits > capacityUnits) state.levelUnits = capacityUnits;
  // Event times are rounded down to the millisecond. A bucket that fills up
  // within a millisecond must not accrue for the part of it before a charge.
  const isFullWithinMillisecond = state.levelUnits + rateMilli >= capacityUnits;
  if (isFullWithinMillisecond && state.accruedUntilMs === untilMs) {
    state.accruedUntilMs = untilMs + 1;
  }
}

function earliestExpiry(state: TeamState): number {
  let earliest = Number.POSITIVE_INFINITY;
  for (const loan of state.loansOut) {
    if (loan.untilMs < earliest) earliest = loan.untilMs;
  }
  for (const loan of state.loansIn) {
    if (loan.untilMs < earliest) earliest = loan.untilMs;
  }
  return earliest;
}

/** Lowers the level to the highest level if it is above it. */
export function clampLevel(state: TeamState): void {
  const capacityUnits = maxLevelUnits(state);
  if (state.levelUnits > capacityUnits) state.levelUnits = capacityUnits;
}

/**
 * Advances the level to `nowMs` and ends loans that expire by then. A time in
 * the past changes nothing.
 */
export function advance(state: TeamState, nowMs: number): void {
  for (
    let expiry = earliestExpiry(state);
    expiry <= nowMs;
    expiry = earliestExpiry(state)
  ) {
    accrue(state, expiry);
    state.loansOut = state.loansOut.filter((loan) => loan.untilMs > expiry);
    state.loansIn = state.loansIn.filter((loan) => loan.untilMs > expiry);
    clampLevel(state);
  }
  accrue(state, nowMs);
}

/** Throws if the level is above the highest level. */
export function assertLevelWithinCapacity(state: TeamState): void {
  const capacityUnits = maxLevelUnits(state);
  if (state.levelUnits <= capacityUnits) return;
  throw new Error(
    `Bucket level of ${state.levelUnits} units exceeds the capacity of ` +
      `${capacityUnits} units; report this state to the developers`,
  );
}
