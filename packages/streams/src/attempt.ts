/**
 * One attempt of a stream: its identity and its progress deadline.
 *
 * @module
 */

import type { AttemptId, RequestId, WeightsVersion } from "@endivebend/types";
import type { EngineChunk } from "./engine_message.ts";
import type { StreamOptions } from "./events.ts";

/** The current attempt of a stream. */
export class Attempt {
  readonly id: AttemptId;
  /** When the attempt is dropped; `Infinity` while no progress is expected. */
  progressDeadlineMs = Infinity;
  weightsVersion: WeightsVersion | undefined;
  readonly #options: StreamOptions;
  #started = false;
  #highestIndex = -1;

  constructor(options: StreamOptions, attemptNumber: number) {
    this.#options = options;
    this.id = `${options.requestId}.${attemptNumber}` as AttemptId;
  }

  /** Notes that a byte may reach an engine from now on. */
  start(): void {
    this.#started = true;
  }

  /** Whether the index is the highest of this attempt, which is progress. */
  recordProgress(tokenIndex: number): boolean {
    if (tokenIndex <= this.#highestIndex) return false;
    this.#highestIndex = tokenIndex;
    return true;
  }

  /**
   * Counts the progress deadline from now. There is none while the attempt
   * waits in a queue, nor while the caller does not read.
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

/** What a chunk is to a stream. */
export type ChunkClass = "foreign" | "staleAttempt" | "own";

/** Tells whether a chunk belongs to the request and to its current attempt. */
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
