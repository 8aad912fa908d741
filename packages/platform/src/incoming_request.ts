/**
 * Reads what requests of clients and of other daemons have in common.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { ByteCollector } from "@endivebend/byte-buffers";
import type { ModelWork } from "@endivebend/request-path";
import { brandId, type ModelName } from "@endivebend/types";
import { boundedName, parsePrompt } from "./prompt_header.ts";
import { HEADERS } from "./wire_names.ts";

/** Engines hold some 100,000 tokens; counts of more digits are none. */
const TOKEN_COUNTS = /^\s*(\d{1,9})(?:\.\d*)?\s*,\s*(\d{1,9})(?:\.\d*)?\s*$/;

/** Reads the body, or tells why there is none. Never rejects. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | "gone" | "too_large"> {
  return new Promise((resolve) => {
    const body = new ByteCollector({ maxBytes });
    let isTooLarge = false;
    request.on("data", (chunk: Buffer) => {
      if (isTooLarge || body.append(chunk)) return;
      isTooLarge = true;
      body.clear();
      resolve("too_large");
    });
    request.on("end", () => resolve(body.take()));
    request.on("close", () => resolve("gone"));
  });
}

/** The header's value; undefined when it is absent or came several times. */
export function singleHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" ? value : undefined;
}

/**
 * Parses `PROMPT_TOKENS,MAX_OUTPUT_TOKENS`; undefined where a count is none. A
 * caller's counts are charged to its team, over the whole fleet.
 */
export function parseTokens(header: string | undefined) {
  const match = TOKEN_COUNTS.exec(header ?? "");
  if (match === null) return undefined;
  const [promptTokens, outputTokens] = match.slice(1).map(Number);
  return {
    promptTokens: promptTokens!,
    outputTokens: outputTokens!,
    total: promptTokens! + outputTokens!,
  };
}

/** The work that the request asks of a model; undefined for a plain call. */
export function parseWork(request: IncomingMessage): ModelWork | undefined {
  const model = singleHeader(request, HEADERS.model);
  const tokens = parseTokens(singleHeader(request, HEADERS.tokens));
  if (model === undefined || tokens === undefined) return undefined;
  return {
    model: brandId<ModelName>(boundedName(model)),
    promptTokens: tokens.promptTokens,
    maxOutputTokens: tokens.outputTokens,
    prompt: parsePrompt(singleHeader(request, HEADERS.prompt)),
  };
}
