/**
 * The steps of a planned stop: first out of the balancer, then no request is
 * cut, then the end.
 *
 * @module
 */

/** How far a planned stop is. */
export interface DrainState {
  /** Time since the stop was asked for, in milliseconds. */
  readonly sinceMs: number;
  /** Requests that have no final answer yet. */
  readonly openCount: number;
  /** Time after which the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/** What to do now. */
export interface DrainStep {
  /** Whether new connections are refused and idle ones closed. */
  readonly refusesConnections: boolean;
  readonly mayEnd: boolean;
}

/**
 * The balancer takes a daemon out after two misses, one second apart. Where it
 * has too few others it goes on sending clients, and a request taken later
 * than 3,000 ms may not end before the process is killed.
 */
const ACCEPT_CONNECTIONS_MS = 2_700;
/** Requests on connections that were just accepted arrive within this time. */
const LAST_REQUEST_DELAY_MS = 300;
/** Time kept to end before the process is killed. */
const KILL_MARGIN_MS = 400;

/**
 * Decides the next step of a planned stop.
 *
 * @example
 * ```ts
 * const { mayEnd } = planLeaving({ sinceMs, openCount, graceMs: 8_000 });
 * ```
 */
export function planDrain(state: DrainState): DrainStep {
  const { sinceMs, openCount, graceMs } = state;
  const isIdle = sinceMs >= ACCEPT_CONNECTIONS_MS + LAST_REQUEST_DELAY_MS &&
    openCount === 0;
  return {
    refusesConnections: sinceMs >= ACCEPT_CONNECTIONS_MS,
    mayEnd: isIdle || sinceMs >= graceMs - KILL_MARGIN_MS,
  };
}
