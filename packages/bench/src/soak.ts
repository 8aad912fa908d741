/**
 * `npm run soak`: long randomized runs of routing, queueing and limits. The
 * invariants are asserted in the product's code; a run also fails when a
 * request gets no answer or a team exceeds its rate and burst.
 *
 * @module
 */

import { parseArgs } from "node:util";
import fc from "fast-check";
import { loadHasher } from "@endivebend/routing";
import * as limits from "@endivebend/limits";
import { POLICIES } from "./policies.ts";
import { randomRun, traceOf } from "./random_deployment.ts";
import type { RandomRun } from "./random_deployment.ts";
import { hashTrace, runTrace } from "./run_trace.ts";

const BATCH_RUNS = 20;
const MS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    minutes: { type: "string", default: "1" },
  },
});

await loadHasher();
process.exitCode = soak(Number(values.seed), Number(values.minutes));

function soak(firstSeed: number, minutes: number): number {
  const soakLimits = limitsSoak();
  // The limits get half of the time when they have a soak of their own.
  const shares = soakLimits === undefined ? 1 : 2;
  const shareMinutes = minutes / shares;
  const isRoutingSound = soakRouting(firstSeed, shareMinutes);
  if (soakLimits === undefined) {
    console.log("limits: packages/limits exports no runLimitsSoak; not run");
    return isRoutingSound ? 0 : 1;
  }
  const report = soakLimits({
    seed: firstSeed,
    minutes: shareMinutes,
    nowWallMs: Date.now,
  });
  console.log("limits:", JSON.stringify(report));
  return isRoutingSound && report.failedSeeds.length === 0 ? 0 : 1;
}

function soakRouting(firstSeed: number, minutes: number): boolean {
  const endMs = Date.now() + minutes * MS_PER_MINUTE;
  const property = fc.property(randomRun, assertSound);
  let seed = firstSeed;
  do {
    const outcome = fc.check(property, { seed, numRuns: BATCH_RUNS });
    if (outcome.failed) {
      console.log(`routing and queueing: failed at seed ${seed}`);
      console.log(fc.defaultReportMessage(outcome));
      console.log(String(outcome.errorInstance));
      return false;
    }
    seed++;
  } while (Date.now() < endMs);
  const runs = (seed - firstSeed) * BATCH_RUNS;
  console.log(
    `routing and queueing: ${runs} runs, seeds ${firstSeed} to ${
      seed - 1
    }, no fault`,
  );
  return true;
}

function assertSound(run: RandomRun): void {
  const trace = traceOf(run);
  const blocks = hashTrace(trace);
  const policy = POLICIES.find(({ name }) => name === "endivebend")!;
  const { row, details } = runTrace(trace, { policy, blocks });
  const lost = details.refused.get("lost") ?? 0;
  if (lost > 0) {
    throw new Error(`${lost} requests got neither a token nor a refusal`);
  }
  if (row.limit_excess_tokens > 0) {
    throw new Error(`${row.limit_excess_tokens} tokens beyond rate and burst`);
  }
}

/** The soak of `packages/limits`, when that package has one. */
function limitsSoak(): LimitsSoak | undefined {
  const found: unknown = Reflect.get(limits, "runLimitsSoak");
  return typeof found === "function" ? found as LimitsSoak : undefined;
}

type LimitsSoak = (options: {
  readonly seed: number;
  readonly minutes: number;
  readonly nowWallMs: () => number;
}) => { readonly failedSeeds: readonly number[] };
