/**
 * The base class of the system's errors.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { ExecutionStatus } from "@endivebend/types";
import { ERROR_DETAILS } from "./details.ts";

/** A stable error code, a key of {@link ERROR_DETAILS}. */
export type ErrorCode = keyof typeof ERROR_DETAILS;

/** What a thrower may add to an error. */
export interface CreateErrorOptions {
  /** Overrides the code's usual remedy. */
  readonly remedy?: string;
  /** Overrides whether the request ran. */
  readonly ran?: ExecutionStatus;
  /** When a retry is worthwhile, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** The request field that is at fault. */
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

/** The base of every error that callers, operators or peers can see. */
export const EndivebendError = ModernError.subclass("EndivebendError", {
  props: {} as EndivebendErrorProperties,
});

/** An instance of {@link EndivebendError}. */
export type EndivebendError = InstanceType<typeof EndivebendError>;

/**
 * Makes an error of one kind; throw it.
 *
 * @example
 * ```ts
 * throw fail("unknown_model", `Model "chime-9" is not offered`);
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

/** Tells whether a caught value is one of the system's typed errors. */
export function isEndivebendError(value: unknown): value is EndivebendError {
  return value instanceof EndivebendError;
}
