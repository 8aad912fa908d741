/**
 * A cache of blocks that evicts the least recently used one.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";

/**
 * Blocks in order of use; pinned ones are not evicted, so the cache may hold
 * more than its capacity while all are pinned.
 *
 * @example
 * ```ts
 * const cache = new BlockCache(160, (block) => console.log("evicted", block));
 * cache.add(block);
 * ```
 */
export class BlockCache {
  readonly #capacity: number;
  readonly #onEvicted: (block: BlockHash) => void;
  readonly #blocks = new Set<BlockHash>();
  readonly #pins = new Map<BlockHash, number>();

  constructor(capacity: number, onEvicted: (block: BlockHash) => void) {
    this.#capacity = capacity;
    this.#onEvicted = onEvicted;
  }

  get size(): number {
    return this.#blocks.size;
  }

  blocks(): BlockHash[] {
    return [...this.#blocks];
  }

  has(block: BlockHash): boolean {
    return this.#blocks.has(block);
  }

  /** Blocks held from the root of the chain without a gap. */
  depth(chain: readonly BlockHash[]): number {
    const missing = chain.findIndex((block) => !this.#blocks.has(block));
    return missing === -1 ? chain.length : missing;
  }

  /** Adds or refreshes a block; true when it is new. */
  add(block: BlockHash): boolean {
    const isNew = !this.#blocks.delete(block);
    this.#blocks.add(block);
    if (isNew) {
      this.#evict();
    }
    return isNew;
  }

  pin(block: BlockHash): void {
    this.#pins.set(block, (this.#pins.get(block) ?? 0) + 1);
  }

  unpin(block: BlockHash): void {
    const count = this.#pins.get(block) ?? 0;
    if (count <= 1) {
      this.#pins.delete(block);
    } else {
      this.#pins.set(block, count - 1);
    }
  }

  #evict(): void {
    for (const block of this.#blocks) {
      if (this.#blocks.size <= this.#capacity) {
        return;
      }
      if (!this.#pins.has(block)) {
        this.#blocks.delete(block);
        this.#onEvicted(block);
      }
    }
  }
}
