/**
 * The token count that the router and the stand-in engines both use.
 *
 * @module
 */

import { BYTES_PER_TOKEN } from "./records.ts";

/**
 * Counts the tokens of a text: one for every four bytes of UTF-8, rounded up.
 *
 * @example
 * ```ts
 * countTokens("peal"); // 1
 * ```
 */
export function countTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
}
