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
/** The time limit of requests that name none; few clients wait for longer. */
const MAX_READING_MS = 15_000;

/** A body that is being read. */
export interface UnfinishedBody {
  /** Bytes that it holds. */
  readonly heldBytes: number;
  /** Frees what it holds; its request is refused as not run. */
  giveUp(): void;
}

interface Progress {
  readonly beganAtMs: number;
  wentOnAtMs: number;
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
  readonly #progress = new Map<UnfinishedBody, Progress>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes that a part of the body has come. */
  noteProgress(body: UnfinishedBody): void {
    const nowMs = steadyMs(this.#clock);
    const known = this.#progress.get(body);
    if (known !== undefined) known.wentOnAtMs = nowMs;
    else this.#progress.set(body, { beganAtMs: nowMs, wentOnAtMs: nowMs });
  }

  /** Forgets a body that has come whole or was given up. */
  forget(body: UnfinishedBody): void {
    this.#progress.delete(body);
  }

  /**
   * Gives up the body that has been silent for the longest, if for a second, or
   * else the one that has been read for the longest, if for 15 s: a body may go
   * on by a byte now and then and never end. Bodies that hold fewer bytes are
   * left out. Returns whether one was given up.
   */
  giveUpStopped(minHeldBytes: number): boolean {
    const nowMs = steadyMs(this.#clock);
    const large = [...this.#progress]
      .filter(([body]) => body.heldBytes >= minHeldBytes);
    const body = earliestBefore(nowMs - STOPPED_MS, large, "wentOnAtMs") ??
      earliestBefore(nowMs - MAX_READING_MS, large, "beganAtMs");
    if (body === undefined) return false;
    this.forget(body);
    body.giveUp();
    return true;
  }
}

function earliestBefore(
  limitMs: number,
  bodies: readonly (readonly [UnfinishedBody, Progress])[],
  moment: keyof Progress,
): UnfinishedBody | undefined {
  let earliest: UnfinishedBody | undefined;
  let earliestMs = limitMs;
  for (const [body, { [moment]: atMs }] of bodies) {
    if (atMs > earliestMs) continue;
    earliest = body;
    earliestMs = atMs;
  }
  return earliest;
}
