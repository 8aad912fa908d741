/**
 * Conversion of errors into HTTP responses.
 *
 * @module
 */

import type { ExecutionStatus, RequestId } from "@endivebend/types";
import { ERROR_DETAILS } from "./error_codes.ts";
import {
  createError,
  type ErrorCode,
  isEndivebendError,
} from "./endivebend_error.ts";

/** The JSON body of an error response. */
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

/** Status, headers and body of an error response. */
export interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: RefusalBody;
}

/**
 * Converts any caught value into an error response. A value that is not a typed
 * error is answered as `internal`, with `ran` set to `unknown`.
 *
 * @example
 * ```ts
 * const { status, headers, body } = toRefusal(error, requestId);
 * ```
 */
export function toRefusal(caught: unknown, requestId: RequestId): Refusal {
  const error = isEndivebendError(caught) ? caught : createError(
    "internal",
    "The router failed to handle the request because of an unexpected error",
    {
      cause: caught,
    },
  );
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
