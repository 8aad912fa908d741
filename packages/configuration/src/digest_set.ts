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
export const KEPT_DIGITS = 16;

const DIGITS_PER_WORD = 8;
const INITIAL_CAPACITY = 16;
const EMPTY = -1;

/** The set; iteration is in the order of insertion. */
export class DigestSet {
  #words = new Uint32Array(INITIAL_CAPACITY * 2);
  #index = new Int32Array(INITIAL_CAPACITY * 2).fill(EMPTY);
  #size = 0;

  /** How many digests the set holds. */
  get size(): number {
    return this.#size;
  }

  /** Tells whether the digest, or its first digits, were added. */
  has(digest: string): boolean {
    return this.#index[this.#slotOf(...split(digest))] !== EMPTY;
  }

  /** Adds a digest once. */
  add(digest: string): void {
    const [high, low] = split(digest);
    if (this.#index[this.#slotOf(high, low)] !== EMPTY) return;
    if (this.#size * 2 === this.#words.length) this.#grow();
    this.#words[this.#size * 2] = high;
    this.#words[this.#size * 2 + 1] = low;
    this.#index[this.#slotOf(high, low)] = this.#size;
    this.#size += 1;
  }

  /** The kept digits of every digest. */
  *[Symbol.iterator](): Generator<string> {
    for (let entry = 0; entry < this.#size; entry++) {
      yield join(this.#words[entry * 2]!, this.#words[entry * 2 + 1]!);
    }
  }

  #slotOf(high: number, low: number): number {
    const mask = this.#index.length - 1;
    let slot = (high ^ low) & mask;
    while (true) {
      const entry = this.#index[slot]!;
      if (entry === EMPTY) return slot;
      const isSame = this.#words[entry * 2] === high &&
        this.#words[entry * 2 + 1] === low;
      if (isSame) return slot;
      slot = (slot + 1) & mask;
    }
  }

  #grow(): void {
    const words = new Uint32Array(this.#words.length * 2);
    words.set(this.#words);
    this.#words = words;
    this.#index = new Int32Array(words.length).fill(EMPTY);
    for (let entry = 0; entry < this.#size; entry++) {
      const slot = this.#slotOf(words[entry * 2]!, words[entry * 2 + 1]!);
      this.#index[slot] = entry;
    }
  }
}

function split(digest: string): [high: number, low: number] {
  return [
    Number.parseInt(digest.slice(0, DIGITS_PER_WORD), 16) >>> 0,
    Number.parseInt(digest.slice(DIGITS_PER_WORD, KEPT_DIGITS), 16) >>> 0,
  ];
}

function join(high: number, low: number): string {
  const write = (word: number) =>
    word.toString(16).padStart(DIGITS_PER_WORD, "0");
  return write(high) + write(low);
}
