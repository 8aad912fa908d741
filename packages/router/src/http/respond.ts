/**
 * Writes answers and refusals.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { type Refusal, toRefusal } from "@endivebend/errors";
import type { RequestId } from "@endivebend/types";
import { connectionOf } from "./connections.ts";

/**
 * How long the rest of a body is read and dropped after its refusal. A
 * connection that is closed with unread bytes is reset, and the caller could
 * lose the refusal.
 */
const DISCARD_TIMEOUT_MS = 1000;

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
  const headers = { ...options.headers, ...refusal.headers };
  if (response.req.complete) {
    const { status, body } = refusal;
    writeJson(response, { status, body, headers });
    return;
  }
  writeEarlyRefusal(response, { ...refusal, headers });
}

/** Refuses a request whose body has not been read, and ends the connection. */
function writeEarlyRefusal(response: ServerResponse, refusal: Refusal): void {
  const { req: request } = response;
  // Requests behind this one would get no answer, so they may not run.
  connectionOf(request.socket).isClosing = true;
  const text = JSON.stringify(refusal.body);
  response.writeHead(refusal.status, {
    ...refusal.headers,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    connection: "close",
  });
  response.write(text);
  const timer = setTimeout(() => response.end(), DISCARD_TIMEOUT_MS);
  timer.unref();
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  request.once("end", end);
  request.once("close", end);
  request.on("error", end);
  request.resume();
}
