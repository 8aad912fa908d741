/**
 * The bound on when a request may begin at an engine whose weights have been
 * replaced. A placement expects a wait; full slots, preemption or an engine that
 * stands still make it longer, so the bound also ends attempts that wait.
 *
 * @module
 */

import { firstNewer, type WeightsHistory } from "./named_weights.ts";
import type { WeightsVersion } from "./types.ts";

/**
 * Time before the bound at which an attempt is withdrawn: daemons hear of names
 * within 100 ms, an attempt is checked every 100 ms, and the close of its
 * connection takes some ms to reach the engine, or 100 ms through another VM.
 */
const WITHDRAW_BEFORE_MS = 400;

/** Reason of attempts that were withdrawn, or not sent, for the bound. */
export const BEGINS_TOO_LATE = "begins_too_late";

/**
 * When an attempt at an engine with the given weights must have begun, on the
 * steady clock; undefined while no newer ones are named. The first of the newer
 * versions counts, however many follow it.
 *
 * @example
 * ```ts
 * const named = context.namedWeights(model);
 * const mustBeginByMs = beginByMs(weights, { named, weightsBoundMs: 8_000 });
 * ```
 */
export function beginByMs(
  weights: WeightsVersion,
  { named, weightsBoundMs }: {
    readonly named: WeightsHistory;
    /** Time after naming newer weights when requests may not start on older. */
    readonly weightsBoundMs: number;
  },
): number | undefined {
  const newer = firstNewer(named, weights);
  return newer && newer.firstSeenAtMs + weightsBoundMs - WITHDRAW_BEFORE_MS;
}

/**
 * Whether an attempt has to be withdrawn now: it has not begun, as far as its
 * answer shows, and the time to begin is over.
 *
 * @example
 * ```ts
 * if (isTooLate(attempt, { beginByMs: 12_600, nowMs })) attempt.handle?.abort();
 * ```
 */
export function isTooLate(
  { headAtMs }: { readonly headAtMs: number | undefined },
  at: { readonly beginByMs: number | undefined; readonly nowMs: number },
): boolean {
  return headAtMs === undefined && at.beginByMs !== undefined &&
    at.nowMs >= at.beginByMs;
}
