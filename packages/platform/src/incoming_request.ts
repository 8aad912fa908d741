/**
 * Reads what requests of clients and of other daemons have in common.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import {
  ByteCollector,
  type MemoryBudget,
  paceReading,
} from "@endivebend/byte-buffers";
import type { ModelWork } from "@endivebend/request-path";
import { brandId, type ModelName } from "@endivebend/types";
import { boundedName } from "./bounded_names.ts";
import { discardBody } from "./lingering_close.ts";
import { parsePrompt } from "./prompt_header.ts";
import type { UnfinishedBodies, UnfinishedBody } from "./unfinished_bodies.ts";
import { HEADERS } from "./wire_names.ts";

/** Engines hold some 100,000 tokens; counts of more digits are none. */
const TOKEN_COUNTS = /^\s*(\d{1,9})(?:\.\d*)?\s*,\s*(\d{1,9})(?:\.\d*)?\s*$/;

/** With a small head, one of each connection has room in the memory budget. */
const SMALL_BODY_BYTES = 2_048;

/** Limits on a request's body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Holds the body's memory until `isOver` resolves. */
  readonly memory: MemoryBudget;
  readonly isOver: Promise<unknown>;
  /**
   * A body of which nothing comes for as long, and at most for twice as long,
   * is given up.
   */
  readonly idleTimeoutMs: number;
  /** Those that have stopped give way to this one. */
  readonly unfinished: UnfinishedBodies;
}

/** Why a request has no body. */
export type MissingBody =
  | "gone"
  | "head_too_long"
  | "too_large"
  | "no_memory"
  | "stalled";

/**
 * Reads the body, or tells why there is none; of a body that is announced as too
 * long nothing is awaited. Never rejects.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, memory, isOver, idleTimeoutMs, unfinished }: BodyLimits,
): Promise<Buffer | MissingBody> {
  if (isTooLarge(request, maxBytes)) {
    discardBody(request);
    return Promise.resolve("too_large");
  }
  return new Promise((resolve) => {
    const body = new ByteCollector({
      maxBytes,
      budget: memory,
      use: (capacityBytes) =>
        capacityBytes <= SMALL_BODY_BYTES ? "small_request" : "request",
    });
    let isGivenUp = false;
    let isProgressing = false;
    // One timer for all chunks: setting one for each of them would cost more
    // than the chunk.
    const timer = setInterval(() => {
      if (isProgressing) {
        isProgressing = false;
        return;
      }
      // After a pause of the process its timers run before its sockets are
      // looked at, and more of the body may have come.
      setImmediate(() => {
        if (!isProgressing && !request.readableEnded) giveUp("stalled");
      });
    }, idleTimeoutMs);
    const entry: UnfinishedBody = {
      get heldBytes() {
        return body.length;
      },
      giveUp: () => giveUp("stalled"),
    };
    const stopWaiting = () => {
      clearInterval(timer);
      unfinished.forget(entry);
    };
    const giveUp = (reason: MissingBody) => {
      stopWaiting();
      isGivenUp = true;
      body.clear();
      resolve(reason);
    };
    request.on("data", (chunk: Buffer) => {
      isProgressing = true;
      if (isGivenUp) return;
      unfinished.noteProgress(entry);
      while (!body.append(chunk)) {
        const isTooLarge = body.length + chunk.length > maxBytes;
        if (isTooLarge) return giveUp("too_large");
        if (!unfinished.giveUpStopped(SMALL_BODY_BYTES)) {
          return giveUp("no_memory");
        }
      }
    });
    paceReading(request);
    request.on("end", () => {
      stopWaiting();
      resolve(body.bytes);
    });
    request.on("close", () => {
      stopWaiting();
      resolve("gone");
    });
    void isOver.then(() => giveUp("gone"));
  });
}

/** Whether the request announces a body of more bytes. */
export function isTooLarge(
  { headers }: IncomingMessage,
  maxBytes: number,
): boolean {
  return Number(headers["content-length"] ?? 0) > maxBytes;
}

/** Whether the request announces a body, also one of unknown length. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
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

/**
 * The work that the request asks of a model; undefined for a plain call. A
 * request may leave out its token counts; its prompt then tells their sum.
 */
export function parseWork(request: IncomingMessage): ModelWork | undefined {
  const model = singleHeader(request, HEADERS.model);
  if (model === undefined) return undefined;
  const tokens = parseTokens(singleHeader(request, HEADERS.tokens));
  const prompt = parsePrompt(singleHeader(request, HEADERS.prompt));
  const listedTokens = prompt.reduce((sum, segment) => sum + segment.tokens, 0);
  return {
    model: brandId<ModelName>(boundedName(model)),
    promptTokens: tokens?.promptTokens ?? listedTokens,
    maxOutputTokens: tokens?.outputTokens ?? 0,
    prompt,
  };
}
