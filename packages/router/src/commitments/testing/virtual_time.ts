/**
 * A clock and timers that a test advances.
 *
 * @module
 */

import type { Clock, Scheduler } from "../../ports.ts";

interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly task: () => void;
}

const WALL_START_MS = 1_782_864_000_000;

/** Clock and scheduler that a test advances with `runUntil`. */
export class VirtualTime implements Clock, Scheduler {
  #nowMs = 0;
  #sequence = 0;
  #timers = new Set<Timer>();

  elapsedMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return WALL_START_MS + this.#nowMs;
  }

  after(delayMs: number, task: () => void): () => void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    const timer = { atMs, sequence: this.#sequence++, task };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  /** Runs all timers due by a time; promises settle before each of them. */
  async runUntil(atMs: number): Promise<void> {
    for (;;) {
      await settlePromises();
      const next = this.#nextTimer();
      if (next === undefined || next.atMs > atMs) break;
      this.#timers.delete(next);
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.task();
    }
    this.#nowMs = Math.max(this.#nowMs, atMs);
  }

  #nextTimer(): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.#timers) {
      const isSooner = next === undefined || timer.atMs < next.atMs ||
        (timer.atMs === next.atMs && timer.sequence < next.sequence);
      if (isSooner) next = timer;
    }
    return next;
  }
}

/** Clock and scheduler of one process, whose timers can be paused or ended. */
export class ProcessTime implements Clock, Scheduler {
  readonly #time: VirtualTime;
  #pausedUntilMs = 0;
  #hasEnded = false;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  elapsedMs(): number {
    return this.#time.elapsedMs();
  }

  wallMs(): number {
    return this.#time.wallMs();
  }

  pauseUntil(atMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, atMs);
  }

  /** Ends the process: none of its timers runs any more. */
  end(): void {
    this.#hasEnded = true;
  }

  after(delayMs: number, task: () => void): () => void {
    let cancel = this.#time.after(delayMs, () => run());
    const run = () => {
      if (this.#hasEnded) return;
      const remainingMs = this.#pausedUntilMs - this.#time.elapsedMs();
      if (remainingMs <= 0) return task();
      cancel = this.#time.after(remainingMs, run);
    };
    return () => cancel();
  }
}

/** Waits until all promises that can settle now have settled. */
export function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
