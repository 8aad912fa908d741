/**
 * Calls that wait for a change of their idempotency key's state.
 *
 * @module
 */

import type { Clock, Scheduler } from "../ports.ts";

/** Wakes waiting calls when the state of their key has changed. */
export class KeyWaiters {
  readonly #clock: Clock;
  readonly #scheduler: Scheduler;
  readonly #wakersByKey = new Map<string, Set<() => void>>();

  constructor(clock: Clock, scheduler: Scheduler) {
    this.#clock = clock;
    this.#scheduler = scheduler;
  }

  /** Resolves with true when the key is woken, with false at the deadline. */
  wait(
    keyDigest: string,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<boolean> {
    const remainingMs = options.deadlineElapsedMs - this.#clock.elapsedMs();
    if (remainingMs <= 0) return Promise.resolve(false);
    return new Promise((resolve) => {
      const finish = (hasChanged: boolean) => {
        cancel();
        this.#removeWaiter(keyDigest, wake);
        resolve(hasChanged);
      };
      const wake = () => finish(true);
      const cancel = this.#scheduler.after(remainingMs, () => finish(false));
      const wakers = this.#wakersByKey.get(keyDigest) ?? new Set();
      this.#wakersByKey.set(keyDigest, wakers.add(wake));
    });
  }

  wake(keyDigest: string): void {
    for (const wake of [...this.#wakersByKey.get(keyDigest) ?? []]) wake();
  }

  wakeAll(): void {
    for (const keyDigest of [...this.#wakersByKey.keys()]) this.wake(keyDigest);
  }

  #removeWaiter(keyDigest: string, wake: () => void): void {
    const wakers = this.#wakersByKey.get(keyDigest);
    wakers?.delete(wake);
    if (wakers?.size === 0) this.#wakersByKey.delete(keyDigest);
  }
}
