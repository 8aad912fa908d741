/**
 * Reads request bodies within a bound.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { fail } from "@endivebend/errors";

/**
 * Reads a whole body. Throws `body_too_large` once the bound is exceeded, and
 * `malformed_request` when the caller ends the connection early.
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
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    request.on("data", (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > options.maxBytes) {
        request.pause();
        reject(bodyTooLarge(options.maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    request.on("end", () => resolve(Buffer.concat(chunks)));
    const onBroken = () => {
      const message = "The body ended before its declared length";
      reject(fail("malformed_request", message, { field: "body" }));
    };
    request.on("error", onBroken);
    request.on("aborted", onBroken);
  });
}

function bodyTooLarge(maxBytes: number) {
  const message = `The body is larger than ${maxBytes} bytes`;
  return fail("body_too_large", message, { field: "body" });
}

/** Parses a JSON object. Throws `malformed_request`. */
export function parseJsonObject(body: Buffer): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (cause) {
    const message = "The body is not valid JSON";
    throw fail("malformed_request", message, { field: "body", cause });
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    const message = "The body is not a JSON object";
    throw fail("malformed_request", message, { field: "body" });
  }
  return value as Record<string, unknown>;
}
