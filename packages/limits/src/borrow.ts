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
import { borrowerUseMs, UNITS_PER_TOKEN } from "./grains.ts";
import {
  clampLevel,
  heldCapacityTokens,
  levelTokens,
  maxLevelUnits,
} from "./level.ts";
import type { TeamState } from "./state.ts";

/** A round that was not answered in this time does not hold up the next. */
const ROUND_TIMEOUT_MS = 50;
/** Time between rounds while every lender has said that it has no more. */
const EXHAUSTED_ROUND_INTERVAL_MS = 100;
/** Least time between rounds. */
const MIN_ROUND_INTERVAL_MS = 5;
/** A lender that did not answer is left alone for this time. */
const FAILED_LENDER_BACKOFF_MS = 1000;
/** Demand that the level should cover; tokens for it are fetched ahead. */
const PREFETCH_HORIZON_MS = 500;
/** A smaller part than this of the tokens ahead is not worth a request. */
const MIN_PREFETCH_FRACTION = 0.25;

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
function prefetchTokens(state: TeamState, nowMs: number): number {
  const { rateMilli } = state.terms.share;
  const missingRateMilli = demandRateMilli(state.demand, nowMs) - rateMilli;
  return missingRateMilli <= 0
    ? 0
    : Math.ceil(missingRateMilli * PREFETCH_HORIZON_MS / 1_000_000);
}

function computeShortage(state: TeamState, nowMs: number): Shortage {
  const held = heldCapacityTokens(state);
  const largest = largestWaiting(state);
  const capacityTokens = Math.max(0, largest - held);
  const wanted = state.waitingTokens + prefetchTokens(state, nowMs);
  const tokens = Math.max(0, wanted - levelTokens(state));
  return { capacityTokens, tokens };
}

/** Tokens that there is room for, beside what accrues during the round. */
function roomTokens(state: TeamState): number {
  const freeUnits = maxLevelUnits(state) - Math.max(0, state.levelUnits);
  const accruingUnits = state.terms.share.rateMilli * ROUND_TIMEOUT_MS;
  const units = Math.max(0, freeUnits - Math.min(accruingUnits, freeUnits / 2));
  return Math.floor(units / UNITS_PER_TOKEN);
}

function shouldBorrow(state: TeamState, nowMs: number): boolean {
  if (state.waiting.length > 0) return true;
  const prefetch = prefetchTokens(state, nowMs);
  if (prefetch === 0) return false;
  const { tokens } = computeShortage(state, nowMs);
  return tokens > prefetch * MIN_PREFETCH_FRACTION;
}

/** Lenders whose loans are half used up and still needed. */
function lendersToExtend(state: TeamState, nowMs: number): string[] {
  if (state.loansIn.length === 0 || state.waiting.length === 0) return [];
  const halfMs = borrowerUseMs(state.terms.leaseMs) / 2;
  return state.loansIn
    .filter((loan) => loan.untilMs - halfMs <= nowMs)
    .map((loan) => loan.lender);
}

function eligibleLenders(state: TeamState, nowMs: number): string[] {
  const { pendingTokens: pendingTokens, backoffUntilMs: backoffUntilMs } =
    state.round;
  return state.terms.lenders.filter((lender) =>
    !pendingTokens.has(lender) && (backoffUntilMs.get(lender) ?? nowMs) <= nowMs
  );
}

/** The earliest moment at which another round may start. */
function nextRoundAtMs(state: TeamState): number {
  const { round } = state;
  if (round.open.size > 0) return round.startedAtMs + ROUND_TIMEOUT_MS;
  const intervalMs = round.exhausted
    ? EXHAUSTED_ROUND_INTERVAL_MS
    : MIN_ROUND_INTERVAL_MS;
  return round.startedAtMs + intervalMs;
}

/** Lenders to ask: those of loans that need extending, then the next in turn. */
function chooseLenders(
  state: TeamState,
  shortage: Shortage,
  nowMs: number,
): string[] {
  const eligible = eligibleLenders(state, nowMs);
  // A lender without capacity loses what accrues, so all lend a little.
  if (shortage.capacityTokens > 0) return eligible;
  const toExtend = lendersToExtend(state, nowMs)
    .filter((lender) => eligible.includes(lender));
  const others = eligible.filter((lender) => !toExtend.includes(lender));
  const count = Math.max(state.round.fanOut, toExtend.length);
  // Lenders take turns, so that none is emptied while others overflow.
  const start = others.length === 0
    ? 0
    : state.round.rotation++ % others.length;
  const inTurn = [...others.slice(start), ...others.slice(0, start)];
  return [...toExtend, ...inTurn].slice(0, count);
}

function createBorrowEffect(
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
  if (state.draining || nowMs < nextRoundAtMs(state)) return [];
  if (!shouldBorrow(state, nowMs)) return [];
  const shortage = computeShortage(state, nowMs);
  const lenders = chooseLenders(state, shortage, nowMs);
  const { round } = state;
  round.startedAtMs = nowMs;
  if (lenders.length === 0) {
    // Nobody is left to ask, which is as good as every lender having said no.
    round.exhausted = round.pendingTokens.size === 0;
    return [];
  }
  round.open.clear();
  round.hasGained = false;
  const effects = lenders.map((lender) =>
    createBorrowEffect(state, lender, {
      shortage,
      roomTokens: roomTokens(state),
      count: lenders.length,
    })
  );
  for (const { lender, wantTokens } of effects) {
    round.open.add(lender);
    round.pendingTokens.set(lender, wantTokens);
  }
  return effects;
}

function recordAnswer(
  state: TeamState,
  lender: string,
  nowMs: number,
): void {
  const { round } = state;
  round.pendingTokens.delete(lender);
  if (!round.open.delete(lender) || round.open.size > 0) return;
  const shortage = computeShortage(state, nowMs);
  const isSatisfied = shortage.tokens <= 0 && shortage.capacityTokens <= 0;
  const askedAll = round.fanOut >= eligibleLenders(state, nowMs).length;
  round.exhausted = !isSatisfied && askedAll && !round.hasGained;
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
  const room = state.round.pendingTokens.get(lender);
  // An answer that was not waited for would add its tokens a second time.
  if (room === undefined) return;
  state.round.pendingTokens.delete(lender);
  const before = heldCapacityTokens(state);
  replaceLoan(state, event, nowMs);
  const gained = Math.max(0, heldCapacityTokens(state) - before);
  const tokens = Math.min(event.tokens, room + gained);
  if (tokens > 0) state.round.hasGained = true;
  state.levelUnits += tokens * UNITS_PER_TOKEN;
  clampLevel(state);
  recordAnswer(state, lender, nowMs);
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
export function recordLenderFailure(
  state: TeamState,
  lender: string,
  nowMs: number,
): void {
  state.round.backoffUntilMs.set(lender, nowMs + FAILED_LENDER_BACKOFF_MS);
  recordAnswer(state, lender, nowMs);
}

/** When the next round is due; infinity when no charge waits. */
export function nextBorrowAtMs(state: TeamState): number {
  const isIdle = state.waiting.length === 0 || state.draining;
  if (isIdle || state.terms.lenders.length === 0) return Infinity;
  return nextRoundAtMs(state);
}
