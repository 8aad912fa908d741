/**
 * Reads which scenarios are known to fail.
 *
 * @module
 */

const ENTRY = /^faults: (\w+) \|/;

/**
 * The scenarios that a list of known failures names, in lines such as
 * `faults: entry_stopped | command | what was seen | issue`.
 *
 * @example
 * ```ts
 * const known = parseKnownScenarios(readFileSync("KNOWN-RED.txt", "utf8"));
 * ```
 */
export function parseKnownScenarios(text: string): ReadonlySet<string> {
  const names = text.split("\n").map((line) => ENTRY.exec(line)?.[1]);
  return new Set(names.filter((name) => name !== undefined));
}
