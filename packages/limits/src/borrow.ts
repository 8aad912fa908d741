/**
 * What a holder borrows, and from whom.
 *
 * A round asks a few lenders at once. When it leaves a shortage the next round
 * asks twice as many, up to all. A lender whose loan is half used up is asked
 * again, so that a loan in use is extended before it ends.
 *
 * @module
 */

import { demandRateMilli, noteDemand } from "./demand.ts";
import type { LimitsEffect, LimitsEvent } from "./events.ts";
import { borrowerUseMs, GRAINS_PER_TOKEN } from "./grains.ts";
import { neededAmount } from "./lend.ts";
import { heldAmount, levelTokens, ownAmount } from "./level.ts";
import type { Amount, LoanIn, TeamState } from "./state.ts";

/** A round that was not answered in this time does not hold up the next. */
const ROUND_PATIENCE_MS = 50;
/** Time between rounds while every lender has said that it has no more. */
const EXHAUSTED_PAUSE_MS = 100;
/** Least time between rounds. */
const ROUND_PAUSE_MS = 5;
/** A lender that did not answer is left alone for this time. */
const FAILURE_PAUSE_MS = 1000;
/** Demand that the level should cover before tokens are fetched ahead. */
const AHEAD_MS = 500;

/** Rate, capacity and tokens that a holder lacks; negative when it has spare. */
interface Shortage extends Amount {
  readonly tokens: number;
}

function largestWaiting(state: TeamState): number {
  let largest = 0;
  for (const entry of state.waiting) {
    if (entry.costTokens > largest) largest = entry.costTokens;
  }
  return largest;
}

/** What is lacking for the recent demand and for the charges that wait. */
export function computeShortage(state: TeamState, nowMs: number): Shortage {
  const { limit } = state.terms;
  const needed = neededAmount(state, nowMs);
  const held = heldAmount(state);
  const level = levelTokens(state);
  const ahead = Math.ceil(needed.rateMilli * AHEAD_MS / 1_000_000);
  const backlog = Math.max(0, state.waitingTokens - level);
  const rate = Math.min(limit.rateMilli, needed.rateMilli + backlog * 1000);
  const capacity = Math.min(
    limit.capacityTokens,
    Math.max(needed.capacityTokens, largestWaiting(state)),
  );
  return {
    rateMilli: rate - held.rateMilli,
    capacityTokens: capacity - held.capacityTokens,
    tokens: Math.min(state.waitingTokens + ahead, limit.capacityTokens) - level,
  };
}

function isShort(state: TeamState, nowMs: number): boolean {
  if (state.waiting.length > 0) return true;
  if (demandRateMilli(state.demand, nowMs) === 0) return false;
  const shortage = computeShortage(state, nowMs);
  return shortage.rateMilli > 0 && shortage.tokens > 0;
}

/** When a loan should be asked for again. */
function renewalMs(state: TeamState, loan: LoanIn): number {
  return loan.untilMs - Math.floor(borrowerUseMs(state.terms.leaseMs) / 2);
}

/** True when the recent demand still needs more than the own share. */
function needsLoans(state: TeamState, nowMs: number): boolean {
  if (state.waiting.length > 0) return true;
  const needed = neededAmount(state, nowMs);
  const own = ownAmount(state);
  return needed.rateMilli > own.rateMilli ||
    needed.capacityTokens > own.capacityTokens;
}

function dueLenders(state: TeamState, nowMs: number): string[] {
  if (!needsLoans(state, nowMs)) return [];
  return state.loansIn
    .filter((loan) => renewalMs(state, loan) <= nowMs)
    .map((loan) => loan.lender);
}

function askableLenders(state: TeamState, nowMs: number): string[] {
  return state.terms.lenders.filter((lender) =>
    !state.round.pending.has(lender) &&
    (state.round.failedUntilMs.get(lender) ?? nowMs) <= nowMs
  );
}

/** The earliest moment at which another round may start. */
function nextRoundMs(state: TeamState): number {
  const { round } = state;
  if (round.open.size > 0) return round.startedAtMs + ROUND_PATIENCE_MS;
  const pause = round.exhausted ? EXHAUSTED_PAUSE_MS : ROUND_PAUSE_MS;
  return round.startedAtMs + pause;
}

function chooseLenders(
  state: TeamState,
  due: readonly string[],
  nowMs: number,
): string[] {
  const askable = askableLenders(state, nowMs);
  const present = new Set(state.loansIn.map((loan) => loan.lender));
  const preferred = askable.filter((lender) => present.has(lender));
  const others = askable.filter((lender) => !present.has(lender));
  const count = Math.max(state.round.fanOut, due.length);
  const ordered = [
    ...preferred.filter((lender) => due.includes(lender)),
    ...preferred.filter((lender) => !due.includes(lender)),
    ...others,
  ];
  return ordered.slice(0, count);
}

