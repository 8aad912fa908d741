/**
 * A team's rate and burst over a fleet whose daemons tell each other what they
 * spend. Every daemon runs the same bucket; one that hears only part of the
 * fleet uses only that part of the rate, so that the sides of a partition
 * together stay within it.
 *
 * Answers a load where clients of one team reach some daemons much more often
 * than others: no daemon needs a share of its own while all hear each other.
 *
 * @module
 */

/** What a team may spend. */
export interface BucketTerms {
  /** Units per second; 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
}

/** Room over the limit that the deployment tolerates. */
export interface BucketTolerance {
  /** Share of rate and burst by which they may be exceeded. */
  readonly overshootShare: number;
  /** Units in each window that may be exceeded besides. */
  readonly slackUnits: number;
  readonly windowMs: number;
}

/**
 * Share of the tolerance that is used. The other half covers what is spent
 * before the daemons have heard of each other's spending.
 */
const TOLERANCE_USED_SHARE = 0.5;
/** A new bucket's level: its earlier spending is not known. */
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

  /** Changes rate and burst; a lower burst cuts the level at once. */
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
   * Sets the share of the fleet that this daemon hears, itself included, from
   * 0 to 1. Losing a part of the fleet leaves that part its share of the level.
   */
  setShare(share: number, nowMs: number): void {
    if (share === this.#share) return;
    this.#advance(nowMs);
    if (share < this.#share) this.#level *= share / this.#share;
    this.#share = share;
  }

  /** Takes the units of one request; false when the limit is reached. */
  take(units: number, nowMs: number): boolean {
    if (!this.#isLimited) return true;
    this.#advance(nowMs);
    // A request larger than the whole bucket passes when the bucket is full.
    const needed = Math.min(units, this.#capacity * this.#share);
    if (this.#level < needed) return false;
    this.#level -= units;
    return true;
  }

  /** Gives back the units of a request that has not run. */
  refund(units: number): void {
    this.#level = Math.min(this.#capacity, this.#level + units);
  }

  /** Takes what another daemon has spent. */
  deductRemoteSpending(units: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#level -= units;
  }

  /** Milliseconds until the units are there. */
  waitMs(units: number, nowMs: number): number {
    this.#advance(nowMs);
    const missing = Math.min(units, this.#capacity) - this.#level;
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
