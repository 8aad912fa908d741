/**
 * Checks what a fleet granted against rate and burst, over every window.
 *
 * @module
 */

/** A limit in exact units. */
export interface LedgerLimit {
  readonly rateMilli: number;
  readonly burstTokens: number;
}

/** Thousandths of a token per second times microseconds, in one token. */
const UNITS_PER_TOKEN = 1_000_000_000;

/** The grants of one team, in the order of true time. */
export class Ledger {
  readonly #limit: LedgerLimit;
  #granted = 0;
  /** The smallest value, before any grant, of granted minus rate times time. */
  #lowest = 0;
  #largestExcess = -Infinity;
  grantedTokens = 0;

  constructor(limit: LedgerLimit) {
    this.#limit = limit;
  }

  /**
   * Notes a grant. All quantities are integers below 2^53, so the comparison is
   * exact for runs of up to several hours.
   */
  note(costTokens: number, atUs: number): void {
    const accrued = this.#limit.rateMilli * atUs;
    this.#lowest = Math.min(this.#lowest, this.#granted - accrued);
    this.#granted += costTokens * UNITS_PER_TOKEN;
    this.grantedTokens += costTokens;
    const inWorstWindow = this.#granted - accrued - this.#lowest;
    const excess = inWorstWindow - this.#limit.burstTokens * UNITS_PER_TOKEN;
    this.#largestExcess = Math.max(this.#largestExcess, excess);
    if (!Number.isSafeInteger(this.#granted)) {
      throw new Error("Use a shorter run: the ledger is no longer exact");
    }
  }

  /** Tokens above the limit in the worst window; 0 when there were none. */
  excessTokens(): number {
    return Math.max(0, this.#largestExcess) / UNITS_PER_TOKEN;
  }
}

/** One bucket that knows everything at once: what an ideal limiter grants. */
export class IdealBucket {
  readonly #limit: LedgerLimit;
  #levelUnits: number;
  #atUs = 0;

  constructor(limit: LedgerLimit) {
    this.#limit = limit;
    this.#levelUnits = limit.burstTokens * UNITS_PER_TOKEN;
  }

  /** True, and charged, when the team is inside its rate and burst. */
  charge(costTokens: number, atUs: number): boolean {
    const gained = this.#limit.rateMilli * (atUs - this.#atUs);
    const capacity = this.#limit.burstTokens * UNITS_PER_TOKEN;
    this.#levelUnits = Math.min(capacity, this.#levelUnits + gained);
    this.#atUs = atUs;
    if (this.#levelUnits < costTokens * UNITS_PER_TOKEN) return false;
    this.#levelUnits -= costTokens * UNITS_PER_TOKEN;
    return true;
  }
}
