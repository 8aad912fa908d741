/**
 * Interfaces of the clock and the timers that tasks use.
 *
 * @module
 */

/** Source of time for tasks; they read no other. */
export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
  wallMs(): number;
  /**
   * Monotonic milliseconds since an arbitrary start, including the time during
   * which the machine was suspended.
   */
  elapsedMs(): number;
  /**
   * Monotonic milliseconds that changes of the wall clock don't affect. The
   * time during which the machine was suspended may be missing. Token buckets
   * refill by this clock. Defaults to `elapsedMs`.
   */
  steadyMs?(): number;
}

/**
 * Reads `steadyMs` of a clock, or `elapsedMs` where the clock lacks it.
 *
 * @example
 * ```ts
 * const deadlineMs = steadyMs(clock) + 500;
 * ```
 */
export function steadyMs(clock: Clock): number {
  return clock.steadyMs?.() ?? clock.elapsedMs();
}

/** Timers; tests inject some that run on virtual time. */
export interface Scheduler {
  /** Runs `task` once after `delayMs`; returns a function that cancels it. */
  after(delayMs: number, task: () => void): () => void;
}

/**
 * Resolves after `delayMs` milliseconds on the scheduler.
 *
 * @example
 * ```ts
 * await delay(scheduler, 400);
 * ```
 */
export function delay(scheduler: Scheduler, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    scheduler.after(delayMs, resolve);
  });
}
