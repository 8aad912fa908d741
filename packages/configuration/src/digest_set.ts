/**
 * A compact set of digests that only grows. Withdrawn keys are remembered for
 * ever, so each takes 8 bytes in the list and 4 to 8 in the index instead of
 * about 150 in a set of strings. Only the first 64 bits of a digest are kept:
 * two random digests collide with a chance of 2^-64 per pair, and a collision
 * refuses a new key instead of accepting a withdrawn one.
 *
 * @module
 */

/** Hexadecimal digits of a digest that are kept. */
export const STORED_DIGITS = 16;

const DIGITS_PER_WORD = 8;
const INITIAL_CAPACITY = 16;
const EMPTY_SLOT = -1;

/** The set; iteration is in the order of insertion. */
export class DigestSet {
  #words = new Uint32Array(INITIAL_CAPACITY * 2);
  #index = new Int32Array(INITIAL_CAPACITY * 2).fill(EMPTY_SLOT);
  #size = 0;

  /** How many digests the set holds. */
  get size(): number {
    return this.#size;
  }

  /** Tells whether the digest, or its first digits, were added. */
  has(digest: string): boolean {
    return this.#index[this.#slotOf(...parseWords(digest))] !== EMPTY_SLOT;
  }

  /** Adds a digest once. */
  add(digest: string): void {
    const [high, low] = parseWords(digest);
    if (this.#index[this.#slotOf(high, low)] !== EMPTY_SLOT) return;
    if (this.#size * 2 === this.#words.length) this.#grow();
    this.#words[this.#size * 2] = high;
    this.#words[this.#size * 2 + 1] = low;
    this.#index[this.#slotOf(high, low)] = this.#size;
    this.#size += 1;
  }

  /** The kept digits of every digest. */
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
