/**
 * The options, events and effects of a stream.
 *
 * @module
 */

import type { ErrorCode } from "@endivebend/errors";
import type {
  AttemptId,
  ExecutionStatus,
  RequestId,
  WeightsVersion,
} from "@endivebend/types";
import type { EngineMessage, EngineUsage } from "./engine_message.ts";

/** Options of one stream. */
export interface StreamOptions {
  readonly requestId: RequestId;
  /** Largest number of tokens that the engine may generate. */
  readonly maxTokens: number;
  /** Longest time without a new token in a running attempt, in milliseconds. */
  readonly progressTimeoutMs: number;
  /**
   * Longest wait for an attempt's first token, in milliseconds. It includes the
   * prefill. Defaults to `progressTimeoutMs`.
   */
  readonly firstTokenTimeoutMs?: number;
  /** Time at which the stream fails, in ms on the clock of the events. */
  readonly deadlineMs: number;
  /** Largest number of attempts, the first one included. */
  readonly maxAttempts?: number;
  /**
   * Called before each attempt after the first. Returns whether the retry
   * budget permits it; a permitted retry is charged to the budget.
   */
  readonly allowRetry?: () => boolean;
}

interface AttemptScoped {
  readonly attemptId: AttemptId;
}

/** An input of a stream, with the time at which it happened. */
export type StreamEvent =
  & { readonly nowMs: number }
  & (
    | { readonly kind: "start" }
    /** Must precede the first byte that the attempt writes to an engine. */
    | AttemptScoped & { readonly kind: "attempt_started" }
    | AttemptScoped & {
      readonly kind: "attempt_headers";
      readonly weightsVersion: WeightsVersion;
    }
    | AttemptScoped & {
      readonly kind: "chunk";
      readonly message: EngineMessage;
    }
    | AttemptScoped & {
      readonly kind: "attempt_failed";
      readonly reason: string;
      /** False if another attempt would fail in the same way. */
      readonly retryable?: boolean;
      /** The error code for the caller if no text has been forwarded. */
      readonly code?: ErrorCode;
    }
    /** The engine closed the response. */
    | AttemptScoped & { readonly kind: "attempt_ended" }
    | { readonly kind: "caller_backpressure" }
    | { readonly kind: "caller_ready" }
    | { readonly kind: "caller_gone" }
    | { readonly kind: "tick" }
  );

/** An action that the owner of the sockets must carry out, in order. */
export type StreamEffect =
  | {
    readonly kind: "forward";
    readonly tokenIndex: number;
    readonly text: string;
  }
  | {
    readonly kind: "start_attempt";
    readonly attemptId: AttemptId;
    /** 1 for the first attempt. */
    readonly attemptNumber: number;
    readonly resumeFrom: number;
    readonly generatedText: string;
    /**
     * Set once text has been forwarded: only an engine with this weights
     * version may continue it.
     */
    readonly weightsVersion: WeightsVersion | undefined;
    /** Why the previous attempt failed; undefined for the first one. */
    readonly reason: string | undefined;
  }
  /** Close the attempt's connection and tell the engine to stop. */
  | {
    readonly kind: "cancel_attempt";
    readonly attemptId: AttemptId;
    readonly reason: string;
  }
  | {
    readonly kind: "finish";
    readonly finishReason: string;
    readonly completionTokens: number;
    readonly usage: EngineUsage | undefined;
  }
  | {
    readonly kind: "fail";
    readonly code: ErrorCode;
    readonly ran: ExecutionStatus;
    readonly message: string;
  };

/** Number of chunks that a stream ignored, by reason. */
export interface IgnoredChunks {
  /** Chunks of another request, or without a request or attempt id. */
  readonly foreign: number;
  /** Chunks of an attempt other than the current one. */
  readonly staleAttempt: number;
  readonly duplicate: number;
  /** Chunk events after the stream's end. */
  readonly afterEnd: number;
}
