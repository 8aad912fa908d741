/**
 * Frees memory that is no longer used before it adds up. A buffer's bytes lie
 * outside of V8's heap, which holds some 100 bytes for it: many MB of short-lived
 * buffers don't fill the young generation, and V8 waits until 64 MiB have come
 * since the last full collection. Objects that outlived minor collections stay
 * until the heap has grown by as much again. A process of 178 MB that receives
 * at full speed has no room for either.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";

/** Discarded bytes that may wait for a minor collection. */
const MINOR_COLLECTION_BYTES = 4_194_304;
/**
 * Growth after which everything is collected: what has outlived two minor
 * collections, such as answers that were read slowly, is freed by nothing else.
 */
const FULL_COLLECTION_BYTES = 8_388_608;

/** The collector of the process, and what it has to collect. */
export interface MemoryCollector {
  collectYoung(): void;
  collectAll(): void;
  /** Bytes of the heap and of all buffers, also of what is no longer used. */
  heldBytes(): number;
}

/**
 * Collects after every 4 MiB that are discarded.
 *
 * @example
 * ```ts
 * const reclaimer = new MemoryReclaimer(collector);
 * socket.on("data", (chunk) => reclaimer.noteDiscarded(chunk.length));
 * ```
 */
export class MemoryReclaimer {
  readonly #collector: MemoryCollector;
  #discardedBytes = 0;
  /** The least that has been held since everything was collected. */
  #leastBytes: number;

  constructor(collector: MemoryCollector) {
    this.#collector = collector;
    this.#leastBytes = collector.heldBytes();
  }

  /** Notes the size of what is not used for long, or no more. */
  noteDiscarded(bytes: number): void {
    this.#discardedBytes += bytes;
    if (this.#discardedBytes < MINOR_COLLECTION_BYTES) return;
    this.#discardedBytes = 0;
    const collector = this.#collector;
    collector.collectYoung();
    const heldBytes = collector.heldBytes();
    this.#leastBytes = Math.min(this.#leastBytes, heldBytes);
    if (heldBytes <= this.#leastBytes + FULL_COLLECTION_BYTES) return;
    collector.collectAll();
    this.#leastBytes = collector.heldBytes();
  }
}

const { gc } = globalThis;

/** Whether this process can collect; Node.js needs `--expose-gc` for it. */
export const canReclaim = gc !== undefined;

const processReclaimer = gc && new MemoryReclaimer({
  collectYoung: () => void gc({ type: "minor" }),
  collectAll: () => void gc(),
  heldBytes() {
    const { used_heap_size, external_memory } = getHeapStatistics();
    return used_heap_size + external_memory;
  },
});

/**
 * Notes the size of a buffer or object of this process that is not used for long,
 * or no more. Does nothing where {@link canReclaim} is false.
 *
 * @example
 * ```ts
 * message.on("data", (chunk: Buffer) => noteDiscarded(chunk.length));
 * ```
 */
export function noteDiscarded(bytes: number): void {
  processReclaimer?.noteDiscarded(bytes);
}
