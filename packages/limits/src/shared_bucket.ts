/**
 * Enforces a team's rate and burst in a fleet whose daemons gossip what they
 * spend. Every daemon keeps the same bucket. A daemon that can reach only part
 * of the fleet uses only that part of the rate, so that the sides of a
 * partition together stay within the limit.
 *
 * This suits teams whose clients reach some daemons much more often than
 * others: no daemon needs a share of its own while all reach each other.
 *
 * @module
 */

/** Limit of a team. */
export interface BucketTerms {
  /** Units per second; 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
}

/** How far the deployment allows limits to be exceeded. */
export interface BucketTolerance {
  /** Fraction by which rate and burst may be exceeded. */
  readonly overshootShare: number;
  /** Additional units by which each window may be exceeded. */
  readonly slackUnits: number;
  readonly windowMs: number;
}

/**
 * Share of the tolerance that the bucket grants. The other half covers what is
 * spent before the daemons have learned of each other's spending.
 */
const TOLERANCE_USED_SHARE = 0.5;
/** Initial level, relative to the capacity; earlier spending is not known. */
const INITIAL_LEVEL_SHARE = 0.5;

/**
 * The bucket of one team as one daemon sees it.
 *
 * @example
 * ```ts
 * if (bucket.take(1_460, nowMs)) admit();
 * ```
 */
export class SharedBucket {
  #ratePerMs = 0;
  #capacity = 0;
  #isLimited = false;
  #level = 0;
  #share = 1;
  #asOfMs: number;

  constructor(
    terms: BucketTerms,
    options: {
      readonly tolerance: BucketTolerance;
      readonly nowMs: number;
      readonly share: number;
    },
  ) {
    this.#asOfMs = options.nowMs;
    this.#share = options.share;
    this.setTerms(terms, options.tolerance);
    this.#level = this.#capacity * INITIAL_LEVEL_SHARE * this.#share;
  }

  /** Changes rate and burst; a lower burst reduces the level at once. */
  setTerms(terms: BucketTerms, tolerance: BucketTolerance): void {
    const factor = 1 + tolerance.overshootShare * TOLERANCE_USED_SHARE;
    const slackPerMs = tolerance.slackUnits * TOLERANCE_USED_SHARE /
      tolerance.windowMs;
    this.#isLimited = terms.ratePerS > 0;
    this.#ratePerMs = terms.ratePerS / 1_000 * factor + slackPerMs;
    this.#capacity = terms.burst * factor;
    this.#level = Math.min(this.#level, this.#capacity);
  }

  /**
   * Sets the share of the fleet that this daemon can reach, itself included,
   * from 0 to 1. When the share shrinks, the level shrinks in proportion: the
   * rest is left to the daemons that cannot be reached.
   */
  setShare(share: number, nowMs: number): void {
    if (share === this.#share) return;
    this.#advance(nowMs);
    if (share < this.#share) this.#level *= share / this.#share;
    this.#share = share;
  }

  /** Takes the units of one request; false if the limit is reached. */
  take(units: number, nowMs: number): boolean {
    if (!this.#isLimited) return true;
    this.#advance(nowMs);
    // A request larger than the bucket is allowed when the bucket is full.
    const needed = Math.min(units, this.#capacity * this.#share);
    if (this.#level < needed) return false;
    this.#level -= units;
    return true;
  }

  /** Returns the units of a request that has not run. */
  refund(units: number): void {
    this.#level = Math.min(this.#capacity, this.#level + units);
  }

  /**
   * Skips the refill until now. After a pause of the process, what the others
   * spent meanwhile is not known yet.
   */
  skipRefill(nowMs: number): void {
    this.#asOfMs = Math.max(this.#asOfMs, nowMs);
  }

  /** Subtracts what another daemon has spent. */
  deductRemoteSpending(units: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#level -= units;
  }

  /** Milliseconds until the bucket holds the units, or is full. */
  waitMs(units: number, nowMs: number): number {
    this.#advance(nowMs);
    const needed = Math.min(units, this.#capacity * this.#share);
    const missing = needed - this.#level;
    return Math.max(0, missing / (this.#ratePerMs * this.#share));
  }

  #advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#asOfMs;
    if (elapsedMs <= 0) return;
    this.#asOfMs = nowMs;
    const accrued = elapsedMs * this.#ratePerMs * this.#share;
    this.#level = Math.min(this.#capacity, this.#level + accrued);
  }
}
