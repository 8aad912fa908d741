/**
 * Typed error kinds. Each carries a stable code, whether the request ran, and
 * the remedy, and maps to an HTTP status for callers and operators.
 *
 * @module
 */

export { createError, EndivebendError, isEndivebendError } from "./kinds.ts";
export type { CreateErrorOptions, ErrorCode } from "./kinds.ts";
export { ERROR_DETAILS } from "./details.ts";
export type { ErrorDetail } from "./details.ts";
export { toRefusal } from "./refusal.ts";
export type { Refusal, RefusalBody } from "./refusal.ts";
