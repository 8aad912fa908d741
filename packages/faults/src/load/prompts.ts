/**
 * Prompts that share long prefixes nested in levels: rulebook, parish, request.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const RULEBOOKS = 3;
const PARISHES = 3;
/** Two blocks of 8,000 bytes, and one. */
const RULEBOOK_BYTES = 16_000;
const PARISH_BYTES = 8_000;
const SHORT_SHARE_PERCENT = 40;
const MIN_TOKENS = 8;
const MAX_TOKENS = 60;

/** A prompt and how long its completion is. */
export interface PromptChoice {
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Draws a prompt; `number` makes its last level unique. */
export function choosePrompt(
  random: RandomGenerator,
  number: number,
): PromptChoice {
  const maxTokens = uniformInt(random, MIN_TOKENS, MAX_TOKENS);
  const question = `Request ${number}: which bell rings first?`;
  if (uniformInt(random, 1, 100) <= SHORT_SHARE_PERCENT) {
    return { prompt: question, maxTokens };
  }
  const rulebook = uniformInt(random, 1, RULEBOOKS);
  const parish = uniformInt(random, 1, PARISHES);
  const prompt = filler(`Rulebook ${rulebook}. `, RULEBOOK_BYTES) +
    filler(`Parish ${rulebook}.${parish}. `, PARISH_BYTES) + question;
  return { prompt, maxTokens };
}

function filler(sentence: string, bytes: number): string {
  return sentence.repeat(Math.ceil(bytes / sentence.length)).slice(0, bytes);
}
