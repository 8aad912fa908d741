/**
 * Writing a completion in OpenAI's shapes, streamed or whole.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { sendJson } from "../http_messages.ts";
import type { ChunkFaults, ChunkTarget } from "./chunk_faults.ts";
import type { CompletionRequest } from "./completion_request.ts";

/** Token counts of a completion. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

const FINISH_REASON = "length";

/** The answer to one completion call. */
export class CompletionOutput implements ChunkTarget {
  readonly #request: CompletionRequest;
  readonly #response: ServerResponse;
  readonly #faults: ChunkFaults;
  readonly #createdSeconds = Math.floor(Date.now() / 1000);
  #text = "";

  constructor(
    request: CompletionRequest,
    options: {
      readonly response: ServerResponse;
      readonly faults: ChunkFaults;
    },
  ) {
    this.#request = request;
    this.#response = options.response;
    this.#faults = options.faults;
  }

  /** True while the reader takes no more bytes. */
  isBlocked(): boolean {
    return this.#response.writableNeedDrain;
  }

  /** Sends the headers of a streamed answer. */
  begin(weightsVersion: string): void {
    if (this.#response.destroyed) return;
    this.#response.setHeader("x-weights-version", weightsVersion);
    if (!this.#request.isStreamed) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
    });
    this.#response.flushHeaders();
  }

  /** Refuses a request that asked for other weights than those in place. */
  refuseWeights(weightsVersion: string): void {
    this.#response.setHeader("x-weights-version", weightsVersion);
    sendJson(this.#response, 409, {
      body: { error: { message: "Other weights are loaded", code: "weights" } },
    });
  }

  token(index: number, text: string): void {
    if (!this.#request.isStreamed) {
      this.#text += text;
      return;
    }
    const isFirst = index === 0;
    const choice = this.#chunkChoice(text, { isFirst, finishReason: null });
    const chunk = this.#chunk(index, { choices: [choice] });
    this.#faults.deliver(this, chunk);
  }

  end(usage: Usage): void {
    if (this.#request.isStreamed) this.#endStream(usage);
    else sendJson(this.#response, 200, { body: this.#whole(usage) });
  }

  abort(): void {
    this.#response.destroy();
  }

  write(chunk: string): void {
    if (!this.#response.destroyed) this.#response.write(chunk);
  }

  #endStream(usage: Usage): void {
    this.#faults.flush(this);
    const { maxTokens, includeUsage } = this.#request;
    const last = this.#chunkChoice("", {
      isFirst: false,
      finishReason: FINISH_REASON,
    });
    this.write(this.#chunk(maxTokens, { choices: [last] }));
    if (includeUsage) {
      const fields = { choices: [], usage: usageFields(usage) };
      this.write(this.#chunk(maxTokens, fields));
    }
    this.write("data: [DONE]\n\n");
    this.#response.end();
  }

  #chunkChoice(
    text: string,
    options: {
      readonly isFirst: boolean;
      readonly finishReason: string | null;
    },
  ) {
    const common = {
      index: 0,
      logprobs: null,
      finish_reason: options.finishReason,
    };
    if (!this.#request.isChat) return { ...common, text };
    const role = options.isFirst ? { role: "assistant" } : {};
    const content = options.finishReason === null ? { content: text } : {};
    return { ...common, delta: { ...role, ...content } };
  }

  #chunk(tokenIndex: number, fields: Record<string, unknown>): string {
    const object = this.#request.isChat
      ? "chat.completion.chunk"
      : "text_completion";
    const body = {
      ...this.#commonFields(object),
      token_index: tokenIndex,
      ...fields,
    };
    return `data: ${JSON.stringify(body)}\n\n`;
  }

  #whole(usage: Usage) {
    const { isChat } = this.#request;
    const common = { index: 0, logprobs: null, finish_reason: FINISH_REASON };
    const choice = isChat
      ? { ...common, message: { role: "assistant", content: this.#text } }
      : { ...common, text: this.#text };
    return {
      ...this.#commonFields(isChat ? "chat.completion" : "text_completion"),
      choices: [choice],
      usage: usageFields(usage),
    };
  }

  #commonFields(object: string) {
    const { requestId, attemptId, isChat, model } = this.#request;
    return {
      id: `${isChat ? "chatcmpl" : "cmpl"}-${requestId}`,
      object,
      created: this.#createdSeconds,
      model,
      request_id: requestId,
      attempt_id: attemptId,
    };
  }
}

function usageFields(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    cached_tokens: usage.cachedTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}
