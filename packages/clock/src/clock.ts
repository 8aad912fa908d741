/**
 * Clock and timers of the Node.js process.
 *
 * @module
 */

import type { Clock, Scheduler } from "./time_types.ts";

/**
 * Creates the clock of the process. `elapsedMs` advances with the larger of
 * monotonic and wall-clock progress: the monotonic clock may stop while a VM is
 * suspended, and a lease must not outlive the suspension.
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
    // Token buckets refill by this clock, so setting the wall clock forward
    // must not advance it.
    steadyMs: () => performance.now() - monotonicStartMs,
  };
}

/** Creates a scheduler with `setTimeout`; its timers keep no process alive. */
export function createScheduler(): Scheduler {
  return {
    after(delayMs, task) {
      const timer = setTimeout(task, delayMs);
      timer.unref();
      return () => clearTimeout(timer);
    },
  };
}
