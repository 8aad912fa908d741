/**
 * The state machine of one stream over its attempts.
 *
 * @module
 */

import type { ErrorCode } from "@endivebend/errors";
import type {
  AttemptId,
  ExecutionStatus,
  WeightsVersion,
} from "@endivebend/types";
import { Attempt, classifyChunk } from "./attempt.ts";
import { type AttemptFailure, findRetryRefusal } from "./retry.ts";
import type { EngineChunk, EngineUsage } from "./engine_message.ts";
import type {
  IgnoredChunks,
  StreamEffect,
  StreamEvent,
  StreamOptions,
} from "./events.ts";

type EventOf<Kind extends StreamEvent["kind"]> = Extract<
  StreamEvent,
  { kind: Kind }
>;

/**
 * Keeps one stream complete and in order: it forwards only the next token of
 * the current attempt, resumes after a failure, and ends with one `finish` or
 * one `fail`, or without either when the caller disconnects. It does no I/O: it
 * turns events into effects for the owner of the sockets.
 */
export class StreamState {
  readonly #options: StreamOptions;
  #attempt: Attempt | undefined;
  #attemptCount = 0;
  #anyAttemptStarted = false;
  #forwardedText = "";
  #nextTokenIndex = 0;
  #hasForwarded = false;
  #pinnedWeightsVersion: WeightsVersion | undefined;
  #finishReason: string | undefined;
  #usage: EngineUsage | undefined;
  #callerBlocked = false;
  #hasEnded = false;
  #effects: StreamEffect[] = [];
  readonly #ignoredChunks = {
    foreign: 0,
    staleAttempt: 0,
    duplicate: 0,
    afterEnd: 0,
  };

  constructor(options: StreamOptions) {
    this.#options = options;
  }

  /** Whether `finish` or `fail` was returned, or the caller disconnected. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Index of the next token to forward. */
  get nextTokenIndex(): number {
    return this.#nextTokenIndex;
  }

  /** Number of chunks ignored so far, by reason. */
  get ignoredChunks(): IgnoredChunks {
    return { ...this.#ignoredChunks };
  }

  /** Time of the next due `tick` in ms, or undefined after the end. */
  nextDeadlineMs(): number | undefined {
    if (this.#hasEnded) return undefined;
    const progress = this.#attempt?.progressDeadlineMs ?? Infinity;
    return Math.min(progress, this.#options.deadlineMs);
  }

  /** Applies one event and returns the effects to carry out, in order. */
  handle(event: StreamEvent): readonly StreamEffect[] {
    if (this.#hasEnded) {
      if (event.kind === "chunk") this.#ignoredChunks.afterEnd++;
      return [];
    }
    this.#effects = [];
    // The table has a handler type for each kind; the compiler cannot match the
    // event's type with that of its handler.
    const handler = this.#handlers[event.kind] as (event: StreamEvent) => void;
    handler(event);
    return this.#effects;
  }

  readonly #handlers: {
    readonly [Kind in StreamEvent["kind"]]: (event: EventOf<Kind>) => void;
  } = {
    start: () => this.#startAttempt(undefined),
    attempt_started: (event) => this.#onAttemptStarted(event),
    attempt_headers: (event) => this.#onAttemptHeaders(event),
    chunk: (event) => this.#onMessage(event),
    attempt_failed: (event) => {
      if (!this.#isCurrent(event.attemptId)) return;
      this.#onAttemptEnd(event, event.nowMs);
    },
    attempt_ended: (event) => {
      if (!this.#isCurrent(event.attemptId)) return;
      const reason = "The engine ended the stream without a finish reason";
      this.#onAttemptEnd({ reason }, event.nowMs);
    },
    caller_backpressure: (event) => {
      this.#callerBlocked = true;
      this.#resetProgressDeadline(event.nowMs);
    },
    caller_ready: (event) => {
      this.#callerBlocked = false;
      this.#resetProgressDeadline(event.nowMs);
    },
    caller_gone: () => {
      this.#hasEnded = true;
      this.#cancelAttempt("The caller has disconnected");
    },
    tick: (event) => this.#onTick(event.nowMs),
  };

  #isCurrent(attemptId: AttemptId): boolean {
    return this.#attempt?.id === attemptId;
  }

  #onAttemptStarted(event: EventOf<"attempt_started">): void {
    if (!this.#isCurrent(event.attemptId) || !this.#attempt) return;
    this.#attempt.start();
    this.#anyAttemptStarted = true;
    this.#resetProgressDeadline(event.nowMs);
  }

  #onAttemptHeaders(event: EventOf<"attempt_headers">): void {
    if (!this.#isCurrent(event.attemptId) || !this.#attempt) return;
    this.#attempt.weightsVersion = event.weightsVersion;
    if (
      !this.#hasForwarded || this.#pinnedWeightsVersion === event.weightsVersion
    ) return;
    this.#cancelAndRetry(
      "The engine has other weights than those that began the stream",
      event.nowMs,
    );
  }

  #onMessage(event: EventOf<"chunk">): void {
    const { message } = event;
    if (message.kind === "chunk") return this.#onChunk(message, event.nowMs);
    if (!this.#isCurrent(event.attemptId)) return;
    if (message.kind === "done") {
      const reason = "The engine ended the stream without a finish reason";
      return this.#onAttemptEnd({ reason }, event.nowMs);
    }
    const reason = message.kind === "error" ? message.message : message.reason;
    this.#cancelAndRetry(reason, event.nowMs);
  }

  #onChunk(chunk: EngineChunk, nowMs: number): void {
    const attempt = this.#attempt;
    const chunkClass = classifyChunk(chunk, {
      requestId: this.#options.requestId,
      attemptId: attempt?.id,
    });
    if (chunkClass !== "own") {
      this.#ignoredChunks[chunkClass]++;
      return;
    }
    if (chunk.usage) this.#usage = chunk.usage;
    if (chunk.tokenIndex === undefined || this.#finishReason !== undefined) {
      return;
    }
    if (attempt?.recordProgress(chunk.tokenIndex)) {
      this.#resetProgressDeadline(nowMs);
    }
    if (chunk.tokenIndex < this.#nextTokenIndex) {
      this.#ignoredChunks.duplicate++;
      return;
    }
    if (chunk.tokenIndex > this.#nextTokenIndex) {
      return this.#cancelAndRetry(
        `The engine skipped token ${this.#nextTokenIndex}`,
        nowMs,
      );
    }
    this.#acceptToken(chunk, nowMs);
  }

  #acceptToken(chunk: EngineChunk, nowMs: number): void {
    const isEnd = chunk.text === "" && chunk.finishReason !== undefined;
    if (!isEnd) {
      if (this.#nextTokenIndex >= this.#options.maxTokens) {
        return this.#cancelAndRetry(
          "The engine sent more tokens than the limit permits",
          nowMs,
        );
      }
      this.#forwardToken(chunk.text);
    }
    this.#finishReason = chunk.finishReason;
  }

  #forwardToken(text: string): void {
    this.#effects.push({
      kind: "forward",
      tokenIndex: this.#nextTokenIndex,
      text,
    });
    this.#nextTokenIndex++;
    this.#forwardedText += text;
    this.#hasForwarded = true;
    this.#pinnedWeightsVersion ??= this.#attempt?.weightsVersion;
  }

  #onTick(nowMs: number): void {
    if (nowMs >= this.#options.deadlineMs) {
      if (this.#finishReason !== undefined) return this.#finish();
      this.#cancelAttempt("The request's deadline has passed");
      return this.#fail(
        "deadline_exceeded",
        "The request's deadline has passed",
      );
    }
    const attempt = this.#attempt;
    if (!attempt || nowMs < attempt.progressDeadlineMs) return;
    this.#cancelAndRetry(
      "The engine made no progress before its deadline",
      nowMs,
    );
  }

  /** Cancels the current attempt and, if permitted, starts the next one. */
  #cancelAndRetry(reason: string, nowMs: number): void {
    this.#cancelAttempt(reason);
    this.#onAttemptEnd({ reason }, nowMs);
  }

  #cancelAttempt(reason: string): void {
    if (!this.#attempt) return;
    const attemptId = this.#attempt.id;
    this.#attempt = undefined;
    this.#effects.push({ kind: "cancel_attempt", attemptId, reason });
  }

  #onAttemptEnd(failure: AttemptFailure, nowMs: number): void {
    this.#attempt = undefined;
    if (this.#finishReason !== undefined) return this.#finish();
    if (this.#nextTokenIndex >= this.#options.maxTokens) {
      // All permitted tokens were forwarded; only the finish reason is missing.
      this.#finishReason = "length";
      return this.#finish();
    }
    this.#retryOrFail(failure, nowMs);
  }

  #retryOrFail(failure: AttemptFailure, nowMs: number): void {
    const attemptCount = this.#attemptCount;
    const refusal = findRetryRefusal(failure, this.#options, {
      attemptCount,
      nowMs,
    });
    if (!refusal) return this.#startAttempt(failure.reason);
    this.#fail(refusal.code ?? this.#failureCode(), refusal.message);
  }

  #failureCode(): ErrorCode {
    return this.#anyAttemptStarted
      ? "backend_server_failed"
      : "no_backend_server";
  }

  #startAttempt(reason: string | undefined): void {
    this.#attemptCount++;
    this.#attempt = new Attempt(this.#options, this.#attemptCount);
    this.#effects.push({
      kind: "start_attempt",
      attemptId: this.#attempt.id,
      attemptNumber: this.#attemptCount,
      resumeFrom: this.#nextTokenIndex,
      generatedText: this.#forwardedText,
      weightsVersion: this.#pinnedWeightsVersion,
      reason,
    });
  }

  #resetProgressDeadline(nowMs: number): void {
    this.#attempt?.resetProgressDeadline(nowMs, this.#callerBlocked);
  }

  #finish(): void {
    this.#hasEnded = true;
    this.#effects.push({
      kind: "finish",
      finishReason: this.#finishReason ?? "length",
      completionTokens: this.#nextTokenIndex,
      usage: this.#usage,
    });
  }

  #fail(code: ErrorCode, message: string): void {
    this.#hasEnded = true;
    const effect = { kind: "fail" as const, message };
    if (this.#hasForwarded) {
      this.#effects.push({ ...effect, code: "stream_incomplete", ran: "ran" });
      return;
    }
    const ran: ExecutionStatus = this.#anyAttemptStarted
      ? "unknown"
      : "not_run";
    this.#effects.push({ ...effect, code, ran });
  }
}

/**
 * Creates the state of one stream. Its first event must be `start`.
 *
 * @example
 * ```ts
 * const stream = createStreamState({
 *   requestId,
 *   maxTokens: 256,
 *   progressTimeoutMs: 2000,
 *   deadlineMs: nowMs + 60_000,
 * });
 * stream.handle({ kind: "start", nowMs }); // [{ kind: "start_attempt", ... }]
 * ```
 */
export function createStreamState(options: StreamOptions): StreamState {
  return new StreamState(options);
}
