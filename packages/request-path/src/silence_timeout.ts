/**
 * How long an attempt may receive nothing. This detects servers that become
 * silent, or leave single requests hanging, while their health check passes.
 *
 * @module
 */

import { isRepeatable, isStream, type RoutedRequest } from "./types.ts";

/** Timeout for a server that has sent nothing at all since the attempt. */
const SILENT_SERVER_MS = 700;
/** Multiple of the target time after which a single request is hanging. */
const HANGING_FACTOR = 2;
/** Multiple of the longest accepted pause after which a stream is cut. */
const PAUSE_FACTOR = 2.5;
/** Longest accepted pause between events where a route states none. */
const DEFAULT_MAX_PAUSE_MS = 400;

/** The state of an attempt that receives nothing. */
export interface SilentAttempt {
  /** Whether part of the answer has reached the caller. */
  readonly hasBegun: boolean;
  /** Whether another server may run the request. */
  readonly canRetry: boolean;
  /** Whether the server has sent nothing to any request since the attempt. */
  readonly isServerSilent: boolean;
}

/**
 * The silence timeout in milliseconds. It is infinite where no other server can
 * take over; then only the request's deadline ends the attempt.
 *
 * @example
 * ```ts
 * silenceTimeoutMs(request, {
 *   hasBegun: false,
 *   canRetry: true,
 *   isServerSilent: true,
 * });
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
