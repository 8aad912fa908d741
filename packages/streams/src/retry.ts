/**
 * Decides whether a stream may start another attempt.
 *
 * @module
 */

import type { ErrorCode } from "@endivebend/errors";
import type { StreamOptions } from "./events.ts";

const DEFAULT_MAX_ATTEMPTS = 4;

/** Why an attempt failed. */
export interface AttemptFailure {
  readonly reason: string;
  readonly code?: ErrorCode | undefined;
  readonly retryable?: boolean | undefined;
}

/**
 * Why no further attempt is started. When `code` is undefined, the stream
 * chooses a code by whether an attempt had started.
 */
export interface RetryRefusal {
  readonly code: ErrorCode | undefined;
  readonly message: string;
}

/**
 * Returns why no further attempt may start, or undefined if one may. The retry
 * budget is checked last, so that only attempts that start are charged to it.
 */
export function findRetryRefusal(
  failure: AttemptFailure,
  options: StreamOptions,
  progress: { readonly attemptCount: number; readonly nowMs: number },
): RetryRefusal | undefined {
  const { reason, code } = failure;
  if (progress.nowMs >= options.deadlineMs) {
    return { code: "deadline_exceeded", message: reason };
  }
  if (failure.retryable === false) return { code, message: reason };
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  if (progress.attemptCount >= maxAttempts) {
    return {
      code,
      message: `${reason} in the last of ${maxAttempts} attempts`,
    };
  }
  if (options.allowRetry?.() === false) {
    return { code, message: `${reason}; the retry budget is spent` };
  }
  return undefined;
}
