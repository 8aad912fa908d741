/**
 * The level of a team's bucket over time.
 *
 * @module
 */

import { GRAINS_PER_TOKEN } from "./grains.ts";
import type { Amount, LoanOut, TeamState } from "./state.ts";

/** What is lent at the moment: for each borrower the largest of its loans. */
export function lentAmount(loans: readonly LoanOut[]): Amount {
  if (loans.length === 0) return { rateMilli: 0, capacityTokens: 0 };
  if (loans.length === 1) return loans[0] as LoanOut;
  let rateMilli = 0;
  let capacityTokens = 0;
  for (const borrower of new Set(loans.map((loan) => loan.borrower))) {
    const largest = largestTo(loans, borrower);
    rateMilli += largest.rateMilli;
    capacityTokens += largest.capacityTokens;
  }
  return { rateMilli, capacityTokens };
}

/** The most that a borrower may still use of its loans. */
export function largestTo(
  loans: readonly LoanOut[],
  borrower: string,
): Amount {
  let rateMilli = 0;
  let capacityTokens = 0;
  for (const loan of loans) {
    if (loan.borrower !== borrower) continue;
    rateMilli = Math.max(rateMilli, loan.rateMilli);
    capacityTokens = Math.max(capacityTokens, loan.capacityTokens);
  }
  return { rateMilli, capacityTokens };
}

/** The share without what is lent. */
export function ownAmount(state: TeamState): Amount {
  const lent = lentAmount(state.loansOut);
  const { share } = state.terms;
  return {
    rateMilli: Math.max(0, share.rateMilli - lent.rateMilli),
    capacityTokens: Math.max(0, share.capacityTokens - lent.capacityTokens),
  };
}

/** Rate and capacity held now: own and borrowed. */
export function heldAmount(state: TeamState): Amount {
  let { rateMilli, capacityTokens } = ownAmount(state);
  for (const loan of state.loansIn) {
    rateMilli += loan.rateMilli;
    capacityTokens += loan.capacityTokens;
  }
  return { rateMilli, capacityTokens };
}

/** Whole tokens that could be spent now. */
export function levelTokens(state: TeamState): number {
  return Math.max(0, Math.floor(state.levelGrains / GRAINS_PER_TOKEN));
}

function accrue(state: TeamState, untilMs: number): void {
  const held = heldAmount(state);
  const capacityGrains = held.capacityTokens * GRAINS_PER_TOKEN;
  if (untilMs > state.accruedUntilMs) {
    const gained = held.rateMilli === 0
      ? 0
      : held.rateMilli * (untilMs - state.accruedUntilMs);
    state.levelGrains += gained;
    state.accruedUntilMs = untilMs;
  }
  if (state.levelGrains > capacityGrains) state.levelGrains = capacityGrains;
  // Events are rounded down to their millisecond. A bucket that is full before
  // the millisecond ends must not accrue for the part before a charge in it.
  const isFullWithinTick = state.levelGrains + held.rateMilli >= capacityGrains;
  if (isFullWithinTick && state.accruedUntilMs === untilMs) {
    state.accruedUntilMs = untilMs + 1;
  }
}

function earliestExpiry(state: TeamState): number {
  let earliest = Number.POSITIVE_INFINITY;
  for (const loan of state.loansOut) {
    earliest = Math.min(earliest, loan.untilMs);
  }
  for (const loan of state.loansIn) earliest = Math.min(earliest, loan.untilMs);
  return earliest;
}

function clipToCapacity(state: TeamState): void {
  const capacityGrains = heldAmount(state).capacityTokens * GRAINS_PER_TOKEN;
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
    clipToCapacity(state);
  }
  accrue(state, nowMs);
}

/** Throws when the level is above the capacity held. */
export function assertLevel(state: TeamState): void {
  const held = heldAmount(state);
  if (state.levelGrains <= held.capacityTokens * GRAINS_PER_TOKEN) return;
  throw new Error(
    `The level of ${state.levelGrains} grains is above the capacity of ` +
      `${held.capacityTokens} tokens; report this state to the developers`,
  );
}
