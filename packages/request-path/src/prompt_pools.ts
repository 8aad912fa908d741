/**
 * Divides the engines of a service into some for short prompts and some for
 * long ones. Answers a load where short questions stream while long prompts
 * are read: each step of an engine may carry a piece of a prompt, an event
 * waits for several steps, and two long prompts in a row make every stream on
 * the engine pause for longer than callers accept.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type { BackendServerId } from "@endivebend/types";

/** Which prompts an engine is for. */
export type PromptPool = "short" | "long";

/** An engine reads prompts in pieces of this many tokens, from the sheets. */
const CHUNK_TOKENS = 2_048;
/** A step with a piece of a prompt takes about this long. */
const CHUNK_STEP_MS = 73;
/** A prompt of two pieces delays an event by less than callers accept. */
const SHORT_PROMPT_TOKENS = 2 * CHUNK_TOKENS;
/**
 * Short prompts bring a quarter of all tokens and need idle engines, also while
 * some engines are silent and others take new weights.
 */
const SHORT_SHARE = 1 / 3;
/** With fewer engines one pool would hang on a single engine. */
const MIN_ENGINES = 6;

/**
 * Whether prompts that are read can make the pauses of streams too long.
 *
 * @example
 * ```ts
 * needsPools({ tokensPerEvent: 6, maxGapMs: 400 }); // true
 * ```
 */
export function needsPools(stream: {
  readonly tokensPerEvent: number;
  readonly maxGapMs: number | undefined;
}): boolean {
  const { tokensPerEvent, maxGapMs } = stream;
  return maxGapMs !== undefined && tokensPerEvent * CHUNK_STEP_MS > maxGapMs;
}

/** The pool that a prompt belongs to. */
export function poolOf(promptTokens: number): PromptPool {
  return promptTokens <= SHORT_PROMPT_TOKENS ? "short" : "long";
}

/**
 * Assigns each engine to a pool; all daemons with the same list agree.
 *
 * @example
 * ```ts
 * const pools = assignPools(engines.map(({ id }) => id));
 * ```
 */
export function assignPools(
  engines: readonly BackendServerId[],
): ReadonlyMap<BackendServerId, PromptPool> {
  if (engines.length < MIN_ENGINES) return new Map();
  const shortCount = Math.round(engines.length * SHORT_SHARE);
  const ranked = engines
    .map((id) => ({ id, weight: rendezvousWeight("short-prompts", id) }))
    .sort((a, b) => b.weight - a.weight);
  return new Map(
    ranked.map(({ id }, index) => [id, index < shortCount ? "short" : "long"]),
  );
}
