/**
 * Divides the engines of a service into a pool for short prompts and one for
 * long prompts. Engines prefill in chunks: each step may carry a chunk of a
 * prompt, and an event of a stream takes several steps. So two long prompts in
 * a row make every stream on the engine pause for longer than callers accept.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type { BackendServerId } from "@endivebend/types";

/** The prompts that a pool of engines serves. */
export type PromptPool = "short" | "long";

/** Tokens in one prefill chunk of an engine, from the users' data sheets. */
const CHUNK_TOKENS = 2_048;
/** Approximate duration of a step that carries a prefill chunk. */
const CHUNK_STEP_MS = 73;
/** A prompt of two chunks delays an event by less than callers accept. */
const SHORT_PROMPT_TOKENS = 2 * CHUNK_TOKENS;
/**
 * Short prompts bring a quarter of all tokens. Their pool is larger, because
 * they need idle engines also while some are silent and others load weights.
 */
const SHORT_SHARE = 1 / 3;
/** With fewer engines one pool would depend on a single engine. */
const MIN_ENGINES = 6;

/**
 * Whether prefilling can make the pauses of streams too long.
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
