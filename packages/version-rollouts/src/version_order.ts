/**
 * An order to move a service to another software version, and what daemons tell
 * each other of it.
 *
 * @module
 */

import type { RouteName, SoftwareVersion } from "@endivebend/request-path";
import type { BackendServerId, ServiceName } from "@endivebend/types";

/** The operator's order. */
export interface VersionOrder {
  readonly service: ServiceName;
  readonly to: SoftwareVersion;
  /** Time from the order within which it has to end. */
  readonly durationMs: number;
  /** Position of the order's record; a later order has a higher one. */
  readonly position: number;
}

/** The bounds on what a bad version may get; site settings. */
export interface RolloutBounds {
  /** Share of the service's requests during the order. */
  readonly exposeShare: number;
  /** Requests beyond that share. */
  readonly exposeSlack: number;
  /** Time after the fiftieth bad answer when nothing may be sent any more. */
  readonly rollbackMs: number;
}

/** How an order ended. */
export type FinalPhase = "succeeded" | "rolled_back";

/** A version that is found bad is stopped before the status says so. */
export type RolloutPhase = "running" | "stopped" | FinalPhase;

/** Which requests go to the new version; the holder of the lease decides it. */
export interface RolloutPlan {
  /** The epoch of the holder's lease; a plan of a lower one is out of date. */
  readonly epoch: number;
  /** Share of new requests; all from 1 on. */
  readonly share: number;
  /** The new servers that take them; all when empty. */
  readonly servers: readonly BackendServerId[];
  /** How long the plan holds without another one. */
  readonly validMs: number;
}

/** What a daemon tells of an order. */
export interface RolloutNews {
  readonly service: ServiceName;
  readonly to: SoftwareVersion;
  /** Position of the order's record. */
  readonly order: number;
  readonly durationMs: number;
  /** Time since the order. */
  readonly ageMs: number;
  /** Set while no daemon that saw the order come has told its age. */
  readonly isAgeGuessed?: boolean;
  readonly phase: RolloutPhase;
  /** The share that the sender applies. */
  readonly applied: number;
  /** Versions of earlier orders that did not succeed; they get no requests. */
  readonly barred?: readonly SoftwareVersion[];
  /** Present in the messages of the holder. */
  readonly plan?: RolloutPlan;
}

/**
 * Answers that have begun, failures and ended answers of the new version; answers, failures and slow answers of
 * the other versions, how many of theirs have begun, and the sum of the times
 * until then, in hundredths of what is expected.
 */
export type RouteCounts = readonly [
  answers: number,
  failed: number,
  ended: number,
  otherAnswers: number,
  otherFailed: number,
  otherSlow: number,
  otherBegun: number,
  otherPace: number,
];

/** Answers of one new server on one route that its own trouble may explain. */
export type DoubtfulCounts = readonly [lost: number, slow: number];

/** What a daemon's process has counted since an order; counters only rise. */
export interface VersionCounts {
  readonly service: ServiceName;
  readonly order: number;
  readonly routes: Readonly<Record<RouteName, RouteCounts>>;
  /**
   * Lost connections and slow answers of new servers, by server and route; the
   * server's own trouble may explain them. They are not among the answers.
   */
  readonly doubtful?: Readonly<
    Record<BackendServerId, Readonly<Record<RouteName, DoubtfulCounts>>>
  >;
  /** Requests of the service, and those sent to the new version. */
  readonly requests: number;
  readonly exposed: number;
}
