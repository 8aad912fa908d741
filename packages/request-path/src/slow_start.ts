/**
 * How many requests a server that has started or come back should have. It
 * looks idle to all daemons at once: 60 of them sent it some 75 requests before
 * the first could know of another's, while the servers that it replaces waited.
 *
 * @module
 */

/** The requests that all daemons together should have at a server. */
export interface SlowStart {
  readonly maxRunning: number;
  readonly asOfMs: number;
}

/** Enough to measure the server, and few enough to run at once on any. */
const INITIAL_RUNNING = 4;
/** A slow answer shows that the server has more than it can take now. */
const SLOW_FACTOR = 2 / 3;
/** After a longer gap the work that is known says nothing of the time between. */
const MAX_GAP_MS = 1_000;

/** The start of a server that is new or back. */
export function beginSlowStart(nowMs: number): SlowStart {
  return { maxRunning: INITIAL_RUNNING, asOfMs: nowMs };
}

/**
 * Grows with the answers that peers are taken to have got: each of their
 * requests there gets one per `answerMs`, at the least until they tell that the
 * server is slow.
 *
 * @example
 * ```ts
 * start = growWithPeers(start, { running: 3, answerMs: 400, nowMs });
 * ```
 */
export function growWithPeers(
  start: SlowStart,
  at: {
    /** Requests of peers at the server. */
    readonly running: number;
    readonly answerMs: number;
    readonly nowMs: number;
  },
): SlowStart {
  const gapMs = Math.min(MAX_GAP_MS, Math.max(0, at.nowMs - start.asOfMs));
  const running = Math.min(at.running, start.maxRunning);
  return {
    maxRunning: start.maxRunning + running * gapMs / at.answerMs,
    asOfMs: at.nowMs,
  };
}

/** Applies an answer of the server: one more place, or a third less. */
export function recordStartAnswer(
  start: SlowStart,
  { isSlow }: { readonly isSlow: boolean },
): SlowStart {
  const maxRunning = isSlow
    ? Math.max(INITIAL_RUNNING, start.maxRunning * SLOW_FACTOR)
    : start.maxRunning + 1;
  return { ...start, maxRunning };
}

/**
 * This daemon's part of the places: daemons that know the same come to parts
 * that add up to all places.
 */
export function ownPlaces(
  { maxRunning }: SlowStart,
  { rank, daemons }: {
    /** This daemon's position in the server's order of daemons, from 0. */
    readonly rank: number;
    readonly daemons: number;
  },
): number {
  const places = Math.floor(maxRunning);
  return Math.floor(places / daemons) + (rank < places % daemons ? 1 : 0);
}
