/**
 * Calls that wait for news about a key.
 *
 * @module
 */

import type { Clock, Scheduler } from "../ports.ts";

/** Wakes waiting calls when something about their key has changed. */
export class KeyWaiters {
  readonly #clock: Clock;
  readonly #scheduler: Scheduler;
  readonly #waiting = new Map<string, Set<() => void>>();

  constructor(clock: Clock, scheduler: Scheduler) {
    this.#clock = clock;
    this.#scheduler = scheduler;
  }

  /** Resolves with true on news, with false at the deadline. */
  wait(
    keyDigest: string,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<boolean> {
    const leftMs = options.deadlineElapsedMs - this.#clock.elapsedMs();
    if (leftMs <= 0) return Promise.resolve(false);
    return new Promise((resolve) => {
      const finish = (hasNews: boolean) => {
        cancel();
        this.#forget(keyDigest, wake);
        resolve(hasNews);
      };
      const wake = () => finish(true);
      const cancel = this.#scheduler.after(leftMs, () => finish(false));
      const waiting = this.#waiting.get(keyDigest) ?? new Set();
      this.#waiting.set(keyDigest, waiting.add(wake));
    });
  }

  wake(keyDigest: string): void {
    for (const wake of [...this.#waiting.get(keyDigest) ?? []]) wake();
  }

  wakeAll(): void {
    for (const keyDigest of [...this.#waiting.keys()]) this.wake(keyDigest);
  }

  #forget(keyDigest: string, wake: () => void): void {
    const waiting = this.#waiting.get(keyDigest);
    waiting?.delete(wake);
    if (waiting?.size === 0) this.#waiting.delete(keyDigest);
  }
}
