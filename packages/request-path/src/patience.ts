/**
 * How long an attempt may say nothing. Answers servers that fall silent, or
 * that leave single calls hanging, while their status check is good.
 *
 * @module
 */

import { isRepeatable, isStream, type RoutedRequest } from "./types.ts";

/** Silence of a server that has said nothing at all since the call was sent. */
const SILENT_SERVER_MS = 700;
/** Multiple of the target time after which a single call counts as hanging. */
const HANGING_FACTOR = 2;
/** Multiple of the longest good pause after which a stream counts as cut. */
const PAUSE_FACTOR = 2.5;
/** Pause between events where a route states none. */
const DEFAULT_MAX_PAUSE_MS = 400;

/** What is known of an attempt that says nothing. */
export interface SilentAttempt {
  /** Whether part of the answer has reached the caller. */
  readonly hasBegun: boolean;
  /** Whether another server may run the call. */
  readonly canRetry: boolean;
  /** Whether the server has said nothing to any call since this one. */
  readonly isServerSilent: boolean;
}

/**
 * Longest silence in milliseconds. Where another server can't take over, the
 * silence ends at the call's deadline only.
 *
 * @example
 * ```ts
 * patienceMs(call, { hasBegun: false, mayRunAgain: true, isServerSilent: true });
 * ```
 */
export function silenceTimeoutMs(
  request: RoutedRequest,
  attempt: SilentAttempt,
): number {
  const { kind, targetMs, maxGapMs } = request.route;
  if (!isRepeatable(kind) || !attempt.canRetry) {
    return Number.POSITIVE_INFINITY;
  }
  if (attempt.hasBegun && isStream(kind)) {
    return (maxGapMs ?? DEFAULT_MAX_PAUSE_MS) * PAUSE_FACTOR;
  }
  const hangingMs = targetMs * HANGING_FACTOR;
  return attempt.isServerSilent
    ? Math.max(SILENT_SERVER_MS, targetMs)
    : hangingMs;
}
