/**
 * The level of a team's bucket over time.
 *
 * @module
 */

import { UNITS_PER_TOKEN } from "./grains.ts";
import type { LoanOut, TeamState } from "./state.ts";

/** What is lent at the moment: for each borrower the largest of its loans. */
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

/** Capacity held now: the share without what is lent, and what is borrowed. */
export function heldCapacityTokens(state: TeamState): number {
  const { share } = state.terms;
  const own = share.capacityTokens - lentCapacityTokens(state.loansOut);
  let held = Math.max(0, own);
  for (const loan of state.loansIn) held += loan.capacityTokens;
  return held;
}

/** The highest level: the capacity held without the room for tokens to come. */
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
  // Events are rounded down to their millisecond. A bucket that is full before
  // the millisecond ends must not accrue for the part before a charge in it.
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

/** Cuts the level down to the capacity. */
export function clampLevel(state: TeamState): void {
  const capacityUnits = maxLevelUnits(state);
  if (state.levelUnits > capacityUnits) state.levelUnits = capacityUnits;
}

/**
 * Brings the level to `nowMs`, ending loans at their deadlines on the way.
 * Time that goes back changes nothing.
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

/** Throws when the level is above the capacity held. */
export function assertLevelWithinCapacity(state: TeamState): void {
  const capacityUnits = maxLevelUnits(state);
  if (state.levelUnits <= capacityUnits) return;
  throw new Error(
    `The level of ${state.levelUnits} grains is above the capacity of ` +
      `${capacityUnits}; report this state to the developers`,
  );
}
