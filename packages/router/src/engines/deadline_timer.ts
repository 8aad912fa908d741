/**
 * A timer for a deadline that moves often.
 *
 * @module
 */

import type { Scheduler } from "../ports.ts";

/**
 * Calls `onDeadline` at or after the deadline. Progress moves the deadline of
 * a stream with each token; a timer that is set for an earlier time is left
 * alone, and its call finds the later deadline. That takes one timer per
 * time limit instead of one per token.
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

  /** Sets the deadline; undefined stops the timer. */
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
