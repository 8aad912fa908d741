/**
 * Estimates when an engine will begin a request that is sent to it now. Engines
 * may not begin requests on weights that were replaced too long ago, so what
 * waits there past that time is lost.
 *
 * @module
 */

import { PREFILL_TOKENS_PER_MS } from "./choose_server.ts";

/** The queue of an engine as this daemon knows it. */
export interface EngineQueue {
  /** Prompt tokens that all daemons together have queued there. */
  readonly tokensAhead: number;
  /** Requests that all daemons together have there, waiting ones included. */
  readonly requests: number;
  /** Requests that the engine runs at a time. */
  readonly slots: number;
  /** How old what this daemon knows of others' requests may be. */
  readonly maxAgeMs: number;
}

/** Longest time until a request that is sent to an idle engine starts. */
const START_SLACK_MS = 1_500;
/** A queue takes up to this multiple of the prefill time of its tokens. */
const QUEUE_FACTOR = 2;
/** Running requests of up to 218 tokens end within 3 s. */
const RUN_MS = 3_000;

/**
 * Milliseconds until the engine will have begun a further request, at the
 * latest. Prompts ahead have to be prefilled, and runs have to end while all
 * slots are taken. What others have sent meanwhile counts as well: callers send
 * up to twice what engines can serve, so a full engine's queue may have grown
 * by as much time as has passed.
 *
 * @example
 * ```ts
 * const startsInMs = estimateStartMs({
 *   tokensAhead: 9_000,
 *   requests: 20,
 *   slots: 16,
 *   maxAgeMs: 1_200,
 * });
 * ```
 */
export function estimateStartMs(queue: EngineQueue): number {
  const { tokensAhead, requests, maxAgeMs } = queue;
  const slots = Math.max(1, queue.slots);
  const prefillMs = tokensAhead / PREFILL_TOKENS_PER_MS * QUEUE_FACTOR;
  const runsToEnd = Math.max(0, requests + 1 - slots);
  const unseenMs = maxAgeMs * Math.min(1, requests / slots);
  return START_SLACK_MS + prefillMs + runsToEnd * RUN_MS / slots + unseenMs;
}
