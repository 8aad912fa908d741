/**
 * Bounds what the heads of requests take. The parser accepts 64 KiB, a client
 * may send 32 requests on a connection without waiting, and each head stays
 * until its request has ended.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { MemoryBudget } from "@endivebend/byte-buffers";

/** The head as it came, as it is sent on, and in the buffer of its socket. */
const HEAD_COPIES = 3;
/** Heads of ordinary requests are shorter. */
const SMALL_HEAD_BYTES = 1_024;
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
 * Takes the memory of a request's head; false when there is none.
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
  const bytes = headBytes * HEAD_COPIES;
  const isSmall = headBytes <= SMALL_HEAD_BYTES && !isWaiting;
  if (!memory.tryTake(isSmall ? "small_request" : "request", bytes)) {
    return false;
  }
  void isOver.then(() => memory.release(bytes));
  return true;
}
