/**
 * Counts repeats at the servers against what the fleet may send.
 *
 * @module
 */

import { BOUNDS } from "./daemon_process.ts";
import type { Arrival, SentRequest } from "./ledger.ts";

/** The window in which a service had most repeats beyond what is allowed. */
export interface WorstBudget {
  readonly service: string;
  readonly repeats: number;
  readonly allowed: number;
  readonly untilMs: number;
}

const WINDOW_MS = BOUNDS.budget_window_s * 1_000;

/**
 * The worst window of each service. A window's requests are counted in it, in
 * the one before it or half a window before it, whichever has most.
 */
export function findWorstBudget(
  requests: readonly SentRequest[],
  arrivals: readonly Arrival[],
): WorstBudget[] {
  const services = new Set(requests.map(({ service }) => service));
  return [...services].map((service) => {
    const sentAtMs = requests.filter((sent) => sent.service === service)
      .map((sent) => sent.sentAtMs);
    const seen = new Set<string>();
    const repeatsAtMs: number[] = [];
    for (const { id, service: reached, atMs } of arrivals) {
      if (reached !== service) continue;
      if (seen.has(id)) repeatsAtMs.push(atMs);
      else seen.add(id);
    }
    return worstWindow(service, sentAtMs, repeatsAtMs);
  });
}

function worstWindow(
  service: string,
  sentAtMs: readonly number[],
  repeatsAtMs: readonly number[],
): WorstBudget {
  const sentIn = (fromMs: number) =>
    countUntil(sentAtMs, fromMs + WINDOW_MS) - countUntil(sentAtMs, fromMs);
  const { retry_budget_ratio: ratio, retry_budget_slack: slack } = BOUNDS;
  let worst: WorstBudget | undefined;
  repeatsAtMs.forEach((untilMs, index) => {
    const fromMs = untilMs - WINDOW_MS;
    const repeats = index + 1 - countUntil(repeatsAtMs, fromMs);
    const requests = Math.max(
      sentIn(fromMs),
      sentIn(fromMs - WINDOW_MS),
      sentIn(fromMs - WINDOW_MS / 2),
    );
    const allowed = requests * ratio + slack;
    const excess = repeats - allowed;
    if (worst === undefined || excess > worst.repeats - worst.allowed) {
      worst = { service, repeats, allowed, untilMs };
    }
  });
  return worst ?? { service, repeats: 0, allowed: slack, untilMs: 0 };
}

/** Number of times up to a limit; the times are in order. */
function countUntil(timesMs: readonly number[], limitMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle]! <= limitMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
