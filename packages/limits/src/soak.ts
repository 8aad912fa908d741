/**
 * Soak test: simulates random fleets under random faults. In no time window
 * may a team be granted more than burst plus rate times the window's length.
 *
 * @module
 */

import { randomPlan } from "./simulation/random_plan.ts";
import { runFleet, type RunResult } from "./simulation/run.ts";

/** Result of a soak test. */
export interface LimitsSoakReport {
  readonly runs: number;
  readonly grantedTokens: number;
  /** Seeds of runs in which a team got more than its limit. */
  readonly failedSeeds: readonly number[];
  /** Tokens above the limit in the worst window of all runs. */
  readonly largestExcessTokens: number;
}

/** Simulates one run; the same seed gives the same result. */
export function runLimitsSeed(seed: number): RunResult {
  return runFleet(randomPlan(seed));
}

/**
 * Simulates seeds from `seed` on until the time is over; at least one run.
 *
 * @example
 * ```ts
 * const report = runLimitsSoak({ seed: 1, minutes: 10, nowWallMs: Date.now });
 * ```
 */
export function runLimitsSoak(options: {
  readonly seed: number;
  readonly minutes: number;
  readonly nowWallMs: () => number;
}): LimitsSoakReport {
  const endMs = options.nowWallMs() + options.minutes * 60_000;
  const failedSeeds: number[] = [];
  let largestExcessTokens = 0;
  let grantedTokens = 0;
  let runs = 0;
  do {
    const seed = options.seed + runs++;
    const result = runLimitsSeed(seed);
    grantedTokens += result.grantedTokens;
    largestExcessTokens = Math.max(largestExcessTokens, result.excessTokens);
    const hasFailed = result.excessTokens > 0 ||
      result.excessCapacityTokens > 0;
    if (hasFailed) failedSeeds.push(seed);
  } while (options.nowWallMs() < endMs);
  return { runs, grantedTokens, failedSeeds, largestExcessTokens };
}
