/**
 * Lets bodies that have stopped give way where memory is short. A client that
 * stops just short of the end keeps what it has sent until the idle timeout, and
 * a crowd of them would keep others from all of the memory that requests have.
 *
 * @module
 */

import { type Clock, steadyMs } from "@endivebend/clock";

/** As for answers that their clients don't read. */
const STOPPED_MS = 1_000;

/** A body that is being read. */
export interface UnfinishedBody {
  /** Bytes that it holds. */
  readonly heldBytes: number;
  /** Frees what it holds; its request is refused as not run. */
  giveUp(): void;
}

/**
 * The bodies that a daemon reads, with the time at which each went on.
 *
 * @example
 * ```ts
 * const bodies = new UnfinishedBodies(clock);
 * while (!memory.tryTake("request", bytes) && bodies.giveUpStopped(bytes));
 * ```
 */
export class UnfinishedBodies {
  readonly #clock: Clock;
  readonly #wentOnAtMs = new Map<UnfinishedBody, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes that a part of the body has come. */
  noteProgress(body: UnfinishedBody): void {
    this.#wentOnAtMs.set(body, steadyMs(this.#clock));
  }

  /** Forgets a body that has come whole or was given up. */
  forget(body: UnfinishedBody): void {
    this.#wentOnAtMs.delete(body);
  }

  /**
   * Gives up the body that has been silent for the longest, of those that have
   * been silent for a second and hold as many bytes. Returns whether there was
   * one.
   */
  giveUpStopped(minHeldBytes: number): boolean {
    const stoppedBeforeMs = steadyMs(this.#clock) - STOPPED_MS;
    let longest: UnfinishedBody | undefined;
    let longestAtMs = stoppedBeforeMs;
    for (const [body, atMs] of this.#wentOnAtMs) {
      if (atMs > longestAtMs || body.heldBytes < minHeldBytes) continue;
      longest = body;
      longestAtMs = atMs;
    }
    if (longest === undefined) return false;
    this.forget(longest);
    longest.giveUp();
    return true;
  }
}
