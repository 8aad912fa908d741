/**
 * One growing buffer for a message of unknown length.
 *
 * @module
 */

import { noteDiscarded } from "./memory_reclaimer.ts";
import type { MemoryBudget, MemoryUse } from "./memory_budget.ts";

/** Capacity after the first chunk, in bytes; most messages are shorter. */
const INITIAL_CAPACITY_BYTES = 1_024;
const GROWTH_FACTOR = 2;
const NO_BYTES = Buffer.alloc(0);

/** The limits of a {@link ByteCollector}. */
export interface ByteCollectorOptions {
  /** Length of the longest message. */
  readonly maxBytes: number;
  /** What it takes its memory from; unlimited when there is none. */
  readonly budget?: MemoryBudget;
  /** What it holds, also by its capacity; answers by default. */
  readonly use?: MemoryUse | ((capacityBytes: number) => MemoryUse);
}

/** Collects chunks; costs what their bytes cost, however short they are. */
export class ByteCollector {
  readonly #options: ByteCollectorOptions;
  #buffer = NO_BYTES;
  #length = 0;

  constructor(options: ByteCollectorOptions) {
    this.#options = options;
  }

  /** Number of bytes held. */
  get length(): number {
    return this.#length;
  }

  /**
   * Copies the chunk to the end. Returns false, and keeps what it holds, when
   * the message would be too long or the budget has no room.
   *
   * @example
   * ```ts
   * if (!collector.append(chunk)) socket.destroy();
   * ```
   */
  append(chunk: Buffer): boolean {
    const length = this.#length + chunk.length;
    if (length > this.#options.maxBytes) return false;
    if (length > this.#buffer.length && !this.#grow(length)) return false;
    chunk.copy(this.#buffer, this.#length);
    this.#length = length;
    return true;
  }

  /** The bytes held, without a copy; valid until the next change. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Returns the bytes held, without a copy, and starts over. */
  take(): Buffer {
    const { bytes } = this;
    this.clear();
    return bytes;
  }

  /** Drops the bytes held. */
  clear(): void {
    this.#options.budget?.release(this.#buffer.length);
    noteDiscarded(this.#buffer.length);
    this.#buffer = NO_BYTES;
    this.#length = 0;
  }

  #grow(neededBytes: number): boolean {
    const { budget, use = "answer" } = this.#options;
    const doubled = Math.max(
      INITIAL_CAPACITY_BYTES,
      this.#buffer.length * GROWTH_FACTOR,
    );
    const capacity = Math.max(
      neededBytes,
      Math.min(doubled, this.#options.maxBytes),
    );
    const addedBytes = capacity - this.#buffer.length;
    const capacityUse = typeof use === "function" ? use(capacity) : use;
    if (budget?.tryTake(capacityUse, addedBytes) === false) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#length);
    noteDiscarded(this.#buffer.length);
    this.#buffer = grown;
    return true;
  }
}
