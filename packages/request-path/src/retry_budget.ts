/**
 * Limits retries to a share of the requests in the same time window, so that
 * retries do not multiply the load in an outage in which every request fails.
 *
 * @module
 */

import type { ServiceName } from "@endivebend/types";

/** Limits on the retries of the whole fleet. */
export interface RetryLimits {
  readonly windowMs: number;
  /** Retries per request in the window. */
  readonly share: number;
  /** Retries that are allowed in addition. */
  readonly slack: number;
}

/** Requests and retries are counted in time slots of this length. */
const SLOT_MS = 500;
/** Share of the limit that is used; the rest covers messages in transit. */
const BUDGET_UTILIZATION = 0.9;

/** When a retry is asked for, and by whom the slack is shared. */
export interface RetryMoment {
  readonly nowMs: number;
  /**
   * Daemons that may use a part of the slack, this one included; undefined
   * while the fleet's list is not known.
   */
  readonly sharers: number | undefined;
}

interface Slot {
  readonly index: number;
  requests: number;
  repeats: number;
}

/** Counters of one service. */
class ServiceCounts {
  #slots: Slot[] = [];

  slotAt(index: number): Slot {
    const last = this.#slots.at(-1);
    if (last?.index === index) return last;
    const slot = { index, requests: 0, repeats: 0 };
    this.#slots.push(slot);
    return slot;
  }

  /** Sums over slots that overlap the window. */
  sums(firstIndex: number): { requests: number; repeats: number } {
    this.#slots = this.#slots.filter(({ index }) => index >= firstIndex);
    let requests = 0;
    let repeats = 0;
    for (const slot of this.#slots) {
      requests += slot.requests;
      repeats += slot.repeats;
    }
    return { requests, repeats };
  }
}

/**
 * This daemon's share of the budget: retries for its own requests, and an equal
 * part of the slack. What an earlier process of this VM has used is not known,
 * so its part of the slack counts as used until a window has passed.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget(limits, { startedAtMs });
 * budget.recordRequest(service, nowMs);
 * if (budget.tryRetry(service, { nowMs, sharers: 9 })) sendAgain();
 * ```
 */
export class RetryBudget {
  readonly #limits: RetryLimits;
  readonly #slackFromMs: number;
  readonly #services = new Map<ServiceName, ServiceCounts>();

  constructor(
    limits: RetryLimits,
    { startedAtMs }: { readonly startedAtMs: number },
  ) {
    this.#limits = limits;
    this.#slackFromMs = startedAtMs + limits.windowMs + SLOT_MS;
  }

  recordRequest(service: ServiceName, nowMs: number): void {
    this.#countsOf(service).slotAt(slotIndex(nowMs)).requests += 1;
  }

  /** Requests a second for each service, over the window. */
  requestsPerS(nowMs: number): ReadonlyMap<ServiceName, number> {
    const { windowMs } = this.#limits;
    const firstIndex = slotIndex(nowMs - windowMs);
    return new Map(
      [...this.#services].map(([service, counts]) => [
        service,
        counts.sums(firstIndex).requests / windowMs * 1_000,
      ]),
    );
  }

  /** Takes one retry; false when the budget is used up. */
  tryRetry(service: ServiceName, at: RetryMoment): boolean {
    const { windowMs, share } = this.#limits;
    const counts = this.#countsOf(service);
    const firstIndex = slotIndex(at.nowMs - windowMs);
    const { requests, repeats } = counts.sums(firstIndex);
    const allowed = (requests * share + this.slackPart(at)) *
      BUDGET_UTILIZATION;
    if (repeats + 1 > allowed) return false;
    counts.slotAt(slotIndex(at.nowMs)).repeats += 1;
    return true;
  }

  /** Retries that this daemon may add to those for its requests. */
  slackPart({ nowMs, sharers }: RetryMoment): number {
    if (sharers === undefined || nowMs < this.#slackFromMs) return 0;
    return this.#limits.slack / sharers;
  }

  #countsOf(service: ServiceName): ServiceCounts {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const counts = new ServiceCounts();
    this.#services.set(service, counts);
    return counts;
  }
}

function slotIndex(nowMs: number): number {
  return Math.floor(nowMs / SLOT_MS);
}
