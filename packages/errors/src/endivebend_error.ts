/**
 * The class of typed errors and the function that creates them.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { ExecutionStatus } from "@endivebend/types";
import { ERROR_DETAILS } from "./error_codes.ts";

/** A stable error code, a key of {@link ERROR_DETAILS}. */
export type ErrorCode = keyof typeof ERROR_DETAILS;

/** Optional fields of an error; see {@link createError}. */
export interface CreateErrorOptions {
  /** Replaces the remedy of the error code. */
  readonly remedy?: string;
  /** Replaces the error code's statement whether the request ran. */
  readonly ran?: ExecutionStatus;
  /** Suggested wait before a retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** The field of the request that is invalid. */
  readonly field?: string;
  readonly cause?: unknown;
}

interface EndivebendErrorProperties {
  readonly code: ErrorCode;
  readonly ran: ExecutionStatus;
  readonly remedy: string;
  readonly retryAfterMs: number | undefined;
  readonly field: string | undefined;
}

/** The class of all errors that are answered to callers, operators or peers. */
export const EndivebendError = ModernError.subclass("EndivebendError", {
  props: {} as EndivebendErrorProperties,
});

/** An instance of {@link EndivebendError}. */
export type EndivebendError = InstanceType<typeof EndivebendError>;

/**
 * Creates an error with a code; the caller throws it.
 *
 * @example
 * ```ts
 * throw createError("unknown_model", `Model "chime-9" is not offered`);
 * ```
 */
export function createError(
  code: ErrorCode,
  message: string,
  options: CreateErrorOptions = {},
): EndivebendError {
  const detail = ERROR_DETAILS[code];
  return new EndivebendError(message, {
    cause: options.cause,
    props: {
      code,
      ran: options.ran ?? detail.ran,
      remedy: options.remedy ?? detail.remedy,
      retryAfterMs: options.retryAfterMs,
      field: options.field,
    },
  }) as EndivebendError;
}

/** Returns whether a caught value is an {@link EndivebendError}. */
export function isEndivebendError(value: unknown): value is EndivebendError {
  return value instanceof EndivebendError;
}
