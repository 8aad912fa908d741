/**
 * Checks the nesting depth of JSON before it is parsed.
 *
 * @module
 */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING = new Set([0x5b, 0x7b]);
const CLOSING = new Set([0x5d, 0x7d]);

/**
 * Index of the quote that ends the string whose content begins at `from`, or
 * the length of the text if the string does not end.
 */
function findStringEnd(text: Buffer, from: number): number {
  let end = text.indexOf(QUOTE, from);
  while (end !== -1) {
    let backslashes = 0;
    while (text[end - 1 - backslashes] === BACKSLASH) backslashes++;
    if (backslashes % 2 === 0) return end;
    end = text.indexOf(QUOTE, end + 1);
  }
  return text.length;
}

/**
 * Whether arrays and objects are nested deeper than `maxDepth`. Parsing a byte
 * of nesting takes far more memory and time than parsing a byte of text: 8 MB
 * of brackets took 0.6 s and 300 MB. Strings are
 * skipped by searching for their closing quote.
 *
 * @example
 * ```ts
 * exceedsDepth(Buffer.from("[[[]]]"), 2); // true
 * ```
 */
export function exceedsDepth(json: Buffer, maxDepth: number): boolean {
  let depth = 0;
  for (let index = 0; index < json.length; index++) {
    const byte = json[index] as number;
    if (byte === QUOTE) {
      index = findStringEnd(json, index + 1);
    } else if (OPENING.has(byte)) {
      depth++;
      if (depth > maxDepth) return true;
    } else if (CLOSING.has(byte)) {
      depth--;
    }
  }
  return false;
}
