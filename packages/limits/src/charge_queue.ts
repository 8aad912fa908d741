/**
 * First-in, first-out queue of charges that wait for tokens, each until its own
 * deadline.
 *
 * @module
 */

import type { LimitsEffect } from "./events.ts";
import { UNITS_PER_TOKEN } from "./fixed_point.ts";
import type { TeamState, WaitingCharge } from "./state.ts";

/** Largest number of charges that may wait for one team at one holder. */
export const MAX_WAITING_CHARGES = 512;

/** The service rate is known once the queue has been busy for this time. */
const RATE_MEASUREMENT_MS = 3000;
/**
 * Factor on the measured rate, which may still grow; without it a forecast
 * could refuse charges too early.
 */
const MEASURED_RATE_MARGIN = 1.25;

/** Longest retry time that a refusal gives. */
const MAX_RETRY_AFTER_MS = 3_600_000;

/**
 * The expected rate of new tokens. Other domains may lend all that they have,
 * so the upper bound is the whole limit. Once the queue has been busy for a
 * while, the tokens granted in that time show how much they actually lend.
 */
function expectedRateMilli(state: TeamState, nowMs: number): number {
  const { share, limit, lenders } = state.terms;
  if (state.draining || lenders.length === 0) return share.rateMilli;
  const busyMs = nowMs - state.busySinceMs;
  if (state.waiting.length === 0 || busyMs < RATE_MEASUREMENT_MS) {
    return limit.rateMilli;
  }
  // Tokens are being collected for the first charge, so it counts as served.
  const servedTokens = state.busyGrantedTokens +
    (state.waiting[0]?.costTokens ?? 0);
  const measuredRateMilli = servedTokens * 1_000_000 / busyMs;
  const optimisticRateMilli = Math.floor(
    measuredRateMilli * MEASURED_RATE_MARGIN,
  );
  return Math.min(
    limit.rateMilli,
    Math.max(share.rateMilli, optimisticRateMilli),
  );
}

/** Milliseconds until the units have accrued at the expected rate. */
function timeUntilAccrued(
  state: TeamState,
  units: number,
  nowMs: number,
): number {
  if (units <= 0) return 0;
  const rateMilli = expectedRateMilli(state, nowMs);
  if (rateMilli <= 0) return MAX_RETRY_AFTER_MS;
  // The millisecond after the bucket was full does not accrue.
  const waitMs = Math.ceil(units / rateMilli) + 1;
  return Math.min(waitMs, MAX_RETRY_AFTER_MS);
}

/** Milliseconds until a cost queued behind `aheadTokens` could be granted. */
export function timeUntilGranted(
  state: TeamState,
  options: {
    readonly costTokens: number;
    readonly aheadTokens: number;
    readonly nowMs: number;
  },
): number {
  const neededUnits = (options.costTokens + options.aheadTokens) *
    UNITS_PER_TOKEN;
  return timeUntilAccrued(state, neededUnits - state.levelUnits, options.nowMs);
}

/** Appends a charge to the queue. */
export function enqueueCharge(
  state: TeamState,
  entry: WaitingCharge,
  nowMs: number,
): void {
  if (state.waiting.length === 0) {
    state.busySinceMs = nowMs;
    state.busyGrantedTokens = 0;
  }
  state.waiting.push(entry);
  state.waitingTokens += entry.costTokens;
}

/** Removes a charge from the queue; undefined if it is not in the queue. */
export function removeWaitingCharge(
  state: TeamState,
  id: string,
): WaitingCharge | undefined {
  const index = state.waiting.findIndex((entry) => entry.id === id);
  if (index < 0) return undefined;
  const [entry] = state.waiting.splice(index, 1);
  state.waitingTokens -= entry?.costTokens ?? 0;
  return entry;
}

/** Grants charges from the front of the queue while the level suffices. */
export function grantWaitingCharges(state: TeamState): LimitsEffect[] {
  const effects: LimitsEffect[] = [];
  let first = state.waiting[0];
  while (first !== undefined) {
    const costUnits = first.costTokens * UNITS_PER_TOKEN;
    if (state.levelUnits < costUnits) break;
    state.levelUnits -= costUnits;
    state.waiting.shift();
    state.waitingTokens -= first.costTokens;
    state.busyGrantedTokens += first.costTokens;
    effects.push({ kind: "granted", id: first.id });
    first = state.waiting[0];
  }
  return effects;
}

/** True if tokens cannot come faster than at the expected rate. */
function isForecastCertain(state: TeamState): boolean {
  return state.draining || state.terms.lenders.length === 0 ||
    state.round.exhausted;
}

/**
 * Refuses charges whose deadline has passed and, if no lender has anything left
 * to lend, those that cannot be granted before their deadline.
 */
export function refuseUnmeetableCharges(
  state: TeamState,
  nowMs: number,
): LimitsEffect[] {
  const isCertain = isForecastCertain(state);
  const remaining: WaitingCharge[] = [];
  const refused: LimitsEffect[] = [];
  let aheadTokens = 0;
  for (const entry of state.waiting) {
    const neededUnits = (aheadTokens + entry.costTokens) * UNITS_PER_TOKEN;
    const waitMs = timeUntilAccrued(
      state,
      neededUnits - state.levelUnits,
      nowMs,
    );
    const isUnmeetable = isCertain && nowMs + waitMs > entry.deadlineMs;
    if (entry.deadlineMs > nowMs && !isUnmeetable) {
      remaining.push(entry);
      aheadTokens += entry.costTokens;
      continue;
    }
    refused.push(createRefusal(entry.id, waitMs));
  }
  if (refused.length > 0) state.waiting = remaining;
  state.waitingTokens = aheadTokens;
  return refused;
}

/** Refuses the newest charge if it cannot be granted before its deadline. */
export function refuseNewestIfUnmeetable(
  state: TeamState,
  nowMs: number,
): LimitsEffect[] {
  const entry = state.waiting.at(-1);
  if (entry === undefined) return [];
  const isDue = entry.deadlineMs <= nowMs;
  if (!isDue && !isForecastCertain(state)) return [];
  const aheadTokens = state.waitingTokens - entry.costTokens;
  const { costTokens } = entry;
  const waitMs = timeUntilGranted(state, { costTokens, aheadTokens, nowMs });
  if (!isDue && nowMs + waitMs <= entry.deadlineMs) return [];
  removeWaitingCharge(state, entry.id);
  return [createRefusal(entry.id, waitMs)];
}

function createRefusal(id: string, waitMs: number): LimitsEffect {
  const retryAfterMs = Math.max(1, waitMs);
  return { kind: "refused", id, code: "rate_limited", retryAfterMs };
}

/** Time at which to check the queue next; infinity if it is empty. */
export function nextQueueWakeAtMs(state: TeamState, nowMs: number): number {
  const first = state.waiting[0];
  if (first === undefined) return Infinity;
  let earliest = nowMs + timeUntilGranted(state, {
    costTokens: first.costTokens,
    aheadTokens: 0,
    nowMs,
  });
  for (const entry of state.waiting) {
    earliest = Math.min(earliest, entry.deadlineMs);
  }
  // A first charge above the capacity held may be waiting for a loan to end.
  for (const loan of state.loansOut) {
    earliest = Math.min(earliest, loan.untilMs);
  }
  return earliest;
}
