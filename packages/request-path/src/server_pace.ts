/**
 * The pace of each backend server: how many prompt tokens it reads per
 * millisecond at this moment, how long its calls take, and how many requests it
 * should have. Engines of one service may differ in speed by a factor of three,
 * and one may take 2.5 times as long for half a second; placed as if they were
 * equal, the busiest engine has twice the mean work.
 *
 * @module
 */

import type { KnownServer } from "./server_registry.ts";
import type { RouteName } from "./types.ts";

/** The pace of one server at one moment. */
export interface ServerPace {
  /** Prompt tokens that the server reads per millisecond at this moment. */
  readonly tokensPerMs: number;
  /**
   * The same while the server also generates: a queue of prompts shrinks at
   * this pace. Where the pace is measured, the two are equal.
   */
  readonly queueTokensPerMs: number;
  /** How long work takes at this moment, as a multiple of the usual time. */
  readonly slowdown: number;
  /** Requests that all daemons together should have there now. */
  readonly maxRunning: number;
  /** Service time of a plain call of the route at this moment. */
  callMs(route: RouteName): number;
}

/** Where placements look up the pace of servers. */
export interface PaceLookup {
  /** Asked for every candidate of a placement; does no I/O. */
  of(server: KnownServer, nowMs: number): ServerPace;
}
