/**
 * What a holder lends.
 *
 * @module
 */

import { demandRateMilli, largestRecentCost } from "./demand.ts";
import { GRAINS_PER_TOKEN, lenderWaitMs } from "./grains.ts";
import { heldAmount, lentAmount, levelTokens } from "./level.ts";
import { type Amount, lendablePart, type TeamState } from "./state.ts";

/** A holder keeps this much more than its recent demand. */
const KEEP_MARGIN = 1.25;
/** A holder keeps the capacity for its recent demand over this time. */
const KEEP_CAPACITY_MS = 1000;

/** A loan that a holder decided on. */
export interface LoanDecision {
  readonly loan: Amount;
  readonly tokens: number;
}

const NO_LOAN: LoanDecision = {
  loan: { rateMilli: 0, capacityTokens: 0 },
  tokens: 0,
};

/** What the holder's own recent demand needs. */
export function neededAmount(state: TeamState, nowMs: number): Amount {
  const rateMilli = Math.ceil(
    demandRateMilli(state.demand, nowMs) * KEEP_MARGIN,
  );
  const overTime = Math.ceil(rateMilli * KEEP_CAPACITY_MS / 1_000_000);
  const largest = Math.ceil(largestRecentCost(state.demand, nowMs));
  return { rateMilli, capacityTokens: Math.max(overTime, largest) };
}

function lendableNow(state: TeamState, nowMs: number): Amount {
  const needed = neededAmount(state, nowMs);
  const limit = lendablePart(state.terms);
  const { share } = state.terms;
  return {
    rateMilli: Math.min(limit.rateMilli, share.rateMilli - needed.rateMilli),
    capacityTokens: Math.min(
      limit.capacityTokens,
      share.capacityTokens - needed.capacityTokens,
    ),
  };
}

function decideAmount(
  state: TeamState,
  request: { readonly borrower: string; readonly want: Amount },
  nowMs: number,
): Amount {
  const lendable = lendableNow(state, nowMs);
  const others = state.loansOut
    .filter((loan) => loan.borrower !== request.borrower);
  const toOthers = lentAmount(others);
  const bound = (field: keyof Amount) =>
    Math.max(
      0,
      Math.min(request.want[field], lendable[field] - toOthers[field]),
    );
  return {
    rateMilli: bound("rateMilli"),
    capacityTokens: bound("capacityTokens"),
  };
}

/**
 * Tokens to give. They may exceed the lent capacity, because the borrower cuts
 * them down to the capacity it holds. What no longer fits the lender's own
 * capacity is given rather than lost.
 */
function decideTokens(
  state: TeamState,
  options: { readonly wantTokens: number; readonly nowMs: number },
): number {
  const needed = neededAmount(state, options.nowMs).capacityTokens;
  const own = state.terms.share.capacityTokens;
  const spare = levelTokens(state) - state.waitingTokens -
    Math.min(needed, own);
  const overflow = levelTokens(state) - heldAmount(state).capacityTokens;
  return Math.max(0, overflow, Math.min(options.wantTokens, Math.floor(spare)));
}

/** Throws when loans grew beyond the share. */
function assertLent(state: TeamState, before: Amount): void {
  const lent = lentAmount(state.loansOut);
  const { share } = state.terms;
  const mayLend = {
    rateMilli: Math.max(share.rateMilli, before.rateMilli),
    capacityTokens: Math.max(share.capacityTokens, before.capacityTokens),
  };
  if (
    lent.rateMilli <= mayLend.rateMilli &&
    lent.capacityTokens <= mayLend.capacityTokens
  ) return;
  throw new Error(
    "The loans are larger than the share; report this state to the developers",
  );
}

function book(
  state: TeamState,
  request: { readonly borrower: string; readonly loan: Amount },
  nowMs: number,
): void {
  const { borrower, loan } = request;
  if (loan.rateMilli === 0 && loan.capacityTokens === 0) return;
  const before = lentAmount(state.loansOut);
  const untilMs = nowMs + lenderWaitMs(state.terms.leaseMs);
  state.loansOut.push({ ...loan, borrower, untilMs });
  dropCovered(state);
  assertLent(state, before);
}

/**
 * Decides on a loan and books it. An extension of a loan to the same borrower
 * counts once, with the larger amounts, until the older part has expired.
 */
export function lend(
  state: TeamState,
  request: {
    readonly borrower: string;
    readonly want: Amount;
    readonly wantTokens: number;
  },
  nowMs: number,
): LoanDecision {
  if (state.draining) return NO_LOAN;
  const loan = decideAmount(state, request, nowMs);
  book(state, { borrower: request.borrower, loan }, nowMs);
  const tokens = decideTokens(state, { wantTokens: request.wantTokens, nowMs });
  state.levelGrains -= tokens * GRAINS_PER_TOKEN;
  const capacity = heldAmount(state).capacityTokens * GRAINS_PER_TOKEN;
  if (state.levelGrains > capacity) state.levelGrains = capacity;
  return { loan, tokens };
}

/** Drops loans that a later loan to the same borrower covers in full. */
function dropCovered(state: TeamState): void {
  state.loansOut = state.loansOut.filter((loan, index) =>
    !state.loansOut.some((later, laterIndex) =>
      laterIndex > index && later.borrower === loan.borrower &&
      later.untilMs >= loan.untilMs && later.rateMilli >= loan.rateMilli &&
      later.capacityTokens >= loan.capacityTokens
    )
  );
}
