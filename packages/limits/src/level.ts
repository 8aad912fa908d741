/**
 * The level of a team's bucket over time.
 *
 * @module
 */

import { GRAINS_PER_TOKEN } from "./grains.ts";
import type { LoanOut, TeamState } from "./state.ts";

/** What is lent at the moment: for each borrower the largest of its loans. */
export function lentTokens(loans: readonly LoanOut[]): number {
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
export function heldTokens(state: TeamState): number {
  const { share } = state.terms;
  const own = share.capacityTokens - lentTokens(state.loansOut);
  let held = Math.max(0, own);
  for (const loan of state.loansIn) held += loan.capacityTokens;
  return held;
}

/** The highest level: the capacity held without the room for tokens to come. */
export function levelCapGrains(state: TeamState): number {
  let room = heldTokens(state);
  for (const reserved of state.round.pending.values()) room -= reserved;
  return Math.max(0, room) * GRAINS_PER_TOKEN;
}

/** Whole tokens that could be spent now. */
export function levelTokens(state: TeamState): number {
  return Math.max(0, Math.floor(state.levelGrains / GRAINS_PER_TOKEN));
}

function accrue(state: TeamState, untilMs: number): void {
  const { rateMilli } = state.terms.share;
  const capacityGrains = levelCapGrains(state);
  if (untilMs > state.accruedUntilMs) {
    state.levelGrains += rateMilli * (untilMs - state.accruedUntilMs);
    state.accruedUntilMs = untilMs;
  }
  if (state.levelGrains > capacityGrains) state.levelGrains = capacityGrains;
  // Events are rounded down to their millisecond. A bucket that is full before
  // the millisecond ends must not accrue for the part before a charge in it.
  const isFullWithinTick = state.levelGrains + rateMilli >= capacityGrains;
  if (isFullWithinTick && state.accruedUntilMs === untilMs) {
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
export function clipLevel(state: TeamState): void {
  const capacityGrains = levelCapGrains(state);
  if (state.levelGrains > capacityGrains) state.levelGrains = capacityGrains;
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
    clipLevel(state);
  }
  accrue(state, nowMs);
}

/** Throws when the level is above the capacity held. */
export function assertLevel(state: TeamState): void {
  const capacityGrains = levelCapGrains(state);
  if (state.levelGrains <= capacityGrains) return;
  throw new Error(
    `The level of ${state.levelGrains} grains is above the capacity of ` +
      `${capacityGrains}; report this state to the developers`,
  );
}
