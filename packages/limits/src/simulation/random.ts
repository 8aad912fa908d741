/**
 * Seeded random numbers.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A random number generator; the same seed gives the same sequence. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `min` to `max`, both included. */
  int(min: number, max: number): number {
    return uniformInt(this.#generator, min, max);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.int(0, 999_999) < probability * 1_000_000;
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -Math.log((this.int(0, 999_999) + 1) / 1_000_001) * mean;
  }

  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[this.int(0, Math.max(0, items.length - 1))];
  }
}
