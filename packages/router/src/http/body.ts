/**
 * Reads request bodies of bounded size and parses them as JSON.
 *
 * @module
 */

import { isUtf8 } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { createError } from "@endivebend/errors";
import { findInvalidHeaderName } from "@endivebend/http-syntax";
import { connectionOf } from "./connections.ts";
import { exceedsDepth } from "./json_depth.ts";

/** Maximum nesting of a JSON body; valid requests and changes need far less. */
const MAX_JSON_DEPTH = 64;

/**
 * Reads a whole body. Throws `body_too_large` as soon as more than `maxBytes`
 * are declared or received, and `malformed_request` when the connection ends
 * before the body is complete or a trailer has an invalid name.
 *
 * @example
 * ```ts
 * const body = await readBody(request, { maxBytes: 1_000_000 });
 * ```
 */
export function readBody(
  request: IncomingMessage,
  options: { readonly maxBytes: number },
): Promise<Buffer> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > options.maxBytes) {
    return Promise.reject(bodyTooLarge(options.maxBytes));
  }
  return new Promise((resolve, reject) => {
    let chunks: Buffer[] = [];
    let receivedBytes = 0;
    const onData = (chunk: Buffer) => {
      receivedBytes += chunk.length;
      chunks.push(chunk);
      if (receivedBytes <= options.maxBytes) return;
      chunks = [];
      request.off("data", onData);
      request.pause();
      reject(bodyTooLarge(options.maxBytes));
    };
    request.on("data", onData);
    request.on("end", () => {
      if (findInvalidHeaderName(request.rawTrailers) === undefined) {
        return resolve(Buffer.concat(chunks));
      }
      // What follows may be no request, so it must not run.
      connectionOf(request.socket).isClosing = true;
      const message = "The request has a trailer whose name is not a token";
      reject(createError("malformed_request", message, { field: "trailers" }));
    });
    const onIncomplete = () => {
      const message = "The body was incomplete when the connection ended";
      reject(createError("malformed_request", message, { field: "body" }));
    };
    request.on("error", onIncomplete);
    request.on("aborted", onIncomplete);
  });
}

function bodyTooLarge(maxBytes: number) {
  const message = `The body is larger than ${maxBytes} bytes`;
  return createError("body_too_large", message, { field: "body" });
}

function malformedBody(message: string, cause?: unknown) {
  return createError("malformed_request", message, { field: "body", cause });
}

/**
 * Parses a body as a JSON object. Throws `malformed_request` for any other
 * body.
 */
export function parseJsonObject(body: Buffer): Record<string, unknown> {
  // Decoding replaces invalid bytes, which would make different bodies equal.
  if (!isUtf8(body)) throw malformedBody("The body is not valid UTF-8");
  if (exceedsDepth(body, MAX_JSON_DEPTH)) {
    const message = `The body is nested deeper than ${MAX_JSON_DEPTH} levels`;
    throw malformedBody(message);
  }
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (cause) {
    throw malformedBody("The body is not valid JSON", cause);
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw malformedBody("The body is not a JSON object");
  }
  return value as Record<string, unknown>;
}
