/**
 * The HTTP form of an error.
 *
 * @module
 */

import type { ExecutionStatus, RequestId } from "@endivebend/types";
import { ERROR_DETAILS } from "./details.ts";
import { createError, type ErrorCode, isEndivebendError } from "./kinds.ts";

/** The JSON body of a refusal. */
export interface RefusalBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: ErrorCode;
    readonly ran: ExecutionStatus;
    readonly remedy: string;
    readonly request_id: string;
    readonly field?: string;
  };
}

/** A refusal ready to be written to an HTTP response. */
export interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: RefusalBody;
}

/**
 * Turns any caught value into a refusal. A value that is not a typed error
 * becomes `internal`, whose `ran` is `unknown`.
 *
 * @example
 * ```ts
 * const { status, headers, body } = toRefusal(error, requestId);
 * ```
 */
export function toRefusal(caught: unknown, requestId: RequestId): Refusal {
  const error = isEndivebendError(caught)
    ? caught
    : createError("internal", "The router failed to handle the request", {
      cause: caught,
    });
  const detail = ERROR_DETAILS[error.code];
  const headers: Record<string, string> = { "x-request-id": requestId };
  if (error.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(error.retryAfterMs / 1000));
  }
  return {
    status: detail.status,
    headers,
    body: {
      error: {
        message: error.message,
        type: detail.type,
        code: error.code,
        ran: error.ran,
        remedy: error.remedy,
        request_id: requestId,
        ...(error.field === undefined ? {} : { field: error.field }),
      },
    },
  };
}
