/**
 * Notices that the process was paused, as by a frozen VM, and delays decisions
 * until what permits them has been renewed. A process that goes on after a
 * pause holds a configuration, keys and a list of servers from before it, and
 * handles waiting requests before any news.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";

/** Dependencies of a {@link PauseGuard}. */
export interface PauseGuardOptions {
  readonly scheduler: Scheduler;
  nowMs(): number;
  /** Fetches what permits decisions anew; rejects when that is impossible. */
  renew(): Promise<void>;
  /** Called when a pause was noticed, before it is renewed. */
  paused(pause: { readonly fromMs: number; readonly untilMs: number }): void;
}

const TICK_INTERVAL_MS = 100;
/** Shorter than the shortest bound on old state, longer than busy moments. */
const MIN_PAUSE_MS = 1_000;
/**
 * Longest delay of decisions. Without the store and without peers the daemon
 * then goes on with what it holds, as in a partition.
 */
const MAX_RENEWAL_MS = 500;

/** Watches the clock of one process. */
export class PauseGuard {
  readonly #options: PauseGuardOptions;
  #lastSeenMs: number;
  #renewal: Promise<void> | undefined;
  #hasStopped = false;

  constructor(options: PauseGuardOptions) {
    this.#options = options;
    this.#lastSeenMs = options.nowMs();
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#hasStopped = true;
  }

  /**
   * Undefined when decisions may be taken now; otherwise resolves when they may
   * be taken again.
   *
   * @example
   * ```ts
   * await guard.whenCurrent();
   * ```
   */
  whenCurrent(): Promise<void> | undefined {
    // After a pause the waiting requests may be read before the timers run.
    this.#look();
    return this.#renewal;
  }

  #tick(): void {
    if (this.#hasStopped) return;
    this.#look();
    this.#options.scheduler.after(TICK_INTERVAL_MS, () => this.#tick());
  }

  #look(): void {
    const nowMs = this.#options.nowMs();
    const fromMs = this.#lastSeenMs;
    this.#lastSeenMs = nowMs;
    if (nowMs - fromMs < MIN_PAUSE_MS) return;
    this.#options.paused({ fromMs, untilMs: nowMs });
    this.#renewal = this.#renew().finally(() => {
      this.#renewal = undefined;
    });
  }

  #renew(): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.#options.scheduler.after(MAX_RENEWAL_MS, resolve);
      this.#options.renew().then(() => {
        cancel();
        resolve();
      }, () => {
        // The store is away; peers may still send what is newer in time.
      });
    });
  }
}
