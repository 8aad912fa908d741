/**
 * Whether a stream may try again.
 *
 * @module
 */

import type { ErrorCode } from "@endivebend/errors";
import type { StreamOptions } from "./events.ts";

const DEFAULT_MAX_ATTEMPTS = 4;

/** Why an attempt is over. */
export interface AttemptFailure {
  readonly reason: string;
  readonly code?: ErrorCode | undefined;
  readonly retryable?: boolean | undefined;
}

/** Why there is no further attempt; `code` is unset when the usual one fits. */
export interface RetryRefusal {
  readonly code: ErrorCode | undefined;
  readonly message: string;
}

/**
 * Returns why there is no further attempt, or undefined when there is one. The
 * retry budget is asked last, so that nothing is taken from it in vain.
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
