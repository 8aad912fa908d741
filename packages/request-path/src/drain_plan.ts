/**
 * The steps of draining a daemon: the balancer takes it out, open requests
 * finish, then the process ends.
 *
 * @module
 */

/** The progress of a drain. */
export interface DrainState {
  /** Time since the stop was requested, in milliseconds. */
  readonly sinceMs: number;
  /** Requests that have no final answer yet. */
  readonly openCount: number;
  /** Time after which the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/** The current step of a drain. */
export interface DrainStep {
  /** Whether new connections are refused and idle ones closed. */
  readonly refusesConnections: boolean;
  /** Whether open requests get a last answer, as the process ends soon. */
  readonly endsRequests: boolean;
  readonly mayEnd: boolean;
}

/**
 * How long new connections are accepted. The balancer removes a daemon after
 * two failed checks, one second apart. With too few other daemons it keeps
 * sending clients, and a request accepted after 3,000 ms may not end before the
 * process is killed.
 */
const ACCEPT_CONNECTIONS_MS = 2_700;
/** Requests on newly accepted connections arrive within this time. */
const LAST_REQUEST_DELAY_MS = 300;
/** Time reserved for ending before the process is killed. */
const KILL_MARGIN_MS = 400;
/** Time for the last answers of open requests to reach their callers. */
const LAST_ANSWERS_MS = 200;

/**
 * Decides the current step of a drain.
 *
 * @example
 * ```ts
 * const { mayEnd } = planDrain({ sinceMs, openCount, graceMs: 8_000 });
 * ```
 */
export function planDrain(state: DrainState): DrainStep {
  const { sinceMs, openCount, graceMs } = state;
  const isIdle = sinceMs >= ACCEPT_CONNECTIONS_MS + LAST_REQUEST_DELAY_MS &&
    openCount === 0;
  return {
    refusesConnections: sinceMs >= ACCEPT_CONNECTIONS_MS,
    endsRequests: sinceMs >= lastAnswersMs(graceMs),
    mayEnd: isIdle || sinceMs >= graceMs - KILL_MARGIN_MS,
  };
}

/**
 * Whether a request that has just come may be run: either it will have its
 * answer before the process ends, or it came while the balancer may still have
 * sent callers here.
 *
 * @example
 * ```ts
 * if (!mayTakeRequest({ sinceMs, graceMs, timeLeftMs })) refuseAsNotRun();
 * ```
 */
export function mayTakeRequest(request: {
  /** Time since the stop was requested, in milliseconds. */
  readonly sinceMs: number;
  readonly graceMs: number;
  /** Time until the request has its final answer, in milliseconds. */
  readonly timeLeftMs: number;
}): boolean {
  const { sinceMs, graceMs, timeLeftMs } = request;
  if (sinceMs < ACCEPT_CONNECTIONS_MS + LAST_REQUEST_DELAY_MS) return true;
  return sinceMs + timeLeftMs < lastAnswersMs(graceMs);
}

function lastAnswersMs(graceMs: number): number {
  return graceMs - KILL_MARGIN_MS - LAST_ANSWERS_MS;
}
