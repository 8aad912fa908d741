/**
 * What a team gets from the configuration.
 *
 * @module
 */

import type { ModelName, ServiceName, TeamId } from "@endivebend/types";

/** Rate and burst of a team over the whole fleet. */
export interface TeamLimits {
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
}

/** A route to a plain service. */
export interface RouteRule {
  /** Path prefix such as `/bookings`; it covers the paths below it too. */
  readonly path: string;
  readonly methods: readonly string[];
  readonly service: ServiceName;
  /** False for calls that must run at most once. */
  readonly repeatable: boolean;
  /** Open routes need no key. */
  readonly open: boolean;
  readonly costTokens: number;
  /** The service recognizes a repeated Idempotency-Key by itself. */
  readonly deduplicates: boolean;
  /** A call without an Idempotency-Key may run once while the log is away. */
  readonly unkeyed: boolean;
  readonly requireTimedKeys: boolean;
}

/** What a daemon needs to know of a team for a request. */
export interface TeamView {
  readonly team: TeamId;
  readonly limits: TeamLimits;
  readonly services: readonly ServiceName[];
  readonly models: readonly ModelName[];
  readonly routes: readonly RouteRule[];
}
