/**
 * Reads which plays are known to fail.
 *
 * @module
 */

const ENTRY = /^platform-soak: (\w+ seed \d+) \|/;

/** Names a play, as lists of known failures do. */
export function playName(scenario: string, seed: number): string {
  return `${scenario} seed ${seed}`;
}

/**
 * The plays that a list of known failures names, in lines such as
 * `platform-soak: drawn seed 7 | command | what was seen | issue`.
 *
 * @example
 * ```ts
 * const known = parseKnownPlays(readFileSync("KNOWN-RED.txt", "utf8"));
 * ```
 */
export function parseKnownPlays(text: string): ReadonlySet<string> {
  const names = text.split("\n").map((line) => ENTRY.exec(line)?.[1]);
  return new Set(names.filter((name) => name !== undefined));
}
