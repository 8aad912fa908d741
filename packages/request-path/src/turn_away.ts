/**
 * Decides which prompts are turned away at once. Answers a load with more
 * prompt tokens than the engines read, such as after some of them have fallen
 * silent: a prompt that waits for longer than callers aim for delays every
 * prompt behind it, fills the engine's memory, and evicts parts that have to be
 * read again, so that the queue never empties.
 *
 * @module
 */

/** A prompt at the engine that would take it soonest. */
export interface WaitingPrompt {
  /** Prompt tokens ahead of it. */
  readonly tokensAhead: number;
  /** Its own tokens that the engine neither keeps nor can fetch. */
  readonly tokensToRead: number;
  /** Time to the first event that callers aim for. */
  readonly targetMs: number;
  /** 0 is the most urgent; engines take more urgent prompts first. */
  readonly urgency: number;
  /** Whether part of its answer has reached the caller. */
  readonly hasBegun: boolean;
}

/** Of 38.4 tokens a millisecond, attention and generation leave about these. */
const TOKENS_PER_MS = 28;
/** A shorter queue says nothing: the engine may be idle by the next message. */
const MIN_QUEUE_TOKENS = 4_000;
/** The most urgent prompts overtake others at the engine. */
const URGENT_FACTOR = 1.5;
/** Returning sooner costs a caller a connection and gains it nothing. */
const MIN_RETRY_MS = 250;

/**
 * Milliseconds after which a prompt that would begin too late should return:
 * the time in which the queue falls below its target. Undefined when it should
 * be taken.
 *
 * @example
 * ```ts
 * const returnInMs = turnAway(prompt);
 * if (returnInMs !== undefined) refuse({ retryAfterMs: returnInMs });
 * ```
 */
export function shedRetryMs(prompt: WaitingPrompt): number | undefined {
  const { tokensAhead, tokensToRead, targetMs, urgency, hasBegun } = prompt;
  if (hasBegun || tokensAhead < MIN_QUEUE_TOKENS) return undefined;
  const startsInMs = (tokensAhead + tokensToRead) / TOKENS_PER_MS;
  const limitMs = targetMs * (urgency === 0 ? URGENT_FACTOR : 1);
  if (startsInMs <= limitMs) return undefined;
  return Math.max(MIN_RETRY_MS, startsInMs - limitMs);
}
