/**
 * Takes the repeats of one request from the shared retry budget, and settles
 * each once: it has arrived, or will not.
 *
 * @module
 */

import type { Attempt } from "./attempt.ts";
import type { RepeatCause } from "./request_context.ts";
import type { RunState } from "./run_state.ts";

/** The repeats of one request. */
export class RepeatSettlement {
  readonly #state: RunState;
  /** Repeats that were taken and are not settled. */
  #pendingRepeats = 0;
  /** Attempts that may still arrive, also after they were given up. */
  #unsettledAttempts = 0;

  constructor(state: RunState) {
    this.#state = state;
  }

  /** Counts an attempt that is opened, until it is settled. */
  noteOpened(): void {
    this.#unsettledAttempts += 1;
  }

  tryRetry(cause: RepeatCause): boolean {
    const isAllowed = this.#state.context.tryRetry(this.#state.request, cause);
    if (isAllowed) this.#pendingRepeats += 1;
    return isAllowed;
  }

  settle(attempt: Attempt): void {
    if (attempt.isSettled) return;
    attempt.isSettled = true;
    this.#unsettledAttempts -= 1;
  }

  /** Settles the repeats beyond the attempts that may still arrive. */
  settleRepeats(): void {
    while (this.#pendingRepeats > this.#unsettledAttempts) {
      this.#pendingRepeats -= 1;
      this.#state.context.settleRetry(this.#state.request);
    }
  }

  /** Attempts that were given up may arrive until the caller's deadline. */
  settleLate(): void {
    if (this.#pendingRepeats === 0) return;
    const leftMs = this.#state.finalDeadlineMs() - this.#state.nowMs();
    this.#state.context.scheduler.after(Math.max(0, leftMs), () => {
      this.#unsettledAttempts = 0;
      this.settleRepeats();
    });
  }
}
