/**
 * `NAME=VALUE` pairs and numbers of the command line.
 *
 * @module
 */

import { failUsage } from "./command_error.ts";

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/**
 * Reads pairs; a value that is JSON keeps its type, any other is a string.
 *
 * @example
 * ```ts
 * parsePairs(["burstTokens=500"]); // { burstTokens: 500 }
 * ```
 */
export function parsePairs(
  pairs: readonly string[],
): Record<string, unknown> {
  const entries = pairs.map((pair): [string, unknown] => {
    const at = pair.indexOf("=");
    if (at > 0) return [pair.slice(0, at), parseValue(pair.slice(at + 1))];
    throw failUsage(`"${pair}" is not a pair`, "Write it as NAME=VALUE");
  });
  return Object.fromEntries(entries);
}

/**
 * Reads an option that is a whole number of 0 or more.
 *
 * @example
 * ```ts
 * readCount("--prompt-tokens", "800"); // 800
 * ```
 */
export function readCount(
  option: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw failUsage(
    `The value of ${option} is "${text}"`,
    "Write it as a whole number",
  );
}
