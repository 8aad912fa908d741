/**
 * Decides how much capacity and how many tokens a holder lends.
 *
 * @module
 */

import { hashText } from "@endivebend/rights";
import { demandRateMilli } from "./demand.ts";
import { lenderWaitMs, UNITS_PER_TOKEN } from "./fixed_point.ts";
import { clampLevel, lentCapacityTokens, levelTokens } from "./level.ts";
import { lendableCapacityTokens, type TeamState } from "./state.ts";

/** A holder reserves its recent demand times this factor. */
const RESERVE_MARGIN = 1.25;
/** A holder reserves the tokens that its recent demand needs in this time. */
const RESERVE_MS = 500;
/** Holders alternate between yielding and reserving with this period each. */
const YIELD_PERIOD_MS = 2000;

/** The amounts that a borrower requests. */
export interface LoanRequest {
  readonly borrower: string;
  /** Total capacity, including what is lent to the borrower already. */
  readonly wantCapacityTokens: number;
  readonly wantTokens: number;
}

/** The amounts that a holder lends. */
export interface LoanDecision {
  readonly capacityTokens: number;
  readonly tokens: number;
}

/**
 * Tokens, or capacity in tokens, that the holder reserves for its recent demand
 * and for the waiting charges.
 */
function reservedTokens(
  state: TeamState,
  borrower: string,
  nowMs: number,
): number {
  const rateMilli = demandRateMilli(state.demand, nowMs) * RESERVE_MARGIN;
  const recent = Math.ceil(rateMilli * RESERVE_MS / 1_000_000);
  if (state.waiting.length === 0) return recent;
  if (mayYield(state) && isBorrowersTurn(borrower, nowMs)) return 0;
  return recent + state.waitingTokens;
}

/** True if the first waiting charge exceeds this holder's own share. */
function mayYield(state: TeamState): boolean {
  const first = state.waiting[0];
  return first !== undefined &&
    first.costTokens > state.terms.share.capacityTokens;
}

/**
 * True while this holder yields to the borrower. If the first charges of
 * several holders exceed their shares, each needs the others' capacity, and
 * without yielding none would be granted; so each yields to each borrower half
 * of the time.
 */
function isBorrowersTurn(borrower: string, nowMs: number): boolean {
  return ((Math.floor(nowMs / YIELD_PERIOD_MS) + hashText(borrower)) & 1) === 0;
}

function decideCapacity(
  state: TeamState,
  request: LoanRequest,
  nowMs: number,
): number {
  const shareTokens = state.terms.share.capacityTokens;
  const spareTokens = shareTokens -
    reservedTokens(state, request.borrower, nowMs);
  const lendable = Math.min(lendableCapacityTokens(state.terms), spareTokens);
  const lentToOthers = lentCapacityTokens(
    state.loansOut.filter((loan) => loan.borrower !== request.borrower),
  );
  const wanted = Math.min(request.wantCapacityTokens, lendable - lentToOthers);
  return Math.max(0, Math.floor(wanted));
}

/**
 * Tokens to lend: at most what the borrower has reserved room for plus the
 * capacity lent with them, because tokens in transit must be covered by some
 * holder's capacity.
 */
function decideTokens(
  state: TeamState,
  options: {
    readonly request: LoanRequest;
    readonly addedTokens: number;
    readonly nowMs: number;
  },
): number {
  const { request, addedTokens, nowMs } = options;
  const reserved = reservedTokens(state, request.borrower, nowMs);
  const spareTokens = levelTokens(state) - reserved;
  return Math.max(0, Math.min(request.wantTokens + addedTokens, spareTokens));
}

/** Throws if a new loan has raised the lent capacity above the share. */
function assertLentWithinShare(state: TeamState, beforeTokens: number): void {
  const lent = lentCapacityTokens(state.loansOut);
  const shareTokens = state.terms.share.capacityTokens;
  if (lent <= Math.max(shareTokens, beforeTokens)) return;
  throw new Error(
    "Lent capacity exceeds the share; report this state to the developers",
  );
}

/** Removes loans that a later loan to the same borrower covers in full. */
function dropCoveredLoans(state: TeamState): void {
  state.loansOut = state.loansOut.filter((loan, index) =>
    !state.loansOut.some((later, laterIndex) =>
      laterIndex > index && later.borrower === loan.borrower &&
      later.untilMs >= loan.untilMs &&
      later.capacityTokens >= loan.capacityTokens
    )
  );
}

function recordLoan(
  state: TeamState,
  loan: { readonly borrower: string; readonly capacityTokens: number },
  nowMs: number,
): void {
  if (loan.capacityTokens === 0) return;
  const beforeTokens = lentCapacityTokens(state.loansOut);
  const untilMs = nowMs + lenderWaitMs(state.terms.leaseMs);
  state.loansOut.push({ ...loan, untilMs });
  dropCoveredLoans(state);
  assertLentWithinShare(state, beforeTokens);
}

/**
 * Decides on a loan and records it. An extension of a loan to the same borrower
 * counts once, with the larger amount, until the older loan has expired.
 */
export function lend(
  state: TeamState,
  request: LoanRequest,
  nowMs: number,
): LoanDecision {
  if (state.draining) return { capacityTokens: 0, tokens: 0 };
  const { borrower } = request;
  const beforeTokens = lentCapacityTokens(
    state.loansOut.filter((loan) => loan.borrower === borrower),
  );
  const capacityTokens = decideCapacity(state, request, nowMs);
  const addedTokens = Math.max(0, capacityTokens - beforeTokens);
  const tokens = decideTokens(state, { request, addedTokens, nowMs });
  state.levelUnits -= tokens * UNITS_PER_TOKEN;
  recordLoan(state, { borrower, capacityTokens }, nowMs);
  clampLevel(state);
  return { capacityTokens, tokens };
}
