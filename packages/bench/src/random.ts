/**
 * Seeded random numbers.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/**
 * A stream of random numbers that depends on its seed only.
 *
 * @example
 * ```ts
 * const random = new Random(7);
 * random.integer(1, 6);
 * ```
 */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** From 0 to below 1. */
  fraction(): number {
    return uniformFloat64(this.#generator);
  }

  /** Both ends included. */
  integer(least: number, most: number): number {
    return uniformInt(this.#generator, least, most);
  }

  between(least: number, most: number): number {
    return least + this.fraction() * (most - least);
  }

  exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }

  /** An index with probability in proportion to its weight. */
  weighted(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.fraction() * total;
    for (const [index, weight] of weights.entries()) {
      left -= weight;
      if (left < 0) {
        return index;
      }
    }
    return weights.length - 1;
  }

  /** A copy in random order. */
  shuffled<Item>(items: readonly Item[]): Item[] {
    const result = [...items];
    for (let index = result.length - 1; index > 0; index--) {
      const other = this.integer(0, index);
      [result[index], result[other]] = [result[other]!, result[index]!];
    }
    return result;
  }
}
