/**
 * What a fleet consists of.
 *
 * @module
 */

import type { TeamRate } from "./operator.ts";

/** Size and settings of a fleet. */
export interface FleetShape {
  readonly domains: readonly string[];
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
  readonly servicesPerDomain: number;
  readonly engine: Readonly<Record<string, unknown>>;
  readonly service: Readonly<Record<string, unknown>>;
  readonly platform: Readonly<Record<string, unknown>>;
  /** Limits of the daemons that differ from their defaults. */
  readonly limits: Readonly<Record<string, unknown>>;
  /** Settings of the daemons about the platform. */
  readonly platformSettings: Readonly<Record<string, unknown>>;
  /** Rate and burst of teams that don't have their own. */
  readonly rate: TeamRate;
}

/** Two failure domains with two entry VMs, two engines and one service each. */
export const DEFAULT_SHAPE: FleetShape = {
  domains: ["fd-a", "fd-b"],
  entryVmsPerDomain: 2,
  enginesPerDomain: 2,
  servicesPerDomain: 1,
  engine: {
    decodeMsPerToken: 8,
    prefillUsPerToken: 10,
    cacheBlocks: 64,
    eventDelayMs: 100,
    loadLagMs: 200,
  },
  service: {},
  platform: { vmListLagMs: 500 },
  // Short limits, so that a scenario takes seconds; the ratios stay.
  limits: {
    streamProgressMs: 1000,
    queueWaitMs: 5000,
    drainGraceMs: 1000,
    // Below the callers' own time limit, after which a call counts as lost.
    requestTimeoutMs: 10_000,
  },
  platformSettings: {},
  rate: { tokenRatePerSecond: 1_000_000, burstTokens: 2_000_000 },
};
