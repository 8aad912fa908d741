/**
 * Shares the event loop among connections.
 *
 * @module
 */

import type { Readable } from "node:stream";

/** Handling as many takes some ms on the slowest machine. */
const MAX_CHUNKS_IN_TURN = 2_000;

/**
 * Pauses a message for a turn of the event loop after every 2,000 chunks. One
 * turn reads up to 2 MB of a connection, which may be hundreds of thousands of
 * chunks. `mayResume` is asked before it goes on.
 *
 * @example
 * ```ts
 * paceReading(answer, () => !isPaused);
 * ```
 */
export function paceReading(
  message: Readable,
  mayResume: () => boolean = () => true,
): void {
  let chunks = 0;
  message.on("data", () => {
    chunks += 1;
    if (chunks < MAX_CHUNKS_IN_TURN) return;
    chunks = 0;
    message.pause();
    setImmediate(() => {
      if (mayResume()) message.resume();
    });
  });
}
