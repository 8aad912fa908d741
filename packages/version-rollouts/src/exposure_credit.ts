/**
 * Keeps one daemon's requests to a new version below a share of its own
 * requests. A bad version may get a tenth of a service's requests from all
 * daemons together; the sum holds although daemons start again or are cut off,
 * as each begins with less than one request of credit.
 *
 * @module
 */

/** Credit that is not used is kept for about two requests, as load varies. */
const MAX_CREDIT = 2;

/** How the next request may use the credit. */
export interface CreditOffer {
  /** The announced share; all requests from 1 on. */
  readonly share: number;
  /** What the request adds, as a multiple of the share. */
  readonly weight: number;
  /** Bound on the share of all requests since the order, while below 1. */
  readonly maxShare: number;
  /** Requests beyond that bound; a part of one in a large fleet. */
  readonly slack?: number;
}

/** The credit of one daemon for one order. */
export class ExposureCredit {
  readonly #start: number;
  #credit: number;
  #requests = 0;
  #exposed = 0;

  /**
   * `start` is drawn evenly from 0 to 1. In a fleet of which each daemon gets a
   * few requests a second, the first ones are then spread evenly over time, and
   * the expected sum is the share itself.
   */
  constructor(start: number) {
    this.#start = Math.min(Math.max(0, start), 1 - Number.EPSILON);
    this.#credit = this.#start;
  }

  /** Requests since the order. */
  get requests(): number {
    return this.#requests;
  }

  /** Requests of them that went to the new version. */
  get exposed(): number {
    return this.#exposed;
  }

  /**
   * Counts a request, and tells whether it goes to the new version.
   *
   * @example
   * ```ts
   * const goesToNew = credit.offer({ share: 0.03, weight: 1, maxShare: 0.09 });
   * ```
   */
  offer({ share, weight, maxShare, slack = 0 }: CreditOffer): boolean {
    this.#requests += 1;
    if (share >= 1) {
      this.#exposed += 1;
      return true;
    }
    if (share <= 0) return false;
    this.#credit = Math.min(MAX_CREDIT, this.#credit + share * weight);
    const bound = this.#start + slack + maxShare * this.#requests;
    if (this.#credit < 1 || this.#exposed + 1 > bound) return false;
    this.#credit -= 1;
    this.#exposed += 1;
    return true;
  }

  /** A request that was to go to the new version went elsewhere. */
  giveBack(): void {
    this.#exposed -= 1;
    this.#credit = Math.min(MAX_CREDIT, this.#credit + 1);
  }

  /** A request went to the new version without an offer, such as a repeat. */
  noteExtra(): void {
    this.#exposed += 1;
    this.#credit = Math.max(0, this.#credit - 1);
  }
}
