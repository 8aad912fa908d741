/**
 * Typed errors. Each has a stable code, states whether the request ran and what
 * to do, and maps to an HTTP status for callers and operators.
 *
 * @module
 */

export {
  createError,
  EndivebendError,
  isEndivebendError,
} from "./endivebend_error.ts";
export type { CreateErrorOptions, ErrorCode } from "./endivebend_error.ts";
export { ERROR_DETAILS } from "./error_codes.ts";
export type { ErrorDetail } from "./error_codes.ts";
export { toRefusal } from "./refusal.ts";
export type { Refusal, RefusalBody } from "./refusal.ts";
