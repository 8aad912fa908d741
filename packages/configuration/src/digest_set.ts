/**
 * A compact, append-only set of digests. Withdrawn keys are stored forever, so
 * each takes 8 bytes in the list and 4 to 8 in the index instead of about 150
 * in a set of strings. Only the first 64 bits of a digest are stored: two
 * random digests collide with a probability of 2^-64 per pair, and a collision
 * refuses a new key rather than accepting a withdrawn one.
 *
 * @module
 */

/** Number of leading hexadecimal digits stored of each digest. */
export const STORED_DIGITS = 16;

const DIGITS_PER_WORD = 8;
const INITIAL_CAPACITY = 16;
const EMPTY_SLOT = -1;

/** Append-only hash set of digests; iterates in insertion order. */
export class DigestSet {
  #words = new Uint32Array(INITIAL_CAPACITY * 2);
  #index = new Int32Array(INITIAL_CAPACITY * 2).fill(EMPTY_SLOT);
  #size = 0;

  /** Number of digests in the set. */
  get size(): number {
    return this.#size;
  }

  /**
   * Returns whether the digest was added. A prefix of at least
   * {@link STORED_DIGITS} digits is enough.
   */
  has(digest: string): boolean {
    return this.#index[this.#slotOf(...parseWords(digest))] !== EMPTY_SLOT;
  }

  /** Adds a digest; does nothing if it is already in the set. */
  add(digest: string): void {
    const [high, low] = parseWords(digest);
    if (this.#index[this.#slotOf(high, low)] !== EMPTY_SLOT) return;
    if (this.#size * 2 === this.#words.length) this.#grow();
    this.#words[this.#size * 2] = high;
    this.#words[this.#size * 2 + 1] = low;
    this.#index[this.#slotOf(high, low)] = this.#size;
    this.#size += 1;
  }

  /** Yields the stored digits of every digest. */
  *[Symbol.iterator](): Generator<string> {
    for (let entryIndex = 0; entryIndex < this.#size; entryIndex++) {
      yield formatWords(
        this.#words[entryIndex * 2]!,
        this.#words[entryIndex * 2 + 1]!,
      );
    }
  }

  #slotOf(high: number, low: number): number {
    const mask = this.#index.length - 1;
    let slot = (high ^ low) & mask;
    while (true) {
      const entryIndex = this.#index[slot]!;
      if (entryIndex === EMPTY_SLOT) return slot;
      const isSame = this.#words[entryIndex * 2] === high &&
        this.#words[entryIndex * 2 + 1] === low;
      if (isSame) return slot;
      slot = (slot + 1) & mask;
    }
  }

  #grow(): void {
    const words = new Uint32Array(this.#words.length * 2);
    words.set(this.#words);
    this.#words = words;
    this.#index = new Int32Array(words.length).fill(EMPTY_SLOT);
    for (let entryIndex = 0; entryIndex < this.#size; entryIndex++) {
      const slot = this.#slotOf(
        words[entryIndex * 2]!,
        words[entryIndex * 2 + 1]!,
      );
      this.#index[slot] = entryIndex;
    }
  }
}

function parseWords(digest: string): [high: number, low: number] {
  return [
    Number.parseInt(digest.slice(0, DIGITS_PER_WORD), 16) >>> 0,
    Number.parseInt(digest.slice(DIGITS_PER_WORD, STORED_DIGITS), 16) >>> 0,
  ];
}

function formatWords(high: number, low: number): string {
  const formatWord = (word: number) =>
    word.toString(16).padStart(DIGITS_PER_WORD, "0");
  return formatWord(high) + formatWord(low);
}
