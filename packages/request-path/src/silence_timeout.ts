/**
 * How long an attempt may bring nothing of its answer. This detects servers that
 * become silent, or leave single requests hanging, while their health check
 * passes.
 *
 * @module
 */

import { isRepeatable, isStream, type RoutedRequest } from "./types.ts";

/** An answer that takes longer may wait for a slot, or its link may be lost. */
export const UNANSWERED_MS = 500;
/** Timeout for a server that has sent nothing at all since the attempt. */
const SILENT_SERVER_MS = 700;
/** Multiple of the target time after which a single request is hanging. */
const HANGING_FACTOR = 2;
/** Multiple of the longest accepted pause after which a stream is cut. */
const PAUSE_FACTOR = 2.5;
/** Longest accepted pause between events where a route states none. */
const DEFAULT_MAX_PAUSE_MS = 400;

/** A caller gives up a stream whose pause exceeds all of these limits. */
const CALLER_PATIENCE_MS = 2_000;
const CALLER_TARGET_FACTOR = 4;
const CALLER_PAUSE_FACTOR = 8;
/** Sound streams that are slow must outlast their callers' patience. */
const STALL_MARGIN_FACTOR = 1.25;

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
 * The silence timeout in milliseconds, counted from the last event of a stream.
 * Where no other server can take over, a stream that has begun gets longer than
 * callers wait for its next event; for other attempts it is infinite, and only
 * the request's deadline ends them.
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
  const isRunningStream = attempt.hasBegun && isStream(kind);
  const maxPauseMs = maxGapMs ?? DEFAULT_MAX_PAUSE_MS;
  if (!isRepeatable(kind) || !attempt.canRetry) {
    if (!isRunningStream) return Number.POSITIVE_INFINITY;
    return STALL_MARGIN_FACTOR * Math.max(
      CALLER_PATIENCE_MS,
      targetMs * CALLER_TARGET_FACTOR,
      maxPauseMs * CALLER_PAUSE_FACTOR,
    );
  }
  if (isRunningStream) return maxPauseMs * PAUSE_FACTOR;
  const hangingMs = targetMs * HANGING_FACTOR;
  return attempt.isServerSilent
    ? Math.max(SILENT_SERVER_MS, targetMs)
    : hangingMs;
}
