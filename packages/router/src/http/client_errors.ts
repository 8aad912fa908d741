/**
 * Answers requests that the Node.js HTTP server rejects because they are
 * malformed, oversized or slow.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { createError, type ErrorCode, toRefusal } from "@endivebend/errors";
import { brandId, type RequestId } from "@endivebend/types";
import { connectionOf, type OpenRequest } from "./connections.ts";

interface RefusalReason {
  readonly code: ErrorCode;
  readonly message: string;
}

/** Error codes of the HTTP parser and of the server's timeouts. */
const HTTP_ERROR_PATTERN = /^(?:HPE_|ERR_HTTP_)/;

const MALFORMED_REASON: RefusalReason = {
  code: "malformed_request",
  message: "The request is not valid HTTP/1.1",
};

const REASON_BY_CODE: Readonly<Record<string, RefusalReason>> = {
  HPE_HEADER_OVERFLOW: {
    code: "headers_too_large",
    message: "The headers of the request are too large",
  },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: {
    code: "body_too_large",
    message: "The chunk extensions of the body are too large",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    code: "request_timeout",
    message: "The request did not arrive completely in time",
  },
};

/** Writes a refusal directly to a socket that has no response, and ends it. */
export function writeRawRefusal(socket: Socket, reason: RefusalReason): void {
  const requestId = brandId<RequestId>(randomUUID());
  const caught = createError(reason.code, reason.message);
  const { status, headers, body } = toRefusal(caught, requestId);
  const text = JSON.stringify(body);
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(text)}`,
    "connection: close",
  ];
  socket.end(`${lines.join("\r\n")}\r\n\r\n${text}`, () => socket.destroy());
}

function isAnswerStarted({ response }: OpenRequest): boolean {
  return response.headersSent;
}

function refuseOrDestroy(socket: Socket, reason: RefusalReason): void {
  const { open } = connectionOf(socket);
  // After part of an answer, the refusal would be read as the rest of it.
  const canWrite = socket.writable && ![...open].some(isAnswerStarted);
  if (canWrite) writeRawRefusal(socket, reason);
  else socket.destroy();
}

/**
 * Handles a `clientError` event by refusing the request that caused it. Earlier
 * requests on the same connection are answered first. Otherwise the refusal
 * would be taken for the answer to one of them and falsely say that it did not
 * run.
 *
 * @example
 * ```ts
 * server.on("clientError", (error, socket) => answerClientError(error, { socket }));
 * ```
 */
export function answerClientError(
  error: Error & { readonly code?: string },
  options: {
    readonly socket: Socket;
    readonly onRefusal?: ((reason: ErrorCode) => void) | undefined;
  },
): void {
  const { socket, onRefusal } = options;
  const connection = connectionOf(socket);
  if (connection.hasParserFailed) return;
  connection.hasParserFailed = true;
  connection.isClosing = true;
  // All other errors are connection errors, such as a failed handshake.
  const isHttpError = HTTP_ERROR_PATTERN.test(error.code ?? "");
  if (!isHttpError || !socket.writable) {
    socket.destroy();
    return;
  }
  const reason = REASON_BY_CODE[error.code ?? ""] ?? MALFORMED_REASON;
  onRefusal?.(reason.code);
  const earlierRequests = [...connection.open].filter(({ request }) =>
    request.complete
  );
  if (earlierRequests.length === 0) return refuseOrDestroy(socket, reason);
  socket.pause();
  let remaining = earlierRequests.length;
  for (const request of earlierRequests) {
    request.onEnded(() => {
      remaining--;
      if (remaining === 0) refuseOrDestroy(socket, reason);
    });
  }
}
