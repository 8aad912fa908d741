/**
 * The body of a request to an engine.
 *
 * @module
 */

import type { AttemptId, RequestId } from "@endivebend/types";
import type { ModelRequest } from "../callers/model_request.ts";
import type { Selection } from "./engine_selector.ts";

/** What goes into the body. */
export interface AttemptBodyInput {
  readonly request: ModelRequest;
  readonly selection: Selection;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly resumeFrom: number;
  readonly generatedText: string;
  readonly priority: number;
}

/** Writes the JSON body. The caller's key has no place in it. */
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

/** An engine whose weights have changed meanwhile refuses the request. */
function weightsField(selection: Selection) {
  const { weightsVersion } = selection.plan.tag;
  return weightsVersion === "" ? {} : { weights_version: weightsVersion };
}

/**
 * Where the engine gets blocks that it lacks when it begins: the source of the
 * plan, or the store, as it may evict a block before it begins.
 */
function importField(selection: Selection) {
  const { importPlan: importFrom } = selection.plan;
  const { importAddress: from } = selection;
  if (from === undefined) return {};
  const blocks = selection.blocks.slice(0, importFrom?.toBlock);
  return blocks.length === 0 ? {} : { kv_import: { from, blocks } };
}
