/**
 * Records of the fair queue.
 *
 * @module
 */

import type { RequestId, TeamId } from "@endivebend/types";

/** A request that waits for an engine. */
export interface QueueEntry {
  readonly requestId: RequestId;
  readonly team: TeamId;
  /** What the team is charged in the fair order. */
  readonly costTokens: number;
  /** Tokens that the engine has to prefill; `costTokens` when absent. */
  readonly prefillTokens?: number;
  /** Smaller is sooner; orders the requests of one team only. */
  readonly priority?: number;
  /** The request is given up at this time, on the clock of `nowMs`. */
  readonly deadlineMs: number;
}

/** The right to send one request to the engine. */
export interface Permit {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly lane: Lane;
  readonly prefillTokens: number;
  readonly grantedAtMs: number;
  /** For the engine's `priority` field; smaller is sooner. */
  readonly enginePriority: number;
  /** The permit ends at this time if nobody releases it. */
  readonly expiresAtMs: number;
}

/** Short prompts do not wait behind long prefills. */
export type Lane = "short" | "long";

/** The answer to `enqueue`. */
export type EnqueueResult =
  | { readonly kind: "queued" }
  | {
    readonly kind: "refused";
    readonly code: "queue_full" | "deadline_exceeded";
    /** After this time the same request is accepted if no others come first. */
    readonly retryAfterMs: number;
  };

/** What the caller knows of the engine when it asks for permits. */
export interface EngineState {
  /** False while the engine is leaving, suspect or loading weights. */
  readonly takesNewWork: boolean;
  /** Prefill tokens that reached the engine past this queue. */
  readonly externalPrefillTokens?: number;
}

/** What `dispatchable` decided. */
export interface GrantResult {
  readonly permits: readonly Permit[];
  /** Entries whose deadline passed while they waited. */
  readonly expired: readonly QueueEntry[];
}

/** Settings of a `FairQueue`. */
export interface FairQueueOptions {
  /** Tokens that the engine prefills per millisecond, until measured. */
  readonly prefillTokensPerMs: number;
  /** Requests that may run at the engine at once. */
  readonly maxRunningRequests: number;
  /** Prefill tokens kept at the engine so that it never idles. */
  readonly windowTokens: number;
  /** Prompts with at most this many tokens to prefill use the short lane. */
  readonly shortPrefillTokens: number;
  /** Prefill tokens of the short lane that may be at the engine at once. */
  readonly shortWindowTokens: number;
  /** How far a team's short prompts may run ahead of others' long ones. */
  readonly maxShortLeadTokens: number;
  readonly maxTeamEntries: number;
  readonly maxTeamTokens: number;
  readonly maxEntries: number;
  /** Life of a permit that nobody releases. */
  readonly permitLifetimeMs: number;
}

/** Values for engines that prefill about ten tokens a millisecond. */
export const DEFAULT_QUEUE_OPTIONS: FairQueueOptions = {
  prefillTokensPerMs: 10,
  maxRunningRequests: 48,
  windowTokens: 200,
  shortPrefillTokens: 2_000,
  shortWindowTokens: 4_000,
  maxShortLeadTokens: 20_000,
  maxTeamEntries: 256,
  maxTeamTokens: 2_000_000,
  maxEntries: 2_048,
  permitLifetimeMs: 300_000,
};
