/**
 * Events that are applied to a team's state, and the effects they produce.
 *
 * @module
 */

import type { TeamTerms } from "./state.ts";

/** An event; the time at which it happened is passed separately. */
export type LimitsEvent =
  /** A request needs tokens and waits for them until its deadline. */
  | {
    readonly kind: "charge";
    readonly id: string;
    readonly costTokens: number;
    readonly deadlineMs: number;
  }
  /** The caller of a waiting charge has disconnected. */
  | { readonly kind: "charge_cancelled"; readonly id: string }
  /** Another domain's holder requests a loan. */
  | {
    readonly kind: "borrow_requested";
    readonly borrower: string;
    /** Capacity requested in total, including what is lent to it already. */
    readonly wantCapacityTokens: number;
    /** Tokens that the borrower has room for without additional capacity. */
    readonly wantTokens: number;
  }
  /** A lender answered; the amounts are zero if it lends nothing. */
  | {
    readonly kind: "loan_received";
    readonly lender: string;
    readonly capacityTokens: number;
    readonly tokens: number;
    readonly leaseMs: number;
    /** Time at which the request was sent, on this holder's clock. */
    readonly requestedAtMs: number;
  }
  /** A lender did not answer. */
  | { readonly kind: "loan_failed"; readonly lender: string }
  /** The configuration or the rights changed. */
  | { readonly kind: "terms_changed"; readonly terms: TeamTerms }
  /** Lending and borrowing stop, so that the group can be given up. */
  | { readonly kind: "drain_started" }
  /** The group stays with this holder; lending and borrowing resume. */
  | { readonly kind: "drain_ended" }
  /**
   * This VM was suspended while its clock stood still; the loans it has taken
   * end earlier by the missed time.
   */
  | { readonly kind: "time_missed"; readonly missedMs: number }
  /** The time returned by `nextWakeAtMs` has come. */
  | { readonly kind: "wake" };

/** What the caller of `step` has to do. */
export type LimitsEffect =
  | { readonly kind: "granted"; readonly id: string }
  | {
    readonly kind: "refused";
    readonly id: string;
    readonly code: "rate_limited" | "cost_exceeds_burst";
    /** Time until the same charge would be granted without other demand. */
    readonly retryAfterMs: number;
  }
  | {
    readonly kind: "lent";
    readonly borrower: string;
    readonly capacityTokens: number;
    readonly tokens: number;
    readonly leaseMs: number;
  }
  | {
    readonly kind: "borrow";
    readonly lender: string;
    readonly wantCapacityTokens: number;
    readonly wantTokens: number;
  };
