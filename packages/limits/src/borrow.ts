/**
 * What a holder borrows, and from whom.
 *
 * A round asks a few lenders at once. When it leaves a shortage the next round
 * asks twice as many, up to all. Tokens are asked for whenever the recent
 * demand outruns the level; capacity only while a charge waits that is larger
 * than the capacity held.
 *
 * @module
 */

import { demandRateMilli } from "./demand.ts";
import type { LimitsEffect, LimitsEvent } from "./events.ts";
import { borrowerUseMs, GRAINS_PER_TOKEN } from "./grains.ts";
import { heldTokens, levelTokens } from "./level.ts";
import type { TeamState } from "./state.ts";

/** A round that was not answered in this time does not hold up the next. */
const ROUND_PATIENCE_MS = 50;
/** Time between rounds while every lender has said that it has no more. */
const EXHAUSTED_PAUSE_MS = 100;
/** Least time between rounds. */
const ROUND_PAUSE_MS = 5;
/** A lender that did not answer is left alone for this time. */
const FAILURE_PAUSE_MS = 1000;
/** Demand that the level should cover; tokens for it are fetched ahead. */
const AHEAD_MS = 500;
/** A smaller part than this of the tokens ahead is not worth a request. */
const WORTHWHILE_PART = 0.25;

/** Capacity and tokens that a holder lacks. */
interface Shortage {
  readonly capacityTokens: number;
  readonly tokens: number;
}

function largestWaiting(state: TeamState): number {
  let largest = 0;
  for (const entry of state.waiting) {
    if (entry.costTokens > largest) largest = entry.costTokens;
  }
  return largest;
}

/** Tokens that the demand will need beyond what accrues here. */
function tokensAhead(state: TeamState, nowMs: number): number {
  const { rateMilli } = state.terms.share;
  const missing = demandRateMilli(state.demand, nowMs) - rateMilli;
  return missing <= 0 ? 0 : Math.ceil(missing * AHEAD_MS / 1_000_000);
}

function computeShortage(state: TeamState, nowMs: number): Shortage {
  const held = heldTokens(state);
  const largest = largestWaiting(state);
  const capacityTokens = Math.max(0, largest - held);
  const wanted = state.waitingTokens + tokensAhead(state, nowMs);
  // More would not fit, and would be lost on arrival.
  const fitting = Math.min(wanted, Math.max(held, largest));
  const tokens = Math.max(0, fitting - levelTokens(state));
  return { capacityTokens, tokens };
}

function isShort(state: TeamState, nowMs: number): boolean {
  if (state.waiting.length > 0) return true;
  const ahead = tokensAhead(state, nowMs);
  if (ahead === 0) return false;
  const { tokens } = computeShortage(state, nowMs);
  return tokens > ahead * WORTHWHILE_PART;
}

/** Lenders whose loans are half used up and still needed. */
function dueLenders(state: TeamState, nowMs: number): string[] {
  if (state.loansIn.length === 0 || state.waiting.length === 0) return [];
  const halfMs = borrowerUseMs(state.terms.leaseMs) / 2;
  return state.loansIn
    .filter((loan) => loan.untilMs - halfMs <= nowMs)
    .map((loan) => loan.lender);
}

function askableLenders(state: TeamState, nowMs: number): string[] {
  const { pending, failedUntilMs } = state.round;
  return state.terms.lenders.filter((lender) =>
    !pending.has(lender) && (failedUntilMs.get(lender) ?? nowMs) <= nowMs
  );
}

/** The earliest moment at which another round may start. */
function nextRoundMs(state: TeamState): number {
  const { round } = state;
  if (round.open.size > 0) return round.startedAtMs + ROUND_PATIENCE_MS;
  const pause = round.exhausted ? EXHAUSTED_PAUSE_MS : ROUND_PAUSE_MS;
  return round.startedAtMs + pause;
}

