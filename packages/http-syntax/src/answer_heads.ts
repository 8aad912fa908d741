/**
 * Checks the heads and trailers of answers. The parser of Node.js accepts heads
 * that its writer refuses with an exception.
 *
 * @module
 */

import { isHeaderName } from "./header_names.ts";

/**
 * Field values and reason phrases (RFC 9110, section 5.5, and RFC 9112, section
 * 4), decoded as Latin-1.
 */
const FIELD_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;
/** Final status codes (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** The head of an answer as Node.js reads it. */
export interface ReadHead {
  readonly statusCode?: number | undefined;
  readonly statusMessage?: string | undefined;
  readonly rawHeaders: readonly string[];
}

/**
 * Why the fields can't be passed on; undefined when they can. Takes headers or
 * trailers as Node.js lists them: names and values in turn.
 *
 * @example
 * ```ts
 * findFieldFault(["X-Own", "a\x01"]); // "a field value with control characters"
 * ```
 */
export function findFieldFault(
  rawFields: readonly string[],
): string | undefined {
  for (let index = 0; index < rawFields.length; index += 2) {
    if (!isHeaderName(rawFields[index]!)) {
      return "a field name that is not a token";
    }
    if (!FIELD_TEXT.test(rawFields[index + 1] ?? "")) {
      return "a field value with control characters";
    }
  }
  return undefined;
}

/**
 * Why the bytes are no head of a final answer; undefined when they are.
 *
 * @example
 * ```ts
 * const fault = findHeadFault(response);
 * if (fault !== undefined) fail(`The answer has ${fault}`);
 * ```
 */
export function findHeadFault(head: ReadHead): string | undefined {
  const { statusCode = 0, statusMessage = "", rawHeaders } = head;
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_FINAL_STATUS) {
    return "a status code out of range";
  }
  if (!FIELD_TEXT.test(statusMessage)) {
    return "a reason phrase with control characters";
  }
  return findFieldFault(rawHeaders);
}
