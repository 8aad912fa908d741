/**
 * Reading a completion request: OpenAI fields and the engine's extensions.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { type ChatMessage, chatPrompt } from "@endivebend/types";
import { HttpFailure } from "../http_messages.ts";

/** Where to import cached blocks from. */
export interface KvImport {
  readonly from: string;
  readonly blocks: readonly string[];
}

/** A completion as the engine runs it. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly isChat: boolean;
  readonly prompt: string;
  readonly model: string;
  /** All tokens of the completion, those before `resumeFrom` included. */
  readonly maxTokens: number;
  readonly isStreamed: boolean;
  readonly includeUsage: boolean;
  readonly priority: number;
  readonly cacheSalt: string;
  /** Chained, salted hashes of the prompt's full blocks. */
  readonly blockHashes: readonly string[];
  readonly resumeFrom: number;
  readonly generatedText: string;
  readonly kvImport: KvImport | undefined;
  /** Only these weights may run the request; any when undefined. */
  readonly weightsVersion: string | undefined;
}

const DEFAULT_MAX_TOKENS = 256;

/** Reads and checks the body of a completion call. */
export function parseCompletionRequest(
  body: Readonly<Record<string, unknown>>,
  options: { readonly isChat: boolean },
): CompletionRequest {
  const maxTokens = body.max_tokens ?? body.max_completion_tokens;
  const streamOptions = body.stream_options as
    | { readonly include_usage?: boolean }
    | undefined;
  return {
    requestId: text(body.request_id, randomUUID()),
    attemptId: text(body.attempt_id, ""),
    isChat: options.isChat,
    prompt: readPrompt(body, options.isChat),
    model: text(body.model, ""),
    maxTokens: count(maxTokens, DEFAULT_MAX_TOKENS),
    isStreamed: body.stream === true,
    includeUsage: streamOptions?.include_usage === true,
    priority: Number(body.priority ?? 0),
    cacheSalt: text(body.cache_salt, ""),
    blockHashes: readStrings(body.block_hashes),
    resumeFrom: count(body.resume_from, 0),
    generatedText: text(body.generated_text, ""),
    kvImport: readKvImport(body.kv_import),
    weightsVersion: typeof body.weights_version === "string"
      ? body.weights_version
      : undefined,
  };
}

function readPrompt(
  body: Readonly<Record<string, unknown>>,
  isChat: boolean,
): string {
  if (isChat && Array.isArray(body.messages)) {
    return chatPrompt(body.messages as ChatMessage[]);
  }
  if (!isChat && typeof body.prompt === "string") return body.prompt;
  throw new HttpFailure(400, "Send prompt as text, or messages for a chat");
}

function readKvImport(value: unknown): KvImport | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { from, blocks } = value as Record<string, unknown>;
  return { from: text(from, ""), blocks: readStrings(blocks) };
}

function readStrings(value: unknown): string[] {
  return Array.isArray(value) ? value.map(String) : [];
}

function text(value: unknown, fallback: string): string {
  return typeof value === "string" ? value : fallback;
}

function count(value: unknown, fallback: number): number {
  if (value === undefined || value === null) return fallback;
  if (Number.isSafeInteger(value) && (value as number) >= 0) {
    return value as number;
  }
  throw new HttpFailure(400, "max_tokens and resume_from are whole numbers");
}
