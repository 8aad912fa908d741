/**
 * Closes connections whose requests are refused before their bodies have come.
 * Clients that send on would otherwise keep the daemon reading what nobody
 * needs. A connection that is closed with unread bytes is reset, and its client
 * may lose the refusal, so it is half-closed and read for some time (RFC 9112,
 * section 9.6).
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { paceReading } from "@endivebend/byte-buffers";

/** A client in time has read the refusal after some round trips. */
const LINGER_MS = 1_000;
/** What a client may send on while it does not know of the refusal. */
const MAX_DISCARDED_BYTES = 1_048_576;

/** Value of `bytesRead` at which a lingering connection is destroyed. */
const maxBytesRead = new WeakMap<Socket, number>();

/** Whether the connection only waits for its client to read a refusal. */
export function isLingering(socket: Socket): boolean {
  return maxBytesRead.has(socket);
}

/**
 * Makes the response the last one of its connection, which is closed after it.
 * Call it before the response's head is written.
 *
 * @example
 * ```ts
 * closeAfter(request, response);
 * response.writeHead(413, { "Content-Length": 0 }).end();
 * ```
 */
export function closeAfter(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("Connection", "close");
  const { socket } = request;
  if (request.complete || isLingering(socket)) return;
  maxBytesRead.set(socket, socket.bytesRead + MAX_DISCARDED_BYTES);
  // Node.js calls this after the last response of a connection.
  socket.destroySoon = () => {
    socket.end();
  };
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
  discardBody(request);
}

/** Drops what comes of a body that is not needed. */
export function discardBody(request: IncomingMessage): void {
  const { socket } = request;
  request.on("data", () => {
    if (socket.bytesRead > (maxBytesRead.get(socket) ?? Infinity)) {
      socket.destroy();
    }
  });
  paceReading(request);
}
