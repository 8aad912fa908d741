/**
 * Generates random simulation plans for soak tests.
 *
 * @module
 */

import { Random } from "./random.ts";
import type { Fault, RunPlan } from "./run.ts";

const FAULT_KINDS: readonly Fault["kind"][] = [
  "pause",
  "restart",
  "restart_domain",
  "replace",
  "partition",
  "log_down",
  "release",
  "transfer",
  "set_domains",
];
const MAX_PICK = 1000;

/** Generates the plan of one run; it depends only on the seed. */
export function randomPlan(seed: number): RunPlan {
  const random = new Random(seed);
  const durationMs = 20_000;
  const faults = Array.from({ length: random.int(0, 12) }, (): Fault => ({
    kind: random.pick(FAULT_KINDS) ?? "pause",
    atMs: random.int(500, durationMs),
    durationMs: random.int(100, 8000),
    pick: random.int(0, MAX_PICK),
  }));
  return {
    seed,
    domains: random.int(1, 4),
    vmsPerDomain: random.int(1, 3),
    loanLeaseMs: random.pick([200, 1000, 2000]) ?? 2000,
    floorFraction: random.pick([0, 0.25, 0.5, 1]) ?? 0,
    rateTokensPerSecond: random.pick([1, 37, 1000, 50_000]) ?? 1000,
    burstTokens: random.pick([10, 500, 2000, 100_000]) ?? 2000,
    load: random.pick([0.5, 1, 3]) ?? 1,
    skew: random.pick([0, 0.5, 1]) ?? 0,
    lossProbability: random.pick([0, 0.02, 0.2]) ?? 0,
    faults,
    durationMs,
  };
}
