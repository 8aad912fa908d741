/**
 * Frees buffers that are no longer used before their bytes add up. A buffer's
 * bytes lie outside of V8's heap, which holds some 100 bytes for it: many MB of
 * short-lived buffers don't fill the young generation, and V8 waits until 64 MiB
 * have come since the last full collection. A process of 178 MB that receives at
 * full speed has no room for that.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";

/** Bytes of discarded buffers that may wait for a minor collection. */
const MINOR_COLLECTION_BYTES = 4_194_304;
/**
 * Growth after which all buffers are collected: those that have outlived two
 * minor collections, such as answers that were read slowly, are freed by nothing
 * else.
 */
const FULL_COLLECTION_BYTES = 8_388_608;

/** The collector of the process, and the bytes that buffers take of it. */
export interface BufferCollector {
  collectYoung(): void;
  collectAll(): void;
  /** Bytes of all buffers, those included that are no longer used. */
  bufferBytes(): number;
}

/**
 * Collects after every 4 MiB of discarded buffers.
 *
 * @example
 * ```ts
 * const reclaimer = new BufferReclaimer(collector);
 * socket.on("data", (chunk) => reclaimer.noteDiscarded(chunk.length));
 * ```
 */
export class BufferReclaimer {
  readonly #collector: BufferCollector;
  #discardedBytes = 0;
  /** The least that buffers have taken since all of them were collected. */
  #usedBytes = 0;

  constructor(collector: BufferCollector) {
    this.#collector = collector;
  }

  /** Notes the length of a buffer that is not used for long, or no more. */
  noteDiscarded(bytes: number): void {
    this.#discardedBytes += bytes;
    if (this.#discardedBytes < MINOR_COLLECTION_BYTES) return;
    this.#discardedBytes = 0;
    const collector = this.#collector;
    collector.collectYoung();
    const bufferBytes = collector.bufferBytes();
    if (bufferBytes <= this.#usedBytes + FULL_COLLECTION_BYTES) {
      this.#usedBytes = Math.min(this.#usedBytes, bufferBytes);
      return;
    }
    collector.collectAll();
    this.#usedBytes = collector.bufferBytes();
  }
}

const { gc } = globalThis;

/** Whether this process can collect; Node.js needs `--expose-gc` for it. */
export const canReclaimBuffers = gc !== undefined;

const processReclaimer = gc && new BufferReclaimer({
  collectYoung: () => void gc({ type: "minor" }),
  collectAll: () => void gc(),
  bufferBytes: () => getHeapStatistics().external_memory,
});

/**
 * Notes the length of a buffer of this process that is not used for long, or no
 * more. Does nothing where {@link canReclaimBuffers} is false.
 *
 * @example
 * ```ts
 * message.on("data", (chunk: Buffer) => noteDiscarded(chunk.length));
 * ```
 */
export function noteDiscarded(bytes: number): void {
  processReclaimer?.noteDiscarded(bytes);
}
