/**
 * Virtual time: callbacks in order of their time, then of their scheduling.
 *
 * @module
 */

import { Heap } from "mnemonist";

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * A clock that jumps from one callback to the next.
 *
 * @example
 * ```ts
 * const time = new VirtualTime();
 * time.after(10, () => console.log(time.nowMs));
 * time.runUntil(100);
 * ```
 */
export class VirtualTime {
  readonly #timers = new Heap<Timer>((a, b) =>
    a.atMs - b.atMs || a.order - b.order
  );
  #nowMs = 0;
  #order = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  at(atMs: number, run: () => void): void {
    const timer = {
      atMs: Math.max(atMs, this.#nowMs),
      order: this.#order++,
      run,
    };
    this.#timers.push(timer);
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.#nowMs + delayMs, run);
  }

  /** Runs all callbacks up to and including the time. */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.#timers.peek();
      if (next === undefined || next.atMs > untilMs) {
        break;
      }
      this.#timers.pop();
      this.#nowMs = next.atMs;
      next.run();
    }
    this.#nowMs = untilMs;
  }
}
