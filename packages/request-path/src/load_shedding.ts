/**
 * Decides which prompts are shed at once. This is needed when more prompt
 * tokens arrive than the engines can prefill, such as after some of them have
 * become silent: a prompt that waits past its target time delays every prompt
 * behind it, fills the engine's memory, and evicts segments that then have to
 * be prefilled again, so that the queue never empties.
 *
 * @module
 */

import { QUEUE_TOKENS_PER_MS } from "./server_pace.ts";

/** A prompt and the queue of the engine chosen for it. */
export interface WaitingPrompt {
  /** Prompt tokens queued ahead of it. */
  readonly tokensAhead: number;
  /** Its own tokens that the engine neither has cached nor can fetch. */
  readonly tokensToRead: number;
  /** Target time to the first event, in milliseconds. */
  readonly targetMs: number;
  /** 0 is the most urgent; engines take more urgent prompts first. */
  readonly urgency: number;
  /** Whether part of its answer has reached the caller. */
  readonly hasBegun: boolean;
  /** Tokens by which the queue shrinks per millisecond, where measured. */
  readonly tokensPerMs?: number;
}

/** A shorter queue may already be empty by the next gossip message. */
const MIN_QUEUE_TOKENS = 4_000;
/** The most urgent prompts overtake others in the engine's queue. */
const URGENT_FACTOR = 1.5;
/** Retrying sooner costs a connection and gains nothing. */
const MIN_RETRY_MS = 250;

/**
 * Milliseconds after which the caller of a shed prompt should retry: the time
 * until the queue is short enough for its target. Undefined when the prompt
 * should be accepted.
 *
 * @example
 * ```ts
 * const retryInMs = shedRetryMs(prompt);
 * if (retryInMs !== undefined) refuse({ retryAfterMs: retryInMs });
 * ```
 */
export function shedRetryMs(prompt: WaitingPrompt): number | undefined {
  const { tokensAhead, tokensToRead, targetMs, urgency, hasBegun } = prompt;
  const { tokensPerMs = QUEUE_TOKENS_PER_MS } = prompt;
  if (hasBegun || tokensAhead < MIN_QUEUE_TOKENS) return undefined;
  const startsInMs = (tokensAhead + tokensToRead) / tokensPerMs;
  const limitMs = targetMs * (urgency === 0 ? URGENT_FACTOR : 1);
  if (startsInMs <= limitMs) return undefined;
  return Math.max(MIN_RETRY_MS, startsInMs - limitMs);
}
