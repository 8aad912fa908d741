/**
 * The engine's prefix cache: blocks by chained hash, each with the salt that it
 * was stored under; the least recently used block is evicted.
 *
 * @module
 */

/** What a change of the cache did. */
export interface CacheChange {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** Blocks in the order of their last use, oldest first. */
export class BlockCache {
  readonly #salts = new Map<string, string>();
  readonly #capacity: number;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#salts.size;
  }

  get freeBlocks(): number {
    return this.#capacity - this.#salts.size;
  }

  blocks(): string[] {
    return [...this.#salts.keys()];
  }

  saltOf(block: string): string | undefined {
    return this.#salts.get(block);
  }

  /** How many leading blocks are cached under the salt; marks them as used. */
  useDepth(blocks: readonly string[], salt: string): number {
    let depth = 0;
    while (depth < blocks.length && this.#has(blocks[depth], salt)) depth++;
    // Used from the deepest to the root, so that roots are evicted last.
    for (let index = depth - 1; index >= 0; index--) {
      this.#touch(blocks[index]!, salt);
    }
    return depth;
  }

  /** Stores blocks under a salt. */
  store(blocks: readonly string[], salt: string): CacheChange {
    const kept = blocks.slice(0, this.#capacity);
    const stored = kept.filter((block) => !this.#has(block, salt));
    for (const block of [...kept].reverse()) this.#touch(block, salt);
    return { stored, evicted: this.#evict() };
  }

  clear(): void {
    this.#salts.clear();
  }

  #has(block: string | undefined, salt: string): boolean {
    return block !== undefined && this.#salts.get(block) === salt;
  }

  #touch(block: string, salt: string): void {
    this.#salts.delete(block);
    this.#salts.set(block, salt);
  }

  #evict(): string[] {
    const evicted: string[] = [];
    for (const oldest of this.#salts.keys()) {
      if (this.#salts.size <= this.#capacity) break;
      this.#salts.delete(oldest);
      evicted.push(oldest);
    }
    return evicted;
  }
}
