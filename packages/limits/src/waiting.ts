/**
 * The queue of charges that wait for tokens: first come, first served, each
 * until its own deadline.
 *
 * @module
 */

import { demandRateMilli } from "./demand.ts";
import type { LimitsEffect } from "./events.ts";
import { GRAINS_PER_TOKEN } from "./grains.ts";
import { heldAmount, largestTo } from "./level.ts";
import type { TeamState, WaitingCharge } from "./state.ts";

/** More charges than this do not wait for one team at one holder. */
export const MAX_WAITING_CHARGES = 512;

/** A refusal names at most this time to wait. */
const MAX_RETRY_AFTER_MS = 3_600_000;

/** The rate from a moment on. */
interface RateStep {
  readonly fromMs: number;
  readonly rateMilli: number;
}

/**
 * The rates expected: the rate held and what lenders gave lately, then loans
 * given coming back at their deadlines.
 */
function expectRates(state: TeamState, nowMs: number): RateStep[] {
  const inflow = demandRateMilli(state.inflow, nowMs);
  const limit = state.terms.limit.rateMilli;
  let rateMilli = heldAmount(state).rateMilli + Math.floor(inflow);
  const steps = [{ fromMs: nowMs, rateMilli: Math.min(limit, rateMilli) }];
  if (state.loansOut.length === 0) return steps;
  const endings = new Map<string, number>();
  for (const loan of state.loansOut) {
    const untilMs = endings.get(loan.borrower) ?? 0;
    endings.set(loan.borrower, Math.max(untilMs, loan.untilMs));
  }
  const inOrder = [...endings].toSorted((a, b) => a[1] - b[1]);
  for (const [borrower, fromMs] of inOrder) {
    rateMilli += largestTo(state.loansOut, borrower).rateMilli;
    steps.push({ fromMs, rateMilli: Math.min(limit, rateMilli) });
  }
  return steps;
}

/** Milliseconds from the first step until so many grains have accrued. */
function timeToGain(steps: readonly RateStep[], grains: number): number {
  const startMs = steps[0]?.fromMs ?? 0;
  let missing = grains;
  if (missing <= 0) return 0;
  for (const [index, step] of steps.entries()) {
    const endMs = steps[index + 1]?.fromMs ?? Infinity;
    const gain = step.rateMilli === 0
      ? 0
      : step.rateMilli * (endMs - step.fromMs);
    if (gain >= missing) {
      // The millisecond after a full bucket does not accrue.
      const waitMs = step.fromMs - startMs +
        Math.ceil(missing / step.rateMilli) + 1;
      return Math.min(waitMs, MAX_RETRY_AFTER_MS);
    }
    missing -= gain;
  }
  return MAX_RETRY_AFTER_MS;
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
  const total = (options.costTokens + options.aheadTokens) * GRAINS_PER_TOKEN;
  const steps = expectRates(state, options.nowMs);
  return timeToGain(steps, total - state.levelGrains);
}

/** Adds a charge behind the others. */
export function enqueue(state: TeamState, entry: WaitingCharge): void {
  state.waiting.push(entry);
  state.waitingTokens += entry.costTokens;
}

/** Takes a charge out of the queue; undefined when it does not wait. */
export function removeWaiting(
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
export function grantWaiting(state: TeamState): LimitsEffect[] {
  const effects: LimitsEffect[] = [];
  let head = state.waiting[0];
  while (head !== undefined) {
    const costGrains = head.costTokens * GRAINS_PER_TOKEN;
    if (state.levelGrains < costGrains) break;
    state.levelGrains -= costGrains;
    state.waiting.shift();
    state.waitingTokens -= head.costTokens;
    effects.push({ kind: "granted", id: head.id });
    head = state.waiting[0];
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
export function refuseHopeless(
  state: TeamState,
  nowMs: number,
): LimitsEffect[] {
  const steps = expectRates(state, nowMs);
  const isCertain = isForecastCertain(state);
  const kept: WaitingCharge[] = [];
  const refused: LimitsEffect[] = [];
  let aheadTokens = 0;
  for (const entry of state.waiting) {
    const total = (aheadTokens + entry.costTokens) * GRAINS_PER_TOKEN;
    const waitMs = timeToGain(steps, total - state.levelGrains);
    const isHopeless = isCertain && nowMs + waitMs > entry.deadlineMs;
    if (entry.deadlineMs > nowMs && !isHopeless) {
      kept.push(entry);
      aheadTokens += entry.costTokens;
      continue;
    }
    refused.push(refusalOf(entry.id, waitMs));
  }
  if (refused.length > 0) state.waiting = kept;
  state.waitingTokens = aheadTokens;
  return refused;
}

/** Refuses the newest charge at once when it can only wait in vain. */
export function refuseNewestIfHopeless(
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
  removeWaiting(state, entry.id);
  return [refusalOf(entry.id, waitMs)];
}

function refusalOf(id: string, waitMs: number): LimitsEffect {
  const retryAfterMs = Math.max(1, waitMs);
  return { kind: "refused", id, code: "rate_limited", retryAfterMs };
}

/** When the queue has to be looked at next; infinity when nothing waits. */
export function nextQueueMs(state: TeamState, nowMs: number): number {
  const head = state.waiting[0];
  if (head === undefined) return Infinity;
  let earliest = nowMs + timeUntilGranted(state, {
    costTokens: head.costTokens,
    aheadTokens: 0,
    nowMs,
  });
  for (const entry of state.waiting) {
    earliest = Math.min(earliest, entry.deadlineMs);
  }
  for (const loan of state.loansOut) {
    earliest = Math.min(earliest, loan.untilMs);
  }
  return earliest;
}
