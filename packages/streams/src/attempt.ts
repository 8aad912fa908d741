/**
 * One attempt of a stream: its id and its progress deadline.
 *
 * @module
 */

import type { AttemptId, RequestId, WeightsVersion } from "@endivebend/types";
import type { EngineChunk } from "./engine_message.ts";
import type { StreamOptions } from "./events.ts";

/** One run of a stream's request on an engine. */
export class Attempt {
  readonly id: AttemptId;
  /**
   * Time at which the attempt is cancelled for lack of progress, in ms;
   * `Infinity` while no progress is expected.
   */
  progressDeadlineMs = Infinity;
  weightsVersion: WeightsVersion | undefined;
  readonly #options: StreamOptions;
  #started = false;
  #highestIndex = -1;

  constructor(options: StreamOptions, attemptNumber: number) {
    this.#options = options;
    this.id = `${options.requestId}.${attemptNumber}` as AttemptId;
  }

  /** Marks the attempt as started: from now on bytes may reach an engine. */
  start(): void {
    this.#started = true;
  }

  /**
   * Records the index of a received token. Returns true if it is the highest of
   * this attempt so far; only that counts as progress.
   */
  recordProgress(tokenIndex: number): boolean {
    if (tokenIndex <= this.#highestIndex) return false;
    this.#highestIndex = tokenIndex;
    return true;
  }

  /**
   * Restarts the progress deadline at `nowMs`. There is none while the attempt
   * waits in a queue or while the caller does not read.
   */
  resetProgressDeadline(nowMs: number, callerBlocked: boolean): void {
    const { progressTimeoutMs, firstTokenTimeoutMs } = this.#options;
    const timeoutMs = this.#highestIndex < 0
      ? firstTokenTimeoutMs ?? progressTimeoutMs
      : progressTimeoutMs;
    const expectsProgress = this.#started && !callerBlocked;
    this.progressDeadlineMs = expectsProgress ? nowMs + timeoutMs : Infinity;
  }
}

/** Whether a chunk belongs to a stream and to its current attempt. */
export type ChunkClass = "foreign" | "staleAttempt" | "own";

/**
 * Classifies a chunk: `foreign` when it is of another request or lacks an id,
 * `staleAttempt` when it is of another attempt of the same request.
 */
export function classifyChunk(
  chunk: EngineChunk,
  expected: {
    readonly requestId: RequestId;
    readonly attemptId: AttemptId | undefined;
  },
): ChunkClass {
  if (chunk.requestId !== expected.requestId) return "foreign";
  if (chunk.attemptId === undefined) return "foreign";
  return chunk.attemptId === expected.attemptId ? "own" : "staleAttempt";
}
