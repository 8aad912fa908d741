/**
 * Applies events to a team's state at its holder.
 *
 * @module
 */

import {
  nextBorrowAtMs,
  planBorrowing,
  receiveLoan,
  recordLenderFailure,
} from "./borrow.ts";
import { demandRateMilli, recordDemand } from "./demand.ts";
import type { LimitsEffect, LimitsEvent } from "./events.ts";
import { UNITS_PER_TOKEN } from "./fixed_point.ts";
import { lend } from "./lend.ts";
import {
  advance,
  assertLevelWithinCapacity,
  heldCapacityTokens,
} from "./level.ts";
import { type RateAndCapacity, type TeamState } from "./state.ts";
import {
  enqueueCharge,
  grantWaitingCharges,
  MAX_WAITING_CHARGES,
  nextQueueWakeAtMs,
  refuseNewestIfUnmeetable,
  refuseUnmeetableCharges,
  removeWaitingCharge,
  timeUntilGranted,
} from "./charge_queue.ts";

type Handler<Kind extends LimitsEvent["kind"]> = (
  state: TeamState,
  event: Extract<LimitsEvent, { kind: Kind }>,
  nowMs: number,
) => LimitsEffect[];

/**
 * The largest cost that this holder can ever grant: its own capacity plus what
 * the other domains may lend. It is less than the burst if the domains keep a
 * fraction that is never lent.
 */
export function maxGrantableTokens(state: TeamState): number {
  const { limit, share, lenders } = state.terms;
  if (lenders.length === 0) return share.capacityTokens;
  const others = limit.capacityTokens - share.capacityTokens;
  const { floorFraction } = state.terms;
  const lendable = Math.floor(others * (1 - floorFraction));
  // Each lender rounds its lendable capacity down.
  const rounding = floorFraction === 0 ? 0 : lenders.length;
  return share.capacityTokens + Math.max(0, lendable - rounding);
}

function refuseAtOnce(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "charge" }>,
  options: {
    readonly code: "rate_limited" | "cost_exceeds_burst";
    readonly nowMs: number;
  },
): LimitsEffect {
  const retryAfterMs = timeUntilGranted(state, {
    costTokens: event.costTokens,
    aheadTokens: state.waitingTokens,
    nowMs: options.nowMs,
  });
  return {
    kind: "refused",
    id: event.id,
    code: options.code,
    retryAfterMs: Math.max(1, retryAfterMs),
  };
}

function applyCharge(
  state: TeamState,
  event: Extract<LimitsEvent, { kind: "charge" }>,
  nowMs: number,
): LimitsEffect[] {
  const cost = event.costTokens;
  // A negative or fractional cost would create tokens or lose exactness.
  if (!Number.isSafeInteger(cost) || cost < 0) {
    throw new Error(
      "Charge cost is not a whole number of tokens; use an integer from 0",
    );
  }
  if (cost > maxGrantableTokens(state)) {
    return [refuseAtOnce(state, event, { code: "cost_exceeds_burst", nowMs })];
  }
  recordDemand(state.demand, { costTokens: cost, nowMs });
  const costUnits = cost * UNITS_PER_TOKEN;
  if (state.waiting.length === 0 && state.levelUnits >= costUnits) {
    state.levelUnits -= costUnits;
    return [{ kind: "granted", id: event.id }];
  }
  if (state.waiting.length >= MAX_WAITING_CHARGES) {
    return [refuseAtOnce(state, event, { code: "rate_limited", nowMs })];
  }
  enqueueCharge(state, {
    id: event.id,
    costTokens: cost,
    deadlineMs: event.deadlineMs,
  }, nowMs);
  return [];
}

