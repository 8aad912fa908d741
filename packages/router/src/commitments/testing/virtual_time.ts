/**
 * A clock and timers that move only when a test says so.
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

/** Time that a test moves. */
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

  /** Runs all timers up to a time, each after the promises before it. */
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

/** A view of the time of one process, whose timers stand still in a pause. */
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

  /** Lets no further timer of the process run. */
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

/** Lets every promise that can be settled now be settled. */
export function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
