/**
 * Shares the event loop among connections.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { noteDiscarded } from "./memory_reclaimer.ts";
import { holdReading, releaseReading } from "./read_hold.ts";

/** Handling as many takes some ms on the slowest machine. */
const MAX_CHUNKS_IN_TURN = 2_000;

/** A message of Node.js's HTTP parser. */
export type SocketMessage = Readable & { readonly socket: Socket };

/** Held sockets in order; the first is read in the next turn. */
const waiting = new Set<Socket>();

/**
 * Stops reading a message's connection after every 2,000 chunks, until it has
 * its turn. One turn of the event loop reads up to 2 MB of a connection, which
 * may be hundreds of thousands of chunks. Connections that wait are read once
 * each, one in a turn, so that a crowd of them leaves turns to others. What has
 * been read already is handed out, as keeping it would cost more.
 *
 * @example
 * ```ts
 * paceReading(answer);
 * ```
 */
export function paceReading(message: SocketMessage): void {
  const { socket } = message;
  let chunks = 0;
  message.on("data", ({ length }: Buffer) => {
    noteDiscarded(length);
    chunks += 1;
    if (chunks < MAX_CHUNKS_IN_TURN) return;
    chunks = 0;
    waitForTurn(socket);
  });
}

function waitForTurn(socket: Socket): void {
  if (waiting.has(socket)) return;
  holdReading(socket, "turn");
  waiting.add(socket);
  if (waiting.size === 1) setImmediate(giveTurn);
}

function giveTurn(): void {
  const [socket] = waiting;
  if (socket === undefined) return;
  releaseReading(socket, "turn");
  waiting.delete(socket);
  if (waiting.size > 0) setImmediate(giveTurn);
}
