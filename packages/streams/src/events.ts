/**
 * What a stream is told and what it asks for.
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

/** Settings of one stream. */
export interface StreamOptions {
  readonly requestId: RequestId;
  /** Bound on generated tokens. */
  readonly maxTokens: number;
  /** Longest silence of a running attempt, in milliseconds. */
  readonly progressTimeoutMs: number;
  /** Longest wait for an attempt's first token; the prefill lies in it. */
  readonly firstTokenTimeoutMs?: number;
  /** When the stream fails, on the clock of the events' `nowMs`. */
  readonly deadlineMs: number;
  /** Bound on attempts, the first one included. */
  readonly maxAttempts?: number;
  /** Asked before each attempt after the first; true takes from the budget. */
  readonly allowRetry?: () => boolean;
}

interface AttemptScoped {
  readonly attemptId: AttemptId;
}

/** An event of a stream; each carries the time at which it happened. */
export type StreamEvent =
  & { readonly nowMs: number }
  & (
    | { readonly kind: "start" }
    /** Comes before the first byte of the attempt is written to an engine. */
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
      /** False when another attempt would fail in the same way. */
      readonly retryable?: boolean;
      /** The code for the caller when nothing was forwarded yet. */
      readonly code?: ErrorCode;
    }
    /** The engine closed the response. */
    | AttemptScoped & { readonly kind: "attempt_ended" }
    | { readonly kind: "caller_backpressure" }
    | { readonly kind: "caller_ready" }
    | { readonly kind: "caller_gone" }
    | { readonly kind: "tick" }
  );

/** What the owner of the sockets must do, in the given order. */
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
    /** Set once text was forwarded: only these weights may continue it. */
    readonly weightsVersion: WeightsVersion | undefined;
    /** Why the attempt before failed. */
    readonly reason: string | undefined;
  }
  /** Closes the attempt's connection and tells the engine to stop. */
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

/** How many chunks a stream left aside, by reason. */
export interface IgnoredChunks {
  /** Chunks of another request, or without ids. */
  readonly foreign: number;
  /** Chunks of an earlier attempt. */
  readonly staleAttempt: number;
  readonly duplicate: number;
  /** Events after the stream's end. */
  readonly afterEnd: number;
}
