/**
 * Draws that depend on a seed and a label only, not on the order of events.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const RESOLUTION = 1_000_000;

/** A source of draws. */
export interface Draws {
  /** A whole number from `low` to `high`, both included. */
  int(low: number, high: number): number;
  /** True with the given probability. */
  chance(share: number): boolean;
  pick<Item>(items: readonly Item[]): Item;
}

/**
 * The draws of a label under a seed.
 *
 * @example
 * ```ts
 * const isCut = drawsFor(7, "server-1/a1/0").chance(0.6);
 * ```
 */
export function drawsFor(seed: number, label: string): Draws {
  let hash = FNV_OFFSET ^ seed;
  for (let index = 0; index < label.length; index++) {
    hash = Math.imul(hash ^ label.charCodeAt(index), FNV_PRIME);
  }
  const generator = xoroshiro128plus(hash);
  // The first draws of similar seeds are similar.
  for (let skipped = 0; skipped < 4; skipped++) generator.next();
  const int = (low: number, high: number) => uniformInt(generator, low, high);
  return {
    int,
    chance: (share) => int(0, RESOLUTION - 1) < share * RESOLUTION,
    pick: (items) => items[int(0, items.length - 1)]!,
  };
}
