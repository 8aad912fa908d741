/**
 * The steady clock by which buckets accrue tokens.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import type { Clock } from "../ports.ts";

/**
 * Returns whole milliseconds that are never ahead of true time by more than the
 * drift bound. Tokens must not accrue when the wall clock is set forward, so
 * `elapsedMs` can't be used: it also follows the wall clock, so that leases end
 * on time after the VM was suspended.
 */
export function steadyNowMs(clock: Clock): number {
  return Math.floor(steadyMs(clock));
}

/** Whole milliseconds by which `elapsedMs` is ahead of the steady clock. */
export function missedTimeMs(clock: Clock): number {
  if (clock.steadyMs === undefined) return 0;
  return Math.floor(clock.elapsedMs() - clock.steadyMs());
}