/** Lenders to ask: those of loans that need extending, then the next in turn. */
function chooseLenders(state: TeamState, nowMs: number): string[] {
  const askable = askableLenders(state, nowMs);
  const due = dueLenders(state, nowMs)
    .filter((lender) => askable.includes(lender));
  const others = askable.filter((lender) => !due.includes(lender));
  const count = Math.max(state.round.fanOut, due.length);
  // Lenders take turns, so that none is emptied while others overflow.
  const turn = others.length === 0 ? 0 : state.round.turn++ % others.length;
  const inTurn = [...others.slice(turn), ...others.slice(0, turn)];
  return [...due, ...inTurn].slice(0, count);
}

function wantFrom(
  state: TeamState,
  lender: string,
  options: { readonly shortage: Shortage; readonly count: number },
): LimitsEffect {
  const present = state.loansIn.find((loan) => loan.lender === lender);
  const part = (value: number) => Math.ceil(value / options.count);
  const { shortage } = options;
  return {
    kind: "borrow",
    lender,
    wantCapacityTokens: (present?.capacityTokens ?? 0) +
      part(shortage.capacityTokens),
    wantTokens: part(shortage.tokens),
  };
}

/**
 * Starts a round of requests when one is due; the effects name the lenders and
 * the amounts. A wanted capacity includes what the lender lends at present.
 */
export function planBorrowing(
  state: TeamState,
  nowMs: number,
): LimitsEffect[] {
  if (state.draining || nowMs < nextRoundMs(state)) return [];
  if (!isShort(state, nowMs)) return [];
  const lenders = chooseLenders(state, nowMs);
  const { round } = state;
  round.startedAtMs = nowMs;
  if (lenders.length === 0) {
    // Nobody is left to ask, which is as good as every lender having said no.
    round.exhausted = round.pending.size === 0;
    return [];
  }
  round.open.clear();
  round.gained = false;
  const shortage = computeShortage(state, nowMs);
  for (const lender of lenders) {
    round.open.add(lender);
    round.pending.add(lender);
  }
  const options = { shortage, count: lenders.length };
  return lenders.map((lender) => wantFrom(state, lender, options));
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
  const isSatisfied = shortage.tokens <= 0 && shortage.capacityTokens <= 0;
  const askedAll = round.fanOut >= askableLenders(state, nowMs).length;
  round.exhausted = !isSatisfied && askedAll && !round.gained;
  if (isSatisfied) round.fanOut = Math.max(1, Math.floor(round.fanOut / 2));
  else if (!askedAll) round.fanOut *= 2;
}

/** Takes a loan; a newer loan of the same lender replaces the older one. */
export function receiveLoan(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "loan_received" }>,
  nowMs: number,
): void {
  const { lender, capacityTokens, requestedAtMs } = event;
  // An answer that was not waited for would add its tokens a second time.
  if (!state.round.pending.has(lender)) return;
  const untilMs = requestedAtMs + borrowerUseMs(event.leaseMs);
  if (capacityTokens > 0 && untilMs > nowMs) {
    state.loansIn = state.loansIn.filter((loan) => loan.lender !== lender);
    state.loansIn.push({ lender, capacityTokens, untilMs });
  }
  if (event.tokens > 0) state.round.gained = true;
  takeTokens(state, event.tokens);
  endRoundWhenAnswered(state, lender, nowMs);
}

function takeTokens(state: TeamState, tokens: number): void {
  const held = heldTokens(state) * GRAINS_PER_TOKEN;
  const level = state.levelGrains + tokens * GRAINS_PER_TOKEN;
  state.levelGrains = Math.min(level, held);
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

/** When the next round is due; infinity when no charge waits. */
export function nextBorrowMs(state: TeamState): number {
  const isIdle = state.waiting.length === 0 || state.draining;
  if (isIdle || state.terms.lenders.length === 0) return Infinity;
  return nextRoundMs(state);
}
