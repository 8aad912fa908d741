/**
 * A compact multimap from block hashes to the generations of engine caches that
 * hold them. A generation is a small integer that `PrefixIndex` assigns.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";

const EMPTY_SLOT = 0;
const REMOVED_SLOT = 1;
/** The lowest generation that a caller may use; 0 and 1 mark unused slots. */
export const FIRST_GENERATION = 2;

const INITIAL_SLOT_COUNT = 64;
/** Maximum share of used slots; probe sequences stay short below it. */
const DEFAULT_MAX_LOAD = 0.7;
/** Maximum share of used slots after a rebuild, so that rebuilds stay rare. */
const MAX_LOAD_AFTER_REBUILD = 0.45;
const BYTES_PER_SLOT = 12;

/**
 * Hash table with open addressing over typed arrays. Each pair of block and
 * generation takes one slot of 12 bytes. Slots of generations that are no
 * longer current are reused by insertions that probe them, and freed by the
 * next rebuild.
 *
 * @example
 * ```ts
 * const table = new BlockTable((generation) => current.has(generation));
 * table.add(block, generation);
 * ```
 */
export class BlockTable {
  readonly #isCurrent: (generation: number) => boolean;
  readonly #maxLoad: number;
  #high = new Uint32Array(INITIAL_SLOT_COUNT);
  #low = new Uint32Array(INITIAL_SLOT_COUNT);
  #generations = new Uint32Array(INITIAL_SLOT_COUNT);
  #usedSlotCount = 0;

  constructor(
    isCurrent: (generation: number) => boolean,
    options: { readonly maxLoad?: number } = {},
  ) {
    this.#isCurrent = isCurrent;
    this.#maxLoad = options.maxLoad ?? DEFAULT_MAX_LOAD;
  }

  /** Size of the slot arrays in bytes. */
  get bytes(): number {
    return this.#generations.length * BYTES_PER_SLOT;
  }

  /** Adds a pair. Returns false when the table already contains it. */
  add(block: BlockHash, generation: number): boolean {
    if (this.#usedSlotCount + 1 > this.#generations.length * this.#maxLoad) {
      this.#rebuild();
    }
    return this.#insert(highHalfOf(block), lowHalfOf(block), generation);
  }

  /** Removes a pair. Returns false when the table does not contain it. */
  remove(block: BlockHash, generation: number): boolean {
    const high = highHalfOf(block);
    const low = lowHalfOf(block);
    const mask = this.#generations.length - 1;
    for (let slot = low & mask;; slot = (slot + 1) & mask) {
      const found = this.#generations[slot]!;
      if (found === EMPTY_SLOT) {
        return false;
      }
      if (found === generation && this.#hasBlockAt(slot, high, low)) {
        this.#generations[slot] = REMOVED_SLOT;
        return true;
      }
    }
  }

  /** Returns the current generations of a block, in no particular order. */
  generationsOf(block: BlockHash): number[] {
    const high = highHalfOf(block);
    const low = lowHalfOf(block);
    const mask = this.#generations.length - 1;
    const generations: number[] = [];
    for (let slot = low & mask;; slot = (slot + 1) & mask) {
      const found = this.#generations[slot]!;
      if (found === EMPTY_SLOT) {
        return generations;
      }
      const isMatch = found >= FIRST_GENERATION &&
        this.#hasBlockAt(slot, high, low);
      if (isMatch && this.#isCurrent(found)) {
        generations.push(found);
      }
    }
  }

  #hasBlockAt(slot: number, high: number, low: number): boolean {
    return this.#high[slot] === high && this.#low[slot] === low;
  }

  #insert(high: number, low: number, generation: number): boolean {
    const mask = this.#generations.length - 1;
    let freeSlot = -1;
    let slot = low & mask;
    for (;; slot = (slot + 1) & mask) {
      const found = this.#generations[slot]!;
      if (found === EMPTY_SLOT) {
        break;
      }
      if (found === generation && this.#hasBlockAt(slot, high, low)) {
        return false;
      }
      const isFree = found === REMOVED_SLOT || !this.#isCurrent(found);
      if (isFree && freeSlot === -1) {
        freeSlot = slot;
      }
    }
    if (freeSlot === -1) {
      this.#usedSlotCount++;
      freeSlot = slot;
    }
    this.#high[freeSlot] = high;
    this.#low[freeSlot] = low;
    this.#generations[freeSlot] = generation;
    return true;
  }

  #rebuild(): void {
    const [high, low, generations] = [this.#high, this.#low, this.#generations];
    let currentCount = 0;
    for (const generation of generations) {
      if (generation >= FIRST_GENERATION && this.#isCurrent(generation)) {
        currentCount++;
      }
    }
    let slotCount = INITIAL_SLOT_COUNT;
    while (currentCount + 1 > slotCount * MAX_LOAD_AFTER_REBUILD) {
      slotCount *= 2;
    }
    this.#high = new Uint32Array(slotCount);
    this.#low = new Uint32Array(slotCount);
    this.#generations = new Uint32Array(slotCount);
    this.#usedSlotCount = 0;
    for (let slot = 0; slot < generations.length; slot++) {
      const generation = generations[slot]!;
      if (generation >= FIRST_GENERATION && this.#isCurrent(generation)) {
        this.#insert(high[slot]!, low[slot]!, generation);
      }
    }
  }
}

function highHalfOf(block: BlockHash): number {
  return parseInt(block.slice(0, 8), 16);
}

function lowHalfOf(block: BlockHash): number {
  return parseInt(block.slice(8, 16), 16);
}
