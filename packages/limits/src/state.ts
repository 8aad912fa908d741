/**
 * What the holder of a team's group keeps for one team.
 *
 * @module
 */

import { createDemand, type Demand } from "./demand.ts";

/** Rate and capacity, of a share or of a whole limit. */
export interface RateAndCapacity {
  /** Thousandths of a token per second. */
  readonly rateMilli: number;
  readonly capacityTokens: number;
}

/**
 * Capacity given; several loans to one borrower are one that was extended.
 * Tokens given are gone at once and need no entry. Rate is not lent: it moves
 * as tokens, so no rate stays behind with a borrower that no longer needs it.
 */
export interface LoanOut {
  readonly borrower: string;
  readonly capacityTokens: number;
  readonly untilMs: number;
}

/** Capacity taken; a newer loan of the same lender replaces it. */
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

/** What configuration and rights say about the team at this holder. */
export interface TeamTerms {
  /** This domain's share of the limit. */
  readonly share: RateAndCapacity;
  /** The limit over the whole fleet. */
  readonly limit: RateAndCapacity;
  /** The part of the capacity that is never lent; 1 when nobody can borrow. */
  readonly floorFraction: number;
  readonly leaseMs: number;
  /** Where to borrow, in the order to ask: ids of the other failure domains. */
  readonly lenders: readonly string[];
}

/** How far the search for tokens at other holders has got. */
export interface BorrowRound {
  /**
   * Lenders that have not answered yet, from any round, with the room that is
   * kept free for their tokens. Tokens on their way thereby count against this
   * holder's capacity, so that they never come on top of the burst.
   */
  readonly pendingTokens: Map<string, number>;
  /** Lenders of the present round that have not answered yet. */
  readonly open: Set<string>;
  /** Lenders that gave no answer, and until when not to ask them. */
  readonly backoffUntilMs: Map<string, number>;
  startedAtMs: number;
  /** How many lenders the next round asks. */
  fanOut: number;
  /** Counts rounds, so that lenders are asked in turn. */
  rotation: number;
  /** True when the round brought tokens. */
  hasGained: boolean;
  /** True when the last round asked every lender and brought nothing. */
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
  /** Since when charges have waited without a break. */
  busySinceMs: number;
  /** Tokens granted to waiting charges since then. */
  busyGrantedTokens: number;
  readonly round: BorrowRound;
}

/** How a team's bucket is at the moment its holder got the group. */
export interface HoldingStart {
  readonly sinceMs: number;
  /**
   * Until then the lendable part counts as lent, because a previous holder may
   * have lent it.
   */
  readonly quarantineUntilMs: number;
  /** Only for a group that was never held before. */
  readonly startsFull: boolean;
}

/** The borrower's name under which the quarantined part is booked. */
export const QUARANTINE_BORROWER = "(previous holder's loans)";

/** The capacity that may be lent. */
export function lendableCapacityTokens(terms: TeamTerms): number {
  return Math.floor(terms.share.capacityTokens * (1 - terms.floorFraction));
}

/**
 * Makes the state that a team has had since its holder got the group, before
 * any charge. Made on first use; `step` then accrues from `start.sinceMs`, so a
 * team that was never used needs no memory.
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
    // Cut down to the capacity at the first step.
    levelUnits: start.startsFull ? Number.POSITIVE_INFINITY : 0,
    // The first millisecond does not count, because the start was rounded down.
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
