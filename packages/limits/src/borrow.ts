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
import { clipLevel, heldTokens, levelCapGrains, levelTokens } from "./level.ts";
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

type BorrowEffect = Extract<LimitsEffect, { kind: "borrow" }>;

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
  const tokens = Math.max(0, wanted - levelTokens(state));
  return { capacityTokens, tokens };
}

/** Tokens that there is room for, beside what accrues during the round. */
function roomTokens(state: TeamState): number {
  const freeGrains = levelCapGrains(state) - Math.max(0, state.levelGrains);
  const accruing = state.terms.share.rateMilli * ROUND_PATIENCE_MS;
  const grains = Math.max(0, freeGrains - Math.min(accruing, freeGrains / 2));
  return Math.floor(grains / GRAINS_PER_TOKEN);
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
function chooseLenders(
  state: TeamState,
  shortage: Shortage,
  nowMs: number,
): string[] {
  const askable = askableLenders(state, nowMs);
  // A lender without capacity loses what accrues, so all lend a little.
  if (shortage.capacityTokens > 0) return askable;
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
  options: {
    readonly shortage: Shortage;
    readonly roomTokens: number;
    readonly count: number;
  },
): BorrowEffect {
  const present = state.loansIn.find((loan) => loan.lender === lender);
  const part = (value: number) => Math.ceil(value / options.count);
  // Parts are rounded down where room is kept, so that all of them fit.
  const room = Math.floor(options.roomTokens / options.count);
  const { shortage } = options;
  return {
    kind: "borrow",
    lender,
    wantCapacityTokens: (present?.capacityTokens ?? 0) +
      part(shortage.capacityTokens),
    wantTokens: Math.min(part(shortage.tokens), room),
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
  const shortage = computeShortage(state, nowMs);
  const lenders = chooseLenders(state, shortage, nowMs);
  const { round } = state;
  round.startedAtMs = nowMs;
  if (lenders.length === 0) {
    // Nobody is left to ask, which is as good as every lender having said no.
    round.exhausted = round.pending.size === 0;
    return [];
  }
  round.open.clear();
  round.gained = false;
  const effects = lenders.map((lender) =>
    wantFrom(state, lender, {
      shortage,
      roomTokens: roomTokens(state),
      count: lenders.length,
    })
  );
  for (const { lender, wantTokens } of effects) {
    round.open.add(lender);
    round.pending.set(lender, wantTokens);
  }
  return effects;
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

/**
 * Takes a loan; a newer loan of the same lender replaces the older one. Tokens
 * beyond the room kept for them and the capacity that came with them are not
 * taken: nobody's capacity has covered them on their way.
 */
export function receiveLoan(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "loan_received" }>,
  nowMs: number,
): void {
  const { lender } = event;
  const room = state.round.pending.get(lender);
  // An answer that was not waited for would add its tokens a second time.
  if (room === undefined) return;
  state.round.pending.delete(lender);
  const before = heldTokens(state);
  replaceLoan(state, event, nowMs);
  const gained = Math.max(0, heldTokens(state) - before);
  const tokens = Math.min(event.tokens, room + gained);
  if (tokens > 0) state.round.gained = true;
  state.levelGrains += tokens * GRAINS_PER_TOKEN;
  clipLevel(state);
  endRoundWhenAnswered(state, lender, nowMs);
}

function replaceLoan(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "loan_received" }>,
  nowMs: number,
): void {
  const { lender, capacityTokens } = event;
  const untilMs = event.requestedAtMs + borrowerUseMs(event.leaseMs);
  if (capacityTokens === 0 || untilMs <= nowMs) return;
  state.loansIn = state.loansIn.filter((loan) => loan.lender !== lender);
  state.loansIn.push({ lender, capacityTokens, untilMs });
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
