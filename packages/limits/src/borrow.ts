/**
 * Decides how much a holder borrows and from which lenders.
 *
 * Each round sends requests to a few lenders in parallel. If a shortage remains
 * after a round, the next round asks twice as many lenders, up to all of them.
 * Tokens are requested whenever the recent demand exceeds the level; capacity
 * is requested only while a waiting charge is larger than the capacity held.
 *
 * @module
 */

import { demandRateMilli } from "./demand.ts";
import type { LimitsEffect, LimitsEvent } from "./events.ts";
import { borrowerUseMs, UNITS_PER_TOKEN } from "./fixed_point.ts";
import {
  clampLevel,
  heldCapacityTokens,
  levelTokens,
  maxLevelUnits,
} from "./level.ts";
import type { TeamState } from "./state.ts";

/** After this time the next round starts without the missing answers. */
const ROUND_TIMEOUT_MS = 50;
/** Interval between rounds while no lender has anything left to lend. */
const EXHAUSTED_ROUND_INTERVAL_MS = 100;
/** Minimum interval between rounds. */
const MIN_ROUND_INTERVAL_MS = 5;
/** Time for which a lender that did not answer is not asked again. */
const FAILED_LENDER_BACKOFF_MS = 1000;
/** Tokens are prefetched for the demand expected within this time. */
const PREFETCH_HORIZON_MS = 500;
/** Shortages up to this fraction of the tokens to prefetch send no request. */
const MIN_PREFETCH_FRACTION = 0.25;

/** Capacity and tokens that a holder is short of. */
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

/** Tokens that the expected demand needs beyond what accrues here. */
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

/** Tokens that fit into the bucket besides those that accrue in the round. */
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

/** Lenders whose loans have passed half of their time and are still needed. */
function lendersToExtend(state: TeamState, nowMs: number): string[] {
  if (state.loansIn.length === 0 || state.waiting.length === 0) return [];
  const halfMs = borrowerUseMs(state.terms.leaseMs) / 2;
  return state.loansIn
    .filter((loan) => loan.untilMs - halfMs <= nowMs)
    .map((loan) => loan.lender);
}

function eligibleLenders(state: TeamState, nowMs: number): string[] {
  const { pendingTokens, backoffUntilMs } = state.round;
  return state.terms.lenders.filter((lender) =>
    !pendingTokens.has(lender) && (backoffUntilMs.get(lender) ?? nowMs) <= nowMs
  );
}

/** The earliest time at which another round may start. */
function nextRoundAtMs(state: TeamState): number {
  const { round } = state;
  if (round.open.size > 0) return round.startedAtMs + ROUND_TIMEOUT_MS;
  const intervalMs = round.exhausted
    ? EXHAUSTED_ROUND_INTERVAL_MS
    : MIN_ROUND_INTERVAL_MS;
  return round.startedAtMs + intervalMs;
}

/** Lenders to ask: first those whose loans need extending, then others. */
function chooseLenders(
  state: TeamState,
  shortage: Shortage,
  nowMs: number,
): string[] {
  const eligible = eligibleLenders(state, nowMs);
  // A lender that has lent all its capacity loses the tokens that accrue, so
  // the request is spread over all lenders.
  if (shortage.capacityTokens > 0) return eligible;
  const toExtend = lendersToExtend(state, nowMs)
    .filter((lender) => eligible.includes(lender));
  const others = eligible.filter((lender) => !toExtend.includes(lender));
  const count = Math.max(state.round.fanOut, toExtend.length);
  // Lenders are asked in rotation, so that none is drained while others are at
  // capacity and lose tokens.
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
  // The room is divided rounding down, so that the sum of the parts fits.
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
 * Starts a round of requests if one is due and returns one effect for each
 * lender. The capacity requested includes what the lender lends already.
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
    // Without a lender to ask, the round counts as refused by every lender.
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
 * Adds a received loan; a newer loan of the same lender replaces the older one.
 * Tokens beyond the room reserved for them plus the capacity that came with
 * them are discarded, because no holder's capacity covered them in transit.
 */
export function receiveLoan(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "loan_received" }>,
  nowMs: number,
): void {
  const { lender } = event;
  const room = state.round.pendingTokens.get(lender);
  // A duplicate or unexpected answer would add its tokens a second time.
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

/** Records that a lender did not answer; it is not asked again for a while. */
export function recordLenderFailure(
  state: TeamState,
  lender: string,
  nowMs: number,
): void {
  state.round.backoffUntilMs.set(lender, nowMs + FAILED_LENDER_BACKOFF_MS);
  recordAnswer(state, lender, nowMs);
}

/** Time at which the next round is due; infinity if no charge waits. */
export function nextBorrowAtMs(state: TeamState): number {
  const isIdle = state.waiting.length === 0 || state.draining;
  if (isIdle || state.terms.lenders.length === 0) return Infinity;
  return nextRoundAtMs(state);
}
