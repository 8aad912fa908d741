/**
 * The daemon's real clock and timers.
 *
 * @module
 */

import type { Clock, Scheduler } from "./time_types.ts";

/**
 * Makes the real clock. `elapsedMs` follows the larger of monotonic and
 * wall-clock progress: a suspended VM may stop its monotonic clock, and a
 * lease must not outlive the suspension.
 *
 * @example
 * ```ts
 * const clock = createClock();
 * const deadlineElapsedMs = clock.elapsedMs() + 500;
 * ```
 */
export function createClock(): Clock {
  const monotonicStartMs = performance.now();
  const wallStartMs = Date.now();
  let latestMs = 0;
  return {
    wallMs: () => Date.now(),
    elapsedMs() {
      const monotonicMs = performance.now() - monotonicStartMs;
      const wallMs = Date.now() - wallStartMs;
      latestMs = Math.max(latestMs, monotonicMs, wallMs);
      return latestMs;
    },
    // Tokens accrue by this: a wall clock set forward must not create any.
    steadyMs: () => performance.now() - monotonicStartMs,
  };
}

/** Makes a scheduler over `setTimeout` whose timers keep no process alive. */
export function createScheduler(): Scheduler {
  return {
    after(delayMs, task) {
      const timer = setTimeout(task, delayMs);
      timer.unref();
      return () => clearTimeout(timer);
    },
  };
}
