/**
 * How tasks see time.
 *
 * @module
 */

/** The only source of time for tasks. */
export interface Clock {
  /** Wall-clock time in milliseconds since 1970; may jump. */
  wallMs(): number;
  /** Monotonic milliseconds since an arbitrary start, sleep included. */
  elapsedMs(): number;
  /**
   * Monotonic milliseconds that no step of the wall clock moves forward; sleep
   * may be missing. Tokens accrue by it. Defaults to `elapsedMs`.
   */
  steadyMs?(): number;
}

/**
 * Reads the steady clock.
 *
 * @example
 * ```ts
 * const deadlineMs = steadyMs(clock) + 500;
 * ```
 */
export function steadyMs(clock: Clock): number {
  return clock.steadyMs?.() ?? clock.elapsedMs();
}

/** Timers, injected so that tests use virtual time. */
export interface Scheduler {
  /** Runs `task` once after `delayMs`; returns a function that cancels it. */
  after(delayMs: number, task: () => void): () => void;
}

/**
 * Resolves after a time in milliseconds.
 *
 * @example
 * ```ts
 * await pause(scheduler, 400);
 * ```
 */
export function delay(scheduler: Scheduler, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    scheduler.after(delayMs, resolve);
  });
}
