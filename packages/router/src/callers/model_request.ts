/**
 * Parses chat and text completion requests into one type.
 *
 * @module
 */

import { createError } from "@endivebend/errors";
import {
  brandId,
  type ChatMessage,
  chatPrompt,
  countTokens,
  type ModelName,
} from "@endivebend/types";
import { readSamplingFields } from "./sampling_fields.ts";

/** The format of request and answer: chat or text completion. */
export type ModelRequestShape = "chat" | "text";

/** A validated model request. */
export interface ModelRequest {
  readonly shape: ModelRequestShape;
  readonly model: ModelName;
  readonly promptText: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  /** The prompt as it is sent to the engine. */
  readonly engineInput:
    | { readonly prompt: string }
    | { readonly messages: readonly ChatMessage[] };
  /** Sampling fields, passed to the engine unchanged. */
  readonly passThrough: Readonly<Record<string, unknown>>;
}

const MAX_TOKENS_LIMIT = 1_000_000;
const LONE_SURROGATE = /\p{Surrogate}/u;
/** Refusals quote the model name, so its length is bounded. */
const MAX_NAME_CHARS = 256;

type JsonObject = Readonly<Record<string, unknown>>;

function malformedField(field: string, message: string) {
  return createError("malformed_request", message, { field });
}

function readModel(body: JsonObject): ModelName {
  const model = body["model"];
  if (typeof model !== "string" || model === "") {
    throw malformedField("model", "model must be a non-empty string");
  }
  if (model.length > MAX_NAME_CHARS) {
    const message = `model must have at most ${MAX_NAME_CHARS} characters`;
    throw malformedField("model", message);
  }
  return brandId<ModelName>(model);
}

function readMaxTokens(body: JsonObject, defaultMaxTokens: number): number {
  const value = body["max_completion_tokens"] ?? body["max_tokens"];
  if (value === undefined || value === null) return defaultMaxTokens;
  const isValid = Number.isSafeInteger(value) && (value as number) >= 1 &&
    (value as number) <= MAX_TOKENS_LIMIT;
  if (isValid) return value as number;
  const message =
    `max_tokens must be a whole number from 1 to ${MAX_TOKENS_LIMIT}`;
  throw malformedField("max_tokens", message);
}

function readBoolean(body: JsonObject, field: string): boolean {
  const value = body[field];
  if (value === undefined || value === null) return false;
  if (typeof value === "boolean") return value;
  throw malformedField(field, `${field} must be true or false`);
}

function readIncludeUsage(body: JsonObject): boolean {
  const options = body["stream_options"];
  if (options === undefined || options === null) return false;
  if (typeof options !== "object") {
    throw malformedField("stream_options", "stream_options must be an object");
  }
  return readBoolean(options as JsonObject, "include_usage");
}

function readTextPrompt(body: JsonObject): string {
  const prompt = body["prompt"];
  if (typeof prompt === "string") return prompt;
  const isSingle = Array.isArray(prompt) && prompt.length === 1 &&
    typeof prompt[0] === "string";
  if (isSingle) return prompt[0] as string;
  throw malformedField("prompt", "prompt must be one string");
}

function readContent(content: unknown, field: string): string {
  if (typeof content === "string") return content;
  if (!Array.isArray(content)) {
    throw malformedField(
      field,
      `${field} must be a string or a list of text parts`,
    );
  }
  const parts = content.map((part: unknown) => {
    const { type, text } = (part ?? {}) as JsonObject;
    if (type === "text" && typeof text === "string") return text;
    throw malformedField(field, `${field} may contain only parts of type text`);
  });
  return parts.join("");
}

function readMessages(body: JsonObject): ChatMessage[] {
  const messages = body["messages"];
  if (!Array.isArray(messages) || messages.length === 0) {
    throw malformedField(
      "messages",
      "messages must be a non-empty list",
    );
  }
  return messages.map((message: unknown, index) => {
    const { role, content } = (message ?? {}) as JsonObject;
    if (typeof role !== "string" || role === "") {
      const field = `messages[${index}].role`;
      throw malformedField(field, `${field} must be a non-empty string`);
    }
    return {
      role,
      content: readContent(content, `messages[${index}].content`),
    };
  });
}

interface PromptInput {
  readonly promptText: string;
  readonly engineInput: ModelRequest["engineInput"];
}

const PROMPT_READERS: Record<
  ModelRequestShape,
  (body: JsonObject) => PromptInput
> = {
  chat(body) {
    const messages = readMessages(body);
    return { promptText: chatPrompt(messages), engineInput: { messages } };
  },
  text(body) {
    const prompt = readTextPrompt(body);
    return { promptText: prompt, engineInput: { prompt } };
  },
};

/**
 * Validates the body of a model request. Throws `malformed_request` with the
 * invalid field.
 *
 * @example
 * ```ts
 * const request = readModelRequest(body, { shape: "chat", defaultMaxTokens: 256 });
 * ```
 */
export function readModelRequest(
  body: JsonObject,
  options: {
    readonly shape: ModelRequestShape;
    readonly defaultMaxTokens: number;
  },
): ModelRequest {
  const count = body["n"];
  if (count !== undefined && count !== null && count !== 1) {
    throw malformedField(
      "n",
      "n must be 1; send one request per answer",
    );
  }
  const { promptText, engineInput } = PROMPT_READERS[options.shape](body);
  // All lone surrogates are encoded as the same UTF-8 bytes, so two different
  // prompts would share the same cached blocks.
  if (LONE_SURROGATE.test(promptText)) {
    const field = options.shape === "chat" ? "messages" : "prompt";
    throw malformedField(field, `${field} contains half of a surrogate pair`);
  }
  return {
    shape: options.shape,
    model: readModel(body),
    promptText,
    engineInput,
    promptTokens: countTokens(promptText),
    maxTokens: readMaxTokens(body, options.defaultMaxTokens),
    stream: readBoolean(body, "stream"),
    includeUsage: readIncludeUsage(body),
    passThrough: readSamplingFields(body),
  };
}
