/**
 * Checks the tokens granted by a fleet against rate and burst, in every time
 * window.
 *
 * @module
 */

/** A limit as integers. */
export interface LedgerLimit {
  readonly rateMilli: number;
  readonly burstTokens: number;
}

/** Ledger units (thousandths of a token per second times µs) in one token. */
const LEDGER_UNITS_PER_TOKEN = 1_000_000_000;

/** Records the grants of one team, in order of true time. */
export class Ledger {
  readonly #limit: LedgerLimit;
  #granted = 0;
  /** Smallest value, before any grant, of granted units minus accrued units. */
  #lowestBalance = 0;
  #largestExcess = -Infinity;
  grantedTokens = 0;

  constructor(limit: LedgerLimit) {
    this.#limit = limit;
  }

  /**
   * Records a grant. All quantities are integers below 2^53, so the comparison
   * is exact for runs of up to several hours; throws for longer runs.
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
      throw new Error(
        "Granted units exceed the exact integer range; use a shorter run",
      );
    }
  }

  /** Tokens above the limit in the worst window; 0 if there were none. */
  excessTokens(): number {
    return Math.max(0, this.#largestExcess) / LEDGER_UNITS_PER_TOKEN;
  }
}

/** An ideal limiter: one bucket that sees every request without delay. */
export class IdealBucket {
  readonly #limit: LedgerLimit;
  #levelUnits: number;
  #asOfUs = 0;

  constructor(limit: LedgerLimit) {
    this.#limit = limit;
    this.#levelUnits = limit.burstTokens * LEDGER_UNITS_PER_TOKEN;
  }

  /** Charges a cost and returns true if the team is within rate and burst. */
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
