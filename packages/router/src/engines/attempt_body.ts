/**
 * Encodes the body of a request to an engine.
 *
 * @module
 */

import type { AttemptId, RequestId } from "@endivebend/types";
import type { ModelRequest } from "../callers/model_request.ts";
import type { Selection } from "./engine_selector.ts";

/** Input of {@link encodeAttemptBody}. */
export interface AttemptBodyInput {
  readonly request: ModelRequest;
  readonly selection: Selection;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  /** Index of the first token to generate; 0 for a new stream. */
  readonly resumeFrom: number;
  /** Text of the tokens before `resumeFrom`. */
  readonly generatedText: string;
  readonly priority: number;
}

/**
 * Encodes the JSON body. The caller's key must never be part of it.
 */
export function encodeAttemptBody(input: AttemptBodyInput): string {
  const { request, selection } = input;
  const resume = input.resumeFrom === 0 ? {} : {
    resume_from: input.resumeFrom,
    generated_text: input.generatedText,
  };
  return JSON.stringify({
    ...request.passThrough,
    ...request.engineInput,
    model: request.model,
    max_tokens: request.maxTokens,
    stream: true,
    stream_options: { include_usage: true },
    request_id: input.requestId,
    attempt_id: input.attemptId,
    cache_salt: selection.salt,
    block_hashes: selection.blocks,
    priority: input.priority,
    ...weightsField(selection),
    ...importField(selection),
    ...resume,
  });
}

/** The engine refuses the request when its weights have changed since. */
function weightsField(selection: Selection) {
  const { weightsVersion } = selection.plan.tag;
  return weightsVersion === "" ? {} : { weights_version: weightsVersion };
}

/**
 * Names the source from which the engine imports the blocks that it lacks when
 * it starts the prefill: the source of the plan, or else a cache store. The
 * store is named even when the engine holds all blocks, because it may evict
 * one before it starts.
 */
function importField(selection: Selection) {
  const { importPlan: importFrom } = selection.plan;
  const { importAddress: from } = selection;
  if (from === undefined) return {};
  const blocks = selection.blocks.slice(0, importFrom?.toBlock);
  return blocks.length === 0 ? {} : { kv_import: { from, blocks } };
}
