/**
 * Joins the chunks that arrive together.
 *
 * @module
 */

import { ByteCollector } from "./byte_collector.ts";

/**
 * Hands on as one chunk what one read of a socket brings. A server may send a
 * message in chunks of one byte, and one read then brings thousands.
 *
 * @example
 * ```ts
 * const batch = new ChunkBatch((bytes) => relay(bytes));
 * answer.on("data", (chunk) => batch.add(chunk));
 * answer.on("end", () => batch.flush());
 * ```
 */
export class ChunkBatch {
  readonly #deliver: (bytes: Buffer) => void;
  #first: Buffer | undefined;
  readonly #joined = new ByteCollector({ maxBytes: Number.MAX_SAFE_INTEGER });

  constructor(deliver: (bytes: Buffer) => void) {
    this.#deliver = deliver;
  }

  /** Adds a chunk, which is delivered when the present event is handled. */
  add(chunk: Buffer): void {
    if (this.#first === undefined) {
      this.#first = chunk;
      process.nextTick(() => this.flush());
      return;
    }
    if (this.#joined.length === 0) this.#joined.append(this.#first);
    this.#joined.append(chunk);
  }

  /** Delivers what has been added; does nothing when there is nothing. */
  flush(): void {
    const first = this.#first;
    if (first === undefined) return;
    this.#first = undefined;
    this.#deliver(this.#joined.length === 0 ? first : this.#joined.take());
  }
}
