/**
 * Formats model answers as OpenAI-compatible client libraries expect them.
 *
 * @module
 */

import type { EngineUsage } from "@endivebend/streams";
import type { ModelName, RequestId } from "@endivebend/types";
import type { ModelRequestShape } from "./model_request.ts";

/** Fields that all chunks of an answer share. */
export interface AnswerMetadata {
  readonly shape: ModelRequestShape;
  readonly requestId: RequestId;
  readonly model: ModelName;
  /** Wall-clock time in seconds since the Unix epoch. */
  readonly createdS: number;
}

interface ShapeFormat {
  readonly idPrefix: string;
  readonly object: string;
  readonly chunkObject: string;
  readonly delta: (text: string, isFirst: boolean) => Record<string, unknown>;
  readonly completeText: (text: string) => Record<string, unknown>;
}

const SHAPES: Record<ModelRequestShape, ShapeFormat> = {
  chat: {
    idPrefix: "chatcmpl-",
    object: "chat.completion",
    chunkObject: "chat.completion.chunk",
    delta: (text, isFirst) => ({
      delta: isFirst ? { role: "assistant", content: text } : { content: text },
    }),
    completeText: (text) => ({ message: { role: "assistant", content: text } }),
  },
  text: {
    idPrefix: "cmpl-",
    object: "text_completion",
    chunkObject: "text_completion",
    delta: (text) => ({ text }),
    completeText: (text) => ({ text }),
  },
};

function commonFields(metadata: AnswerMetadata, object: string) {
  return {
    id: `${SHAPES[metadata.shape].idPrefix}${metadata.requestId}`,
    object,
    created: metadata.createdS,
    model: metadata.model,
  };
}

function usageFields(usage: EngineUsage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

function sseEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Formats one chunk of a streamed answer as a server-sent event. */
export function formatTextChunk(
  metadata: AnswerMetadata,
  chunk: { readonly text: string; readonly isFirst: boolean },
): string {
  const shape = SHAPES[metadata.shape];
  const choice = { index: 0, ...shape.delta(chunk.text, chunk.isFirst) };
  return sseEvent({
    ...commonFields(metadata, shape.chunkObject),
    choices: [{ ...choice, finish_reason: null }],
  });
}

/**
 * Formats the end of a streamed answer: the finish reason, the usage if given,
 * and `[DONE]`.
 */
export function formatFinalChunks(
  metadata: AnswerMetadata,
  end: { readonly finishReason: string; readonly usage?: EngineUsage },
): string {
  const shape = SHAPES[metadata.shape];
  const fields = commonFields(metadata, shape.chunkObject);
  const body = metadata.shape === "chat" ? { delta: {} } : { text: "" };
  const choice = { index: 0, ...body, finish_reason: end.finishReason };
  const last = sseEvent({ ...fields, choices: [choice] });
  const usage = end.usage === undefined
    ? ""
    : sseEvent({ ...fields, choices: [], usage: usageFields(end.usage) });
  return `${last}${usage}data: [DONE]\n\n`;
}

/** Formats the error event that ends a stream which cannot be completed. */
export function formatErrorEvent(body: unknown): string {
  return `event: error\n${sseEvent(body)}`;
}

/** Builds the JSON body of an answer that is not streamed. */
export function formatCompleteAnswer(
  metadata: AnswerMetadata,
  end: {
    readonly text: string;
    readonly finishReason: string;
    readonly usage: EngineUsage;
  },
): unknown {
  const shape = SHAPES[metadata.shape];
  const choice = { index: 0, ...shape.completeText(end.text), logprobs: null };
  return {
    ...commonFields(metadata, shape.object),
    choices: [{ ...choice, finish_reason: end.finishReason }],
    usage: usageFields(end.usage),
  };
}
