/**
 * Limits, services and routes that the configuration gives to a team.
 *
 * @module
 */

import type { ModelName, ServiceName, TeamId } from "@endivebend/types";

/** Rate and burst of a team across all VMs. */
export interface TeamLimits {
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
}

/** A route to a plain service. */
export interface RouteRule {
  /** Path prefix such as `/bookings`; also covers the paths below it. */
  readonly path: string;
  readonly methods: readonly string[];
  readonly service: ServiceName;
  /** False for requests that must run at most once. */
  readonly repeatable: boolean;
  /** Whether requests need no key. */
  readonly open: boolean;
  readonly costTokens: number;
  /** The service itself detects a repeated Idempotency-Key. */
  readonly deduplicates: boolean;
  /**
   * A request without an Idempotency-Key may run once while the log is
   * unavailable.
   */
  readonly unkeyed: boolean;
  readonly requireTimedKeys: boolean;
}

/** Team configuration that a daemon needs to handle a request. */
export interface TeamView {
  readonly team: TeamId;
  readonly limits: TeamLimits;
  readonly services: readonly ServiceName[];
  readonly models: readonly ModelName[];
  readonly routes: readonly RouteRule[];
}