function wantFrom(
  state: TeamState,
  lender: string,
  options: { readonly shortage: Shortage; readonly count: number },
): Extract<LimitsEffect, { kind: "borrow" }> {
  const present = state.loansIn.find((loan) => loan.lender === lender);
  const part = (value: number) => Math.ceil(value / options.count);
  const { shortage } = options;
  return {
    kind: "borrow",
    lender,
    want: {
      rateMilli: Math.max(
        0,
        (present?.rateMilli ?? 0) + part(shortage.rateMilli),
      ),
      capacityTokens: Math.max(
        0,
        (present?.capacityTokens ?? 0) + part(shortage.capacityTokens),
      ),
    },
    wantTokens: Math.max(0, part(shortage.tokens)),
  };
}

/**
 * Starts a round of requests when one is due; the effects name the lenders and
 * the amounts, which include what each lender lends at present.
 */
export function planBorrowing(
  state: TeamState,
  nowMs: number,
): LimitsEffect[] {
  if (state.draining || state.terms.lenders.length === 0) return [];
  if (nowMs < nextRoundMs(state)) return [];
  const due = dueLenders(state, nowMs);
  if (due.length === 0 && !isShort(state, nowMs)) return [];
  const lenders = chooseLenders(state, due, nowMs);
  const { round } = state;
  if (lenders.length === 0) {
    // Nobody is left to ask, which is as good as every lender having said no.
    round.exhausted = round.pending.size === 0;
    round.startedAtMs = nowMs;
    return [];
  }
  round.open.clear();
  round.startedAtMs = nowMs;
  const shortage = computeShortage(state, nowMs);
  return lenders.map((lender) => {
    round.open.add(lender);
    round.pending.add(lender);
    return wantFrom(state, lender, { shortage, count: lenders.length });
  });
}

function endRoundWhenAnswered(
  state: TeamState,
  lender: string,
  nowMs: number,
): void {
  const { round } = state;
  round.pending.delete(lender);
  if (!round.open.delete(lender) || round.open.size > 0) return;
  const shortage = computeShortage(state, nowMs);
  const isSatisfied = state.waitingTokens <= levelTokens(state) &&
    (shortage.rateMilli <= 0 || shortage.tokens <= 0);
  const askedAll = round.fanOut >= askableLenders(state, nowMs).length;
  round.exhausted = !isSatisfied && askedAll;
  if (isSatisfied) round.fanOut = Math.max(1, state.loansIn.length);
  else if (!askedAll) round.fanOut *= 2;
}

/** Takes a loan; a newer loan of the same lender replaces the older one. */
export function receiveLoan(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "loan_received" }>,
  nowMs: number,
): void {
  // An answer that was not waited for would add its tokens a second time.
  if (!state.round.pending.has(event.lender)) return;
  const present = state.loansIn.find((loan) => loan.lender === event.lender);
  const untilMs = event.requestedAtMs + borrowerUseMs(event.leaseMs);
  const isNewer = (present?.requestedAtMs ?? -Infinity) < event.requestedAtMs;
  const hasAmount = event.loan.rateMilli + event.loan.capacityTokens > 0;
  if (isNewer && hasAmount && untilMs > nowMs) {
    state.loansIn = state.loansIn
      .filter((loan) => loan.lender !== event.lender);
    state.loansIn.push({
      ...event.loan,
      lender: event.lender,
      untilMs,
      requestedAtMs: event.requestedAtMs,
    });
    // The loan began within this millisecond, not before it.
    const gained = event.loan.rateMilli - (present?.rateMilli ?? 0);
    state.levelGrains -= Math.max(0, gained);
  }
  takeTokens(state, { tokens: event.tokens, nowMs });
  endRoundWhenAnswered(state, event.lender, nowMs);
}

function takeTokens(
  state: TeamState,
  options: { readonly tokens: number; readonly nowMs: number },
): void {
  const capacity = heldAmount(state).capacityTokens * GRAINS_PER_TOKEN;
  const level = state.levelGrains + options.tokens * GRAINS_PER_TOKEN;
  state.levelGrains = Math.min(level, capacity);
  noteDemand(state.inflow, {
    costTokens: options.tokens,
    nowMs: options.nowMs,
  });
}

/** Notes that a lender did not answer. */
export function noteLenderFailure(
  state: TeamState,
  lender: string,
  nowMs: number,
): void {
  state.round.failedUntilMs.set(lender, nowMs + FAILURE_PAUSE_MS);
  endRoundWhenAnswered(state, lender, nowMs);
}

/** When the next round may be due; infinity when none is in sight. */
export function nextBorrowMs(state: TeamState): number {
  if (state.draining || state.terms.lenders.length === 0) return Infinity;
  const roundMs = nextRoundMs(state);
  if (state.waiting.length > 0) return roundMs;
  const renewals = state.loansIn.map((loan) => renewalMs(state, loan));
  return Math.max(roundMs, Math.min(...renewals));
}
