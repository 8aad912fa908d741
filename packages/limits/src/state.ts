/**
 * State that the holder of a team's group keeps for the team.
 *
 * @module
 */

import { createDemand, type Demand } from "./demand.ts";

/** Rate and capacity of a share or of a whole limit. */
export interface RateAndCapacity {
  /** Thousandths of a token per second. */
  readonly rateMilli: number;
  readonly capacityTokens: number;
}

/**
 * Capacity lent. Several loans to one borrower are one loan that was extended.
 * Lent tokens leave the level at once and need no entry. Rate is not lent: it
 * moves as tokens, so none stays with a borrower that no longer needs it.
 */
export interface LoanOut {
  readonly borrower: string;
  readonly capacityTokens: number;
  readonly untilMs: number;
}

/** Capacity borrowed; a newer loan of the same lender replaces it. */
export interface LoanIn {
  readonly lender: string;
  readonly capacityTokens: number;
  readonly untilMs: number;
}

/** A charge that waits for tokens. */
export interface WaitingCharge {
  readonly id: string;
  readonly costTokens: number;
  readonly deadlineMs: number;
}

/** Limits of a team at this holder, from the configuration and the rights. */
export interface TeamTerms {
  /** This domain's share of the limit. */
  readonly share: RateAndCapacity;
  /** The limit over the whole fleet. */
  readonly limit: RateAndCapacity;
  /** Fraction of the capacity that is never lent; 1 if there is no borrower. */
  readonly floorFraction: number;
  readonly leaseMs: number;
  /** Ids of the other failure domains, in the order in which to ask them. */
  readonly lenders: readonly string[];
}

/** Progress of the rounds of requests to other holders. */
export interface BorrowRound {
  /**
   * Tokens requested from each lender that has not answered yet, in any round.
   * Room for them is reserved: tokens in transit count against this holder's
   * capacity, so that they never exceed the burst.
   */
  readonly pendingTokens: Map<string, number>;
  /** Lenders of the current round that have not answered yet. */
  readonly open: Set<string>;
  /** Time until which a lender that did not answer is not asked again. */
  readonly backoffUntilMs: Map<string, number>;
  startedAtMs: number;
  /** Number of lenders that the next round asks. */
  fanOut: number;
  /** Counts rounds, to ask the lenders in rotation. */
  rotation: number;
  /** True if the round has brought tokens. */
  hasGained: boolean;
  /** True if the last round asked every lender and brought nothing. */
  exhausted: boolean;
}

/** A team's state at a holder; changed only by `step`. */
export interface TeamState {
  terms: TeamTerms;
  levelUnits: number;
  /** Time up to which the level has accrued; may lie one millisecond ahead. */
  accruedUntilMs: number;
  loansOut: LoanOut[];
  loansIn: LoanIn[];
  waiting: WaitingCharge[];
  waitingTokens: number;
  draining: boolean;
  readonly demand: Demand;
  /** Time since which the queue has not been empty. */
  busySinceMs: number;
  /** Tokens granted to waiting charges since `busySinceMs`. */
  busyGrantedTokens: number;
  readonly round: BorrowRound;
}

/** Initial state of a bucket, at the time its holder got the group. */
export interface HoldingStart {
  readonly sinceMs: number;
  /**
   * Time until which the lendable capacity counts as lent, because a previous
   * holder may have lent it.
   */
  readonly quarantineUntilMs: number;
  /** True only for a group that was never held before. */
  readonly startsFull: boolean;
}

/** Borrower name of the loan that stands for the quarantined capacity. */
export const QUARANTINE_BORROWER = "(previous holder's loans)";

/** The capacity that may be lent. */
export function lendableCapacityTokens(terms: TeamTerms): number {
  return Math.floor(terms.share.capacityTokens * (1 - terms.floorFraction));
}

/**
 * Creates the state of a team as of the time its holder got the group. It is
 * created on first use and `step` then accrues from `start.sinceMs`, so a team
 * that is never used needs no memory.
 */
export function createTeamState(
  terms: TeamTerms,
  start: HoldingStart,
): TeamState {
  const capacityTokens = lendableCapacityTokens(terms);
  const isQuarantined = start.quarantineUntilMs > start.sinceMs &&
    capacityTokens > 0;
  return {
    terms,
    // The first step limits it to the capacity.
    levelUnits: start.startsFull ? Number.POSITIVE_INFINITY : 0,
    // The first millisecond does not accrue: the start was rounded down.
    accruedUntilMs: start.sinceMs + 1,
    loansOut: isQuarantined
      ? [{
        borrower: QUARANTINE_BORROWER,
        capacityTokens,
        untilMs: start.quarantineUntilMs,
      }]
      : [],
    loansIn: [],
    waiting: [],
    waitingTokens: 0,
    draining: false,
    demand: createDemand(start.sinceMs),
    busySinceMs: 0,
    busyGrantedTokens: 0,
    round: {
      pendingTokens: new Map(),
      open: new Set(),
      backoffUntilMs: new Map(),
      startedAtMs: Number.NEGATIVE_INFINITY,
      fanOut: 1,
      rotation: 0,
      hasGained: false,
      exhausted: false,
    },
  };
}
