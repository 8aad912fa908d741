/**
 * Writes answers and refusals.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { toRefusal } from "@endivebend/errors";
import type { RequestId } from "@endivebend/types";

/** Writes a JSON answer. */
export function writeJson(
  response: ServerResponse,
  answer: {
    readonly status: number;
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  const text = JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    ...answer.headers,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * Writes a refusal, or breaks the connection off when an answer has begun, so
 * that a part is never taken for the whole.
 */
export function writeRefusal(
  response: ServerResponse,
  options: {
    readonly caught: unknown;
    readonly requestId: RequestId;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const refusal = toRefusal(options.caught, options.requestId);
  // The rest of an unread body would be taken for the next request.
  const closing: Record<string, string> = response.req.complete
    ? {}
    : { connection: "close" };
  const headers = { ...options.headers, ...refusal.headers, ...closing };
  writeJson(response, { status: refusal.status, body: refusal.body, headers });
}
