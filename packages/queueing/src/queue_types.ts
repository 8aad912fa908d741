/**
 * Types and default settings of the fair queue.
 *
 * @module
 */

import type { RequestId, TeamId } from "@endivebend/types";

/** A request that waits for an engine. */
export interface QueueEntry {
  readonly requestId: RequestId;
  readonly team: TeamId;
  /** Tokens by which the request advances the team's virtual time. */
  readonly costTokens: number;
  /** Tokens that the engine has to prefill; `costTokens` when absent. */
  readonly prefillTokens?: number;
  /** Lower values are served first, among one team's requests only. */
  readonly priority?: number;
  /** Time at which the request expires, on the clock of `nowMs`. */
  readonly deadlineMs: number;
}

/** The right to send one request to the engine. */
export interface Permit {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly lane: Lane;
  readonly prefillTokens: number;
  readonly grantedAtMs: number;
  /** Value for the engine's `priority` field; lower values are served first. */
  readonly enginePriority: number;
  /** Time at which the permit ends unless it is released before. */
  readonly expiresAtMs: number;
}

/** Short prompts have a lane of their own, so they don't wait for long ones. */
export type Lane = "short" | "long";

/** The answer to `enqueue`. */
export type EnqueueResult =
  | { readonly kind: "queued" }
  | {
    readonly kind: "refused";
    readonly code: "queue_full" | "deadline_exceeded";
    /** Time after which the request is accepted if no others come first. */
    readonly retryAfterMs: number;
  };

/** What the caller of `grantPermits` knows about the engine. */
export interface EngineState {
  /** False while the engine is leaving, suspect or loading weights. */
  readonly takesNewWork: boolean;
  /** Prefill tokens at the engine that did not pass through this queue. */
  readonly externalPrefillTokens?: number;
}

/** Result of `grantPermits`. */
export interface GrantResult {
  readonly permits: readonly Permit[];
  /** Entries whose deadline passed while they waited. */
  readonly expired: readonly QueueEntry[];
}

/** Settings of a `FairQueue`. */
export interface FairQueueOptions {
  /** Prefill rate of the engine that is assumed until it is measured. */
  readonly prefillTokensPerMs: number;
  /** Maximum number of requests that run at the engine at once. */
  readonly maxRunningRequests: number;
  /**
   * Another long request is granted while fewer prefill tokens than this are
   * left at the engine, so that the engine does not become idle.
   */
  readonly windowTokens: number;
  /** Prompts with at most this many tokens to prefill use the short lane. */
  readonly shortPrefillTokens: number;
  /** Limit on the prefill tokens of the short lane that are at the engine. */
  readonly shortWindowTokens: number;
  /**
   * Tokens by which short prompts may be served ahead of the long prompts of
   * other teams.
   */
  readonly maxShortLeadTokens: number;
  /** Maximum number of waiting requests of one team. */
  readonly maxTeamEntries: number;
  /** Maximum sum of `costTokens` of one team's waiting requests. */
  readonly maxTeamTokens: number;
  /** Maximum number of waiting requests of all teams. */
  readonly maxEntries: number;
  /** Time after which a permit expires if it is not released. */
  readonly permitLifetimeMs: number;
}

/** Defaults for engines that prefill about ten tokens per millisecond. */
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