const HANDLERS: { [Kind in LimitsEvent["kind"]]: Handler<Kind> } = {
  charge: applyCharge,
  charge_cancelled: (state, event) => {
    removeWaitingCharge(state, event.id);
    return [];
  },
  borrow_requested: (state, event, nowMs) => {
    const decision = lend(state, event, nowMs);
    const { leaseMs } = state.terms;
    return [{ kind: "lent", borrower: event.borrower, ...decision, leaseMs }];
  },
  loan_received: (state, event, nowMs) => {
    receiveLoan(state, event, nowMs);
    return [];
  },
  loan_failed: (state, event, nowMs) => {
    recordLenderFailure(state, event.lender, nowMs);
    return [];
  },
  terms_changed: (state, event, nowMs) => {
    state.terms = event.terms;
    advance(state, nowMs);
    return [];
  },
  time_missed: () => [],
  drain_started: (state) => {
    state.draining = true;
    return [];
  },
  drain_ended: (state) => {
    state.draining = false;
    return [];
  },
  wake: () => [],
};

function minRateAndCapacity(
  a: RateAndCapacity,
  b: RateAndCapacity,
): RateAndCapacity {
  return {
    rateMilli: Math.min(a.rateMilli, b.rateMilli),
    capacityTokens: Math.min(a.capacityTokens, b.capacityTokens),
  };
}

/** Changes of the event that already apply to the time before it. */
function adjustBeforeEvent(state: TeamState, event: LimitsEvent): void {
  if (event.kind === "terms_changed") {
    // The change took effect at an unknown time since the last event, so the
    // smaller of both shares applies to that time.
    const share = minRateAndCapacity(state.terms.share, event.terms.share);
    state.terms = { ...state.terms, share };
  }
  if (event.kind === "time_missed") {
    state.loansIn = state.loansIn.map((loan) => ({
      ...loan,
      untilMs: loan.untilMs - event.missedMs,
    }));
  }
}

/**
 * Applies one event and returns the effects to carry out. `nowMs` is a whole
 * number of milliseconds on a monotonic clock. Throws if the cost of a charge
 * is not a non-negative integer, or if the state violates an invariant.
 *
 * @example
 * ```ts
 * const state = createTeamState(terms, start);
 * step(state, { kind: "charge", id, costTokens: 40, deadlineMs }, nowMs);
 * // [{ kind: "granted", id }]
 * ```
 */
export function step(
  state: TeamState,
  event: LimitsEvent,
  nowMs: number,
): LimitsEffect[] {
  adjustBeforeEvent(state, event);
  advance(state, nowMs);
  const handler = HANDLERS[event.kind] as Handler<typeof event.kind>;
  const effects = handler(state, event, nowMs);
  if (state.waiting.length > 0) {
    effects.push(...grantWaitingCharges(state));
  }
  if (state.terms.lenders.length > 0) {
    effects.push(...planBorrowing(state, nowMs));
  }
  if (state.waiting.length > 0) {
    const refuse = event.kind === "charge"
      ? refuseNewestIfUnmeetable
      : refuseUnmeetableCharges;
    effects.push(...refuse(state, nowMs), ...grantWaitingCharges(state));
  }
  assertLevelWithinCapacity(state);
  return effects;
}

/** Time at which to call `step` with `wake`; infinity if nothing is due. */
export function nextWakeAtMs(state: TeamState, nowMs: number): number {
  const due = Math.min(nextQueueWakeAtMs(state, nowMs), nextBorrowAtMs(state));
  return Math.max(nowMs + 1, due);
}

/** True if the state equals an unused one and can be discarded. */
export function isIdle(state: TeamState, nowMs: number): boolean {
  advance(state, nowMs);
  const isFull =
    state.levelUnits >= heldCapacityTokens(state) * UNITS_PER_TOKEN;
  return isFull && state.waiting.length === 0 && state.loansOut.length === 0 &&
    state.loansIn.length === 0 && state.round.pendingTokens.size === 0 &&
    demandRateMilli(state.demand, nowMs) < 1;
}

/** True if nothing is lent, so that the group can be given up. */
export function hasNothingLent(state: TeamState, nowMs: number): boolean {
  advance(state, nowMs);
  return state.loansOut.length === 0;
}
