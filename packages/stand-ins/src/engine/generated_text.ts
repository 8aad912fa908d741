/**
 * The text that an engine generates: token i depends on the prompt, the model,
 * the weights version and i only.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const ALPHABET = "abcdefghijklmnopqrstuvwxyz";
const LETTERS_PER_TOKEN = 3;
/** Odd multiplier that spreads consecutive token indexes over 32 bits. */
const INDEX_FACTOR = 0x9e3779b1;

/** What the generated text depends on. */
export interface TextSource {
  readonly prompt: string;
  readonly model: string;
  readonly weightsVersion: string;
}

/** The seed of a whole completion. */
export function textSeed(source: TextSource): number {
  const hash = createHash("sha256")
    .update(JSON.stringify([source.model, source.weightsVersion]))
    .update(source.prompt);
  return hash.digest().readInt32LE(0);
}

/** The text of one token: three letters and a space. */
export function tokenText(seed: number, index: number): string {
  const generator = xoroshiro128plus(seed ^ Math.imul(index, INDEX_FACTOR));
  let text = "";
  for (let letter = 0; letter < LETTERS_PER_TOKEN; letter++) {
    text += ALPHABET[uniformInt(generator, 0, ALPHABET.length - 1)];
  }
  return `${text} `;
}

/**
 * The whole text that any engine generates for a prompt.
 *
 * @example
 * ```ts
 * expectedCompletion("Ring six bells", "chime", "w1", 8).length; // 32
 * ```
 */
export function expectedCompletion(
  prompt: string,
  model: string,
  weightsVersion: string,
  maxTokens: number,
): string {
  const seed = textSeed({ prompt, model, weightsVersion });
  let text = "";
  for (let index = 0; index < maxTokens; index++) {
    text += tokenText(seed, index);
  }
  return text;
}
