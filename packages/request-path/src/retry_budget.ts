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

/**
 * Requests of a slot that allow retries: as many as in these slots before it,
 * twice the mean of the slots in the window before it, or later the mean of
 * these slots after it.
 */
const COMPARED_SLOTS = 4;
const MAX_TIMES_MEAN = 2;
/** Requests of a slot that allow retries in any case. */
const MIN_CREDITED = 1;

/**
 * Retries keep pace with the requests of these slots. What a process has saved
 * up over a window, and takes at once, would add to what the next process of its
 * VM takes in the same window.
 */
const PACED_SLOTS = 4;
/** Retries of the paced slots that are allowed in any case. */
const MIN_PACED = 1;

interface Slot {
  readonly index: number;
  requests: number;
  /** The requests that allow retries, up to {@link Slot.maxCredited}. */
  credited: number;
  readonly maxCredited: number;
  /** Repeats that were taken, whether or not they have arrived. */
  taken: number;
  /** Repeats that have arrived. */
  repeats: number;
}

interface Sums {
  readonly requests: number;
  readonly credited: number;
  readonly repeats: number;
}

/** Counters of one service. */
class ServiceCounts {
  readonly #windowSlots: number;
  /** Repeats that may not have arrived yet. */
  pendingRepeats = 0;
  #slots: Slot[] = [];

  constructor({ windowMs }: Pick<RetryLimits, "windowMs">) {
    this.#windowSlots = windowMs / SLOT_MS;
  }

  slotAt(index: number): Slot {
    const last = this.#slots.at(-1);
    if (last?.index === index) return last;
    this.#creditSteady(index);
    const slot = {
      index,
      requests: 0,
      credited: 0,
      maxCredited: this.#maxCredited(index),
      taken: 0,
      repeats: 0,
    };
    this.#slots.push(slot);
    return slot;
  }

  recordRequest(index: number): void {
    const slot = this.slotAt(index);
    slot.requests += 1;
    slot.credited = Math.min(slot.requests, slot.maxCredited);
  }

  /** Sums over slots that overlap the window. */
  sums(firstIndex: number): Sums {
    this.#slots = this.#slots.filter(({ index }) => index >= firstIndex);
    let requests = 0;
    let credited = 0;
    let repeats = 0;
    for (const slot of this.#slots) {
      requests += slot.requests;
      credited += slot.credited;
      repeats += slot.repeats;
    }
    return { requests, credited, repeats };
  }

  /**
   * Requests that waited on their way, or while the process was paused, come at
   * once. They were sent in earlier windows, whose retries are over. They may
   * have waited for the start of the process as well.
   */
  #maxCredited(index: number): number {
    const mean = this.sumSince(index - this.#windowSlots, "credited") /
      this.#windowSlots;
    return Math.max(
      MIN_CREDITED,
      this.sumSince(index - COMPARED_SLOTS, "credited"),
      MAX_TIMES_MEAN * mean,
    );
  }

  /** Credits requests once as many have followed them at the same rate. */
  #creditSteady(nowIndex: number): void {
    for (const slot of this.#slots) {
      if (slot.index + COMPARED_SLOTS >= nowIndex) return;
      const following = this.#slots
        .filter(({ index }) =>
          index > slot.index && index <= slot.index + COMPARED_SLOTS
        )
        .reduce((sum, { requests }) => sum + requests, 0);
      const steady = Math.min(slot.requests, following / COMPARED_SLOTS);
      slot.credited = Math.max(slot.credited, steady);
    }
  }

  /** Sums one counter over the slots from the index on. */
  sumSince(firstIndex: number, counter: "credited" | "taken"): number {
    return this.#slots
      .filter(({ index }) => index >= firstIndex)
      .reduce((sum, slot) => sum + slot[counter], 0);
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
 * if (budget.tryRetry(service, { nowMs, sharers: 9 })) await sendAgain();
 * budget.settleRetry(service, nowMs);
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
    this.#countsOf(service).recordRequest(slotIndex(nowMs));
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

  /**
   * Takes one retry; false when the budget is used up. It counts in all windows
   * until it is settled.
   */
  tryRetry(service: ServiceName, at: RetryMoment): boolean {
    const counts = this.#countsOf(service);
    const { credited, repeats } = counts.sums(
      slotIndex(at.nowMs - this.#limits.windowMs),
    );
    if (repeats + counts.pendingRepeats + 1 > this.#allowed(credited, at)) {
      return false;
    }
    const pacedFrom = slotIndex(at.nowMs) - PACED_SLOTS + 1;
    const paced = this.#allowed(counts.sumSince(pacedFrom, "credited"), at);
    const maxPaced = Math.max(MIN_PACED, Math.ceil(paced));
    if (counts.sumSince(pacedFrom, "taken") + 1 > maxPaced) return false;
    counts.pendingRepeats += 1;
    counts.slotAt(slotIndex(at.nowMs)).taken += 1;
    return true;
  }

  #allowed(credited: number, at: RetryMoment): number {
    return (credited * this.#limits.share + this.slackPart(at)) *
      BUDGET_UTILIZATION;
  }

  /**
   * Records that a retry has arrived by now, or will not arrive. It counts in
   * the windows from now on, as it may have waited on its way until now.
   */
  settleRetry(service: ServiceName, nowMs: number): void {
    const counts = this.#countsOf(service);
    counts.pendingRepeats -= 1;
    counts.slotAt(slotIndex(nowMs)).repeats += 1;
  }

  /** Retries that this daemon may add to those for its requests. */
  slackPart({ nowMs, sharers }: RetryMoment): number {
    if (sharers === undefined || nowMs < this.#slackFromMs) return 0;
    return this.#limits.slack / sharers;
  }

  #countsOf(service: ServiceName): ServiceCounts {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const counts = new ServiceCounts(this.#limits);
    this.#services.set(service, counts);
    return counts;
  }
}

function slotIndex(nowMs: number): number {
  return Math.floor(nowMs / SLOT_MS);
}
