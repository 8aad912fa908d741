/**
 * A compact multimap from block hash to small integer owners.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";

const EMPTY = 0;
const REMOVED = 1;
/** The first owner number that a caller may use. */
export const FIRST_OWNER = 2;

const INITIAL_SLOTS = 64;
/** Linear probing stays short below this load. */
const DEFAULT_MAX_LOAD = 0.7;
/** After a rebuild at most this share is in use, so rebuilds stay rare. */
const REBUILD_LOAD = 0.45;
const BYTES_PER_SLOT = 12;

/**
 * Open addressing over typed arrays: 12 bytes a slot, one slot for each pair
 * of block and owner. Slots of dead owners are reclaimed when they are met or
 * at the next rebuild.
 *
 * @example
 * ```ts
 * const table = new BlockTable((owner) => alive.has(owner));
 * table.add(block, owner);
 * ```
 */
export class BlockTable {
  readonly #isAlive: (owner: number) => boolean;
  readonly #maxLoad: number;
  #high = new Uint32Array(INITIAL_SLOTS);
  #low = new Uint32Array(INITIAL_SLOTS);
  #owners = new Uint32Array(INITIAL_SLOTS);
  #used = 0;

  constructor(
    isAlive: (owner: number) => boolean,
    options: { readonly maxLoad?: number } = {},
  ) {
    this.#isAlive = isAlive;
    this.#maxLoad = options.maxLoad ?? DEFAULT_MAX_LOAD;
  }

  get bytes(): number {
    return this.#owners.length * BYTES_PER_SLOT;
  }

  /** Adds a pair; false when it was there. */
  add(block: BlockHash, owner: number): boolean {
    if (this.#used + 1 > this.#owners.length * this.#maxLoad) {
      this.#rebuild();
    }
    return this.#insert(highOf(block), lowOf(block), owner);
  }

  /** Removes a pair; false when it was not there. */
  remove(block: BlockHash, owner: number): boolean {
    const high = highOf(block);
    const low = lowOf(block);
    const mask = this.#owners.length - 1;
    for (let slot = low & mask;; slot = (slot + 1) & mask) {
      const found = this.#owners[slot]!;
      if (found === EMPTY) {
        return false;
      }
      if (found === owner && this.#isAt(slot, high, low)) {
        this.#owners[slot] = REMOVED;
        return true;
      }
    }
  }

  /** Live owners of a block, in no particular order. */
  ownersOf(block: BlockHash): number[] {
    const high = highOf(block);
    const low = lowOf(block);
    const mask = this.#owners.length - 1;
    const owners: number[] = [];
    for (let slot = low & mask;; slot = (slot + 1) & mask) {
      const found = this.#owners[slot]!;
      if (found === EMPTY) {
        return owners;
      }
      const isMatch = found >= FIRST_OWNER && this.#isAt(slot, high, low);
      if (isMatch && this.#isAlive(found)) {
        owners.push(found);
      }
    }
  }

  #isAt(slot: number, high: number, low: number): boolean {
    return this.#high[slot] === high && this.#low[slot] === low;
  }

  #insert(high: number, low: number, owner: number): boolean {
    const mask = this.#owners.length - 1;
    let free = -1;
    let slot = low & mask;
    for (;; slot = (slot + 1) & mask) {
      const found = this.#owners[slot]!;
      if (found === EMPTY) {
        break;
      }
      if (found === owner && this.#isAt(slot, high, low)) {
        return false;
      }
      const isFree = found === REMOVED || !this.#isAlive(found);
      if (isFree && free === -1) {
        free = slot;
      }
    }
    if (free === -1) {
      this.#used++;
      free = slot;
    }
    this.#high[free] = high;
    this.#low[free] = low;
    this.#owners[free] = owner;
    return true;
  }

  #rebuild(): void {
    const [high, low, owners] = [this.#high, this.#low, this.#owners];
    let alive = 0;
    for (const owner of owners) {
      if (owner >= FIRST_OWNER && this.#isAlive(owner)) {
        alive++;
      }
    }
    let slots = INITIAL_SLOTS;
    while (alive + 1 > slots * REBUILD_LOAD) {
      slots *= 2;
    }
    this.#high = new Uint32Array(slots);
    this.#low = new Uint32Array(slots);
    this.#owners = new Uint32Array(slots);
    this.#used = 0;
    for (let slot = 0; slot < owners.length; slot++) {
      const owner = owners[slot]!;
      if (owner >= FIRST_OWNER && this.#isAlive(owner)) {
        this.#insert(high[slot]!, low[slot]!, owner);
      }
    }
  }
}

function highOf(block: BlockHash): number {
  return parseInt(block.slice(0, 8), 16);
}

function lowOf(block: BlockHash): number {
  return parseInt(block.slice(8, 16), 16);
}
