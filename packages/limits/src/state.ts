/**
 * What the holder of a team's group keeps for one team.
 *
 * @module
 */

import { createDemand, type Demand } from "./demand.ts";

/** Rate and capacity, of a share, a loan or a whole limit. */
export interface Amount {
  /** Thousandths of a token per second. */
  readonly rateMilli: number;
  readonly capacityTokens: number;
}

/** A loan given; several to one borrower are one loan that was extended. */
export interface LoanOut extends Amount {
  readonly borrower: string;
  readonly untilMs: number;
}

/** A loan taken; a newer one of the same lender replaces it. */
export interface LoanIn extends Amount {
  readonly lender: string;
  readonly untilMs: number;
  readonly requestedAtMs: number;
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
  readonly share: Amount;
  /** The limit over the whole fleet. */
  readonly limit: Amount;
  /** The part of the share that is never lent; 1 when nobody can borrow. */
  readonly floorFraction: number;
  readonly leaseMs: number;
  /** Where to borrow, in the order to ask: ids of the other failure domains. */
  readonly lenders: readonly string[];
}

/** How far the search for tokens at other holders has got. */
export interface BorrowRound {
  /** Lenders that have not answered yet, from any round. */
  readonly pending: Set<string>;
  /** Lenders of the present round that have not answered yet. */
  readonly open: Set<string>;
  /** Lenders that gave no answer, and until when not to ask them. */
  readonly failedUntilMs: Map<string, number>;
  startedAtMs: number;
  /** How many lenders the next round asks. */
  fanOut: number;
  /** True when the last round asked every lender and left a shortage. */
  exhausted: boolean;
}

/** A team's state at a holder; changed only by `step`. */
export interface TeamState {
  terms: TeamTerms;
  levelGrains: number;
  /** Time up to which the level has accrued; may lie one millisecond ahead. */
  accruedUntilMs: number;
  loansOut: LoanOut[];
  loansIn: LoanIn[];
  waiting: WaitingCharge[];
  waitingTokens: number;
  draining: boolean;
  readonly demand: Demand;
  /** Tokens that came from lenders. */
  readonly inflow: Demand;
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

/** The part of a share that may be lent. */
export function lendablePart(terms: TeamTerms): Amount {
  const keep = 1 - terms.floorFraction;
  return {
    rateMilli: Math.floor(terms.share.rateMilli * keep),
    capacityTokens: Math.floor(terms.share.capacityTokens * keep),
  };
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
  const lendable = lendablePart(terms);
  const isQuarantined = start.quarantineUntilMs > start.sinceMs &&
    lendable.rateMilli + lendable.capacityTokens > 0;
  return {
    terms,
    // Cut down to the capacity at the first step.
    levelGrains: start.startsFull ? Number.POSITIVE_INFINITY : 0,
    // The first millisecond does not count, because the start was rounded down.
    accruedUntilMs: start.sinceMs + 1,
    loansOut: isQuarantined
      ? [{
        ...lendable,
        borrower: QUARANTINE_BORROWER,
        untilMs: start.quarantineUntilMs,
      }]
      : [],
    loansIn: [],
    waiting: [],
    waitingTokens: 0,
    draining: false,
    demand: createDemand(start.sinceMs),
    inflow: createDemand(start.sinceMs),
    round: {
      pending: new Set(),
      open: new Set(),
      failedUntilMs: new Map(),
      startedAtMs: Number.NEGATIVE_INFINITY,
      fanOut: 1,
      exhausted: false,
    },
  };
}
