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
const LEDGER_UNITS_PER_TOKEN = 1_000_000_000;

/** The grants of one team, in the order of true time. */
export class Ledger {
  readonly #limit: LedgerLimit;
  #granted = 0;
  /** The smallest value, before any grant, of granted minus rate times time. */
  #lowestBalance = 0;
  #largestExcess = -Infinity;
  grantedTokens = 0;

  constructor(limit: LedgerLimit) {
    this.#limit = limit;
  }

  /**
   * Notes a grant. All quantities are integers below 2^53, so the comparison is
   * exact for runs of up to several hours.
   */
  recordGrant(costTokens: number, atUs: number): void {
    const accrued = this.#limit.rateMilli * atUs;
    this.#lowestBalance = Math.min(
      this.#lowestBalance,
      this.#granted - accrued,
    );
    this.#granted += costTokens * LEDGER_UNITS_PER_TOKEN;
    this.grantedTokens += costTokens;
    const worstWindowUnits = this.#granted - accrued - this.#lowestBalance;
    const excess = worstWindowUnits -
      this.#limit.burstTokens * LEDGER_UNITS_PER_TOKEN;
    this.#largestExcess = Math.max(this.#largestExcess, excess);
    if (!Number.isSafeInteger(this.#granted)) {
      throw new Error("Use a shorter run: the ledger is no longer exact");
    }
  }

  /** Tokens above the limit in the worst window; 0 when there were none. */
  excessTokens(): number {
    return Math.max(0, this.#largestExcess) / LEDGER_UNITS_PER_TOKEN;
  }
}

/** One bucket that knows everything at once: what an ideal limiter grants. */
export class IdealBucket {
  readonly #limit: LedgerLimit;
  #levelUnits: number;
  #asOfUs = 0;

  constructor(limit: LedgerLimit) {
    this.#limit = limit;
    this.#levelUnits = limit.burstTokens * LEDGER_UNITS_PER_TOKEN;
  }

  /** True, and charged, when the team is inside its rate and burst. */
  charge(costTokens: number, atUs: number): boolean {
    const accrued = this.#limit.rateMilli * (atUs - this.#asOfUs);
    const capacity = this.#limit.burstTokens * LEDGER_UNITS_PER_TOKEN;
    this.#levelUnits = Math.min(capacity, this.#levelUnits + accrued);
    this.#asOfUs = atUs;
    if (this.#levelUnits < costTokens * LEDGER_UNITS_PER_TOKEN) return false;
    this.#levelUnits -= costTokens * LEDGER_UNITS_PER_TOKEN;
    return true;
  }
}
