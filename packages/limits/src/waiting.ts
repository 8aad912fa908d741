/**
 * The queue of charges that wait for tokens: first come, first served, each
 * until its own deadline.
 *
 * @module
 */

import type { LimitsEffect } from "./events.ts";
import { UNITS_PER_TOKEN } from "./grains.ts";
import type { TeamState, WaitingCharge } from "./state.ts";

/** More charges than this do not wait for one team at one holder. */
export const MAX_WAITING_CHARGES = 512;

/** A queue that was busy for so long shows the rate at which it is served. */
const RATE_MEASUREMENT_MS = 3000;
/** The measured rate may still grow; a forecast must not refuse too early. */
const MEASURED_RATE_MARGIN = 1.25;

/** A refusal names at most this time to wait. */
const MAX_RETRY_AFTER_MS = 3_600_000;

/**
 * The rate at which tokens will come. Other domains may give all that they
 * have, so it is at most the whole limit; once the queue has not been empty for
 * a while, what was granted meanwhile shows how much they do give.
 */
function expectedRateMilli(state: TeamState, nowMs: number): number {
  const { share, limit, lenders } = state.terms;
  if (state.draining || lenders.length === 0) return share.rateMilli;
  const busyMs = nowMs - state.busySinceMs;
  if (state.waiting.length === 0 || busyMs < RATE_MEASUREMENT_MS) {
    return limit.rateMilli;
  }
  // The first charge is being paid for at the moment.
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

/** Milliseconds until so many grains have come, at the rate expected. */
function timeUntilAccrued(
  state: TeamState,
  units: number,
  nowMs: number,
): number {
  if (units <= 0) return 0;
  const rateMilli = expectedRateMilli(state, nowMs);
  if (rateMilli <= 0) return MAX_RETRY_AFTER_MS;
  // The millisecond after a full bucket does not accrue.
  const waitMs = Math.ceil(units / rateMilli) + 1;
  return Math.min(waitMs, MAX_RETRY_AFTER_MS);
}

/** Milliseconds until a cost behind `aheadTokens` of others could be granted. */
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

/** Adds a charge behind the others. */
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

/** Takes a charge out of the queue; undefined when it does not wait. */
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

/** Grants charges from the front for as long as the level suffices. */
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

/** True when waiting longer can bring no more than the expected rates. */
function isForecastCertain(state: TeamState): boolean {
  return state.draining || state.terms.lenders.length === 0 ||
    state.round.exhausted;
}

/**
 * Refuses charges whose deadline has passed and, once every lender has been
 * asked in vain, those that cannot be granted before their deadline.
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

/** Refuses the newest charge at once when it can only wait in vain. */
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

/** When the queue has to be looked at next; infinity when nothing waits. */
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
  // A head that is larger than the capacity held may wait for a loan to end.
  for (const loan of state.loansOut) {
    earliest = Math.min(earliest, loan.untilMs);
  }
  return earliest;
}
