/**
 * A long run of random fleets under random faults: no window of any team may
 * hold more than burst plus rate times its length.
 *
 * @module
 */

import { randomPlan } from "./simulation/random_plan.ts";
import { runFleet, type RunResult } from "./simulation/run.ts";

/** What a soak saw. */
export interface LimitsSoakReport {
  readonly runs: number;
  readonly grantedTokens: number;
  /** Seeds of runs in which a team got more than its limit. */
  readonly failedSeeds: readonly number[];
  /** Tokens above the limit in the worst window of all runs. */
  readonly largestExcessTokens: number;
}

/** Makes one run from its seed; the same seed gives the same result. */
export function runLimitsSeed(seed: number): RunResult {
  return runFleet(randomPlan(seed));
}

/**
 * Runs seeds from `seed` on until the time is over.
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
