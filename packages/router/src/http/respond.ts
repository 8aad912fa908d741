/**
 * Writes JSON answers and refusals.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { type Refusal, toRefusal } from "@endivebend/errors";
import type { RequestId } from "@endivebend/types";
import { connectionOf } from "./connections.ts";

/**
 * Time during which the rest of a refused body is read and discarded. Closing a
 * connection with unread bytes resets it, and the client could lose the
 * refusal.
 */
const DISCARD_TIMEOUT_MS = 1000;

/** Writes a JSON answer and ends the response. */
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
 * Writes a refusal. If the answer has already been started, destroys the
 * connection instead, so that a partial answer is never taken for a complete
 * one.
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
  const { isClosing } = connectionOf(response.req.socket);
  const headers = {
    ...options.headers,
    ...refusal.headers,
    ...(isClosing ? { connection: "close" } : {}),
  };
  if (response.req.complete) {
    const { status, body } = refusal;
    writeJson(response, { status, body, headers });
    return;
  }
  writeEarlyRefusal(response, { ...refusal, headers });
}

/**
 * Refuses a request before its body has been read, and closes the connection.
 */
function writeEarlyRefusal(response: ServerResponse, refusal: Refusal): void {
  const { req: request } = response;
  // Later requests on the connection would get no answer, so they must not run.
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
