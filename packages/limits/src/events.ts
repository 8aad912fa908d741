/**
 * What happens to a team's state, and what it asks its owner to do.
 *
 * @module
 */

import type { TeamTerms } from "./state.ts";

/** An event; its moment is passed beside it. */
export type LimitsEvent =
  /** A request asks for tokens and waits for them until its deadline. */
  | {
    readonly kind: "charge";
    readonly id: string;
    readonly costTokens: number;
    readonly deadlineMs: number;
  }
  /** The caller of a waiting charge went away. */
  | { readonly kind: "charge_cancelled"; readonly id: string }
  /** Another domain's holder wants a loan; capacity includes its present loan. */
  | {
    readonly kind: "borrow_requested";
    readonly borrower: string;
    readonly wantCapacityTokens: number;
    /** What the borrower keeps room for; added capacity may bring more. */
    readonly wantTokens: number;
  }
  /** A lender answered; amounts are zero when it lends nothing. */
  | {
    readonly kind: "loan_received";
    readonly lender: string;
    readonly capacityTokens: number;
    readonly tokens: number;
    readonly leaseMs: number;
    /** When the request was sent, on this holder's clock. */
    readonly requestedAtMs: number;
  }
  /** A lender gave no answer. */
  | { readonly kind: "loan_failed"; readonly lender: string }
  /** Configuration or rights changed. */
  | { readonly kind: "terms_changed"; readonly terms: TeamTerms }
  /** Lends and borrows nothing from now on, so that the group can be given up. */
  | { readonly kind: "drain_started" }
  /** The group stays with this holder after all. */
  | { readonly kind: "drain_ended" }
  /** This VM stood still without its clock noticing; loans end that much sooner. */
  | { readonly kind: "time_missed"; readonly missedMs: number }
  /** The moment that `nextWakeMs` named has come. */
  | { readonly kind: "wake" };

/** What the owner of the state has to do. */
export type LimitsEffect =
  | { readonly kind: "granted"; readonly id: string }
  | {
    readonly kind: "refused";
    readonly id: string;
    readonly code: "rate_limited" | "cost_exceeds_burst";
    /** When the same charge would be granted if nothing else were asked. */
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
