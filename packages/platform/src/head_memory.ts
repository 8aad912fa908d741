/**
 * Bounds what requests take beside their bodies. The parser accepts heads of 64
 * KiB, a client may send 32 requests on a connection without waiting, and each
 * request stays with its head until it has ended.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { type MemoryBudget, noteDiscarded } from "@endivebend/byte-buffers";

/** The head as it came, as it is sent on, and in the buffer of its socket. */
const HEAD_COPIES = 3;
/** Heads of ordinary requests are shorter. */
const SMALL_HEAD_BYTES = 1_024;
/** What Node.js and the daemon hold of a request beside the bytes of its head. */
const REQUEST_BYTES = 8_192;
/** What a header line takes beside its bytes. */
const LINE_BYTES = 128;
/** Colon, space and line end of a header line. */
const LINE_SYNTAX_BYTES = 4;

/** Length of the header lines in bytes, without the request line. */
function fieldBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce(
    (bytes, text) => bytes + text.length + LINE_SYNTAX_BYTES / 2,
    0,
  );
}

/**
 * Whether the header lines or the request target are longer than the limit in
 * bytes.
 *
 * @example
 * ```ts
 * if (isHeadTooLong(request, 16_384)) refuse(431);
 * ```
 */
export function isHeadTooLong(
  request: IncomingMessage,
  maxBytes: number,
): boolean {
  return fieldBytes(request) > maxBytes ||
    (request.url ?? "").length > maxBytes;
}

/** Where a head's memory comes from. */
export interface HeadMemory {
  readonly memory: MemoryBudget;
  /** Resolves when the request is over, and its memory is free again. */
  readonly isOver: Promise<unknown>;
  /** Whether earlier requests of the connection run, for which it waits. */
  readonly isWaiting: boolean;
}

/**
 * Takes the memory of a request's head; false when there is none. The rest of a
 * request counts only while it waits for others on its connection: the bound on
 * connections covers one request of each.
 *
 * @example
 * ```ts
 * if (!takeHead(request, { memory, isOver, isWaiting: false })) refuse(503);
 * ```
 */
export function takeHead(
  request: IncomingMessage,
  { memory, isOver, isWaiting }: HeadMemory,
): boolean {
  const headBytes = fieldBytes(request) + (request.url ?? "").length;
  const headCopiesBytes = headBytes * HEAD_COPIES;
  const restBytes = REQUEST_BYTES + LINE_BYTES * request.rawHeaders.length / 2;
  const takenBytes = headCopiesBytes + (isWaiting ? restBytes : 0);
  const isSmall = headBytes <= SMALL_HEAD_BYTES && !isWaiting;
  const hasRoom = memory.tryTake(
    isSmall ? "small_request" : "request",
    takenBytes,
  );
  if (!hasRoom) {
    noteDiscarded(headCopiesBytes + restBytes);
    return false;
  }
  void isOver.then(() => {
    memory.release(takenBytes);
    noteDiscarded(headCopiesBytes + restBytes);
  });
  return true;
}
