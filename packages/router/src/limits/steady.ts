/**
 * The clock that buckets accrue by.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import type { Clock } from "../ports.ts";

/**
 * Whole milliseconds that never run ahead of true time by more than the drift
 * bound. `elapsedMs` also follows the wall clock, so that a lease taken ends
 * when the VM was suspended; tokens must not accrue by a wall clock that was
 * set forward.
 */
export function steadyNowMs(clock: Clock): number {
  return Math.floor(steadyMs(clock));
}

/** How far `elapsedMs` is ahead of the steady clock, in whole milliseconds. */
export function missedTimeMs(clock: Clock): number {
  if (clock.steadyMs === undefined) return 0;
  return Math.floor(clock.elapsedMs() - clock.steadyMs());
}
