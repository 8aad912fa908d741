/**
 * A timer for a deadline that changes often.
 *
 * @module
 */

import type { Scheduler } from "../ports.ts";

/**
 * Calls `onDeadline` at or after the earliest deadline that was set since the
 * last call. Every token postpones the deadline of its stream; a timer that is
 * scheduled for an earlier time is left running, and the callback then finds
 * the later deadline and sets it. So a stream needs one timer per time limit
 * instead of one per token.
 *
 * @example
 * ```ts
 * const timer = new DeadlineTimer(scheduler, () => tick());
 * timer.set(nowMs + 2000, nowMs);
 * ```
 */
export class DeadlineTimer {
  readonly #scheduler: Scheduler;
  readonly #onDeadline: () => void;
  #cancel = () => {};
  #scheduledForMs = Infinity;

  constructor(scheduler: Scheduler, onDeadline: () => void) {
    this.#scheduler = scheduler;
    this.#onDeadline = onDeadline;
  }

  /**
   * Sets the deadline, in milliseconds on the clock of `nowMs`; undefined stops
   * the timer.
   */
  set(deadlineMs: number | undefined, nowMs: number): void {
    if (deadlineMs === undefined) return this.stop();
    if (this.#scheduledForMs <= deadlineMs) return;
    this.stop();
    this.#scheduledForMs = deadlineMs;
    const delayMs = Math.max(1, deadlineMs - nowMs);
    this.#cancel = this.#scheduler.after(delayMs, () => {
      this.#scheduledForMs = Infinity;
      this.#onDeadline();
    });
  }

  stop(): void {
    this.#cancel();
    this.#cancel = () => {};
    this.#scheduledForMs = Infinity;
  }
}
