/**
 * One limit on what all messages of a process hold together. Limits of single
 * messages don't bound their sum: 200 answers of 256 KB are 52 MB.
 *
 * @module
 */

/** What memory is used for. */
export type MemoryUse =
  /** Failures and reports, which callers can do without. */
  | "failure"
  /** Heads and bodies of new requests. */
  | "request"
  /**
   * Short heads and bodies. Large ones, which may be few and stay for long, leave
   * room for one of each connection.
   */
  | "small_request"
  /** Answers that callers wait for. */
  | "answer";

/**
 * Share of the limit up to which each use may take more. What is needed least
 * is given up first.
 */
const MAX_SHARE: Readonly<Record<MemoryUse, number>> = {
  failure: 0.5,
  request: 0.75,
  small_request: 0.95,
  answer: 1,
};

/**
 * Counts the memory that is held.
 *
 * @example
 * ```ts
 * const budget = new MemoryBudget(20_000_000);
 * if (!budget.tryTake("request", body.length)) refuse();
 * ```
 */
export class MemoryBudget {
  readonly #limitBytes: number;
  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes that may be held at most. */
  get limitBytes(): number {
    return this.#limitBytes;
  }

  /** Bytes that are held now. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Takes bytes for the use; false when there is no room for it. */
  tryTake(use: MemoryUse, bytes: number): boolean {
    const usedBytes = this.#usedBytes + bytes;
    if (usedBytes > this.#limitBytes * MAX_SHARE[use]) return false;
    this.#usedBytes = usedBytes;
    return true;
  }

  /** Gives bytes back. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
