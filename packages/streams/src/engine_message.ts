/**
 * Parses the messages that an engine sends as events of its response stream.
 *
 * @module
 */

import type { AttemptId, RequestId } from "@endivebend/types";
import type { SseEvent } from "./sse.ts";

/** Token counts that an engine reports at the end of a stream. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** One chunk of a streamed completion. */
export interface EngineChunk {
  readonly kind: "chunk";
  readonly requestId: RequestId | undefined;
  readonly attemptId: AttemptId | undefined;
  /** Index of the chunk's token, from 0; without text, of the next token. */
  readonly tokenIndex: number | undefined;
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: EngineUsage | undefined;
}

/** One parsed event of an engine's stream. */
export type EngineMessage =
  | EngineChunk
  | { readonly kind: "done" }
  | { readonly kind: "error"; readonly message: string }
  | { readonly kind: "malformed"; readonly reason: string };

type Json = Readonly<Record<string, unknown>>;

const END_OF_STREAM = "[DONE]";

/**
 * Parses one event of an engine's stream. Never throws: an event that cannot be
 * parsed is returned as `malformed`, which fails the attempt.
 *
 * @example
 * ```ts
 * parseEngineMessage({ type: "message", data: "[DONE]", id: undefined });
 * // { kind: "done" }
 * ```
 */
export function parseEngineMessage(event: SseEvent): EngineMessage {
  if (event.data === END_OF_STREAM) return { kind: "done" };
  const json = parseObject(event.data);
  if (json === undefined) {
    return {
      kind: "malformed",
      reason: "The engine sent an event that is not a JSON object",
    };
  }
  const error = json["error"];
  if (event.type === "error" || error !== undefined) {
    return { kind: "error", message: engineErrorMessage(error) };
  }
  return parseChunk(json);
}

function parseChunk(json: Json): EngineMessage {
  const tokenIndex = json["token_index"];
  if (tokenIndex !== undefined && !isCount(tokenIndex)) {
    return {
      kind: "malformed",
      reason: "The engine sent a token_index that is not a whole number from 0",
    };
  }
  const choice = firstChoice(json["choices"]);
  return {
    kind: "chunk",
    requestId: asString(json["request_id"]) as RequestId | undefined,
    attemptId: asString(json["attempt_id"]) as AttemptId | undefined,
    tokenIndex,
    text: textOf(choice),
    finishReason: asString(choice["finish_reason"]),
    usage: parseUsage(json["usage"]),
  };
}

function textOf(choice: Json): string {
  const delta = choice["delta"];
  const content = isObject(delta) ? asString(delta["content"]) : undefined;
  return asString(choice["text"]) ?? content ?? "";
}

/**
 * Parses the `usage` object of a streamed or a complete response. Counts that
 * are missing or invalid become 0; undefined when the value is not an object.
 *
 * @example
 * ```ts
 * parseUsage({ prompt_tokens: 8, completion_tokens: 2, cached_tokens: 0 });
 * ```
 */
export function parseUsage(value: unknown): EngineUsage | undefined {
  if (!isObject(value)) return undefined;
  const details = value["prompt_tokens_details"];
  const nested = isObject(details) ? details["cached_tokens"] : undefined;
  return {
    promptTokens: asCount(value["prompt_tokens"]),
    completionTokens: asCount(value["completion_tokens"]),
    cachedTokens: asCount(value["cached_tokens"] ?? nested),
  };
}

function parseObject(text: string): Json | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function firstChoice(choices: unknown): Json {
  const first: unknown = Array.isArray(choices) ? choices[0] : undefined;
  return isObject(first) ? first : {};
}

function engineErrorMessage(error: unknown): string {
  const message = isObject(error) ? asString(error["message"]) : undefined;
  return message ?? "The engine reported an error without a message";
}

function isObject(value: unknown): value is Json {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function asString(value: unknown): string | undefined {
  return typeof value === "string" ? value : undefined;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function asCount(value: unknown): number {
  return isCount(value) ? value : 0;
}
