/**
 * How late load and cache knowledge may be before it is worse than none:
 * `npx tsx packages/bench/src/staleness.ts`.
 *
 * @module
 */

import { loadHasher } from "@endivebend/routing";
import { DEPLOYMENTS } from "./deployments.ts";
import { Fleet } from "./fleet.ts";
import type { FleetOptions } from "./fleet.ts";
import { generateTrace } from "./generate_trace.ts";
import { LimitsAdmission } from "./limits_admission.ts";
import type { ResultRow } from "./metrics.ts";
import { hashTrace, runTrace } from "./run_trace.ts";
import type { Trace } from "./trace.ts";

const SEEDS = [1, 2, 3, 4, 5];
const REQUESTS = 4_000;
const CACHE_DELAYS_MS = [0, 200, 1_000, 5_000, 10_000, 30_000, 60_000];
const LOAD_LAGS_MS = [0, 500, 1_000, 2_000, 5_000, 10_000, 30_000];
/** Loads that never arrive within the trace. */
const NEVER_MS = 1e9;

interface Point {
  readonly name: string;
  readonly options: Partial<FleetOptions>;
  /** Delay of cache events, instead of the trace's. */
  readonly eventDelayMs?: number;
}

const POINTS: readonly Point[] = [true, false].flatMap((correctsChoices) =>
  pointsOf(correctsChoices)
);

await loadHasher();
console.log("point".padEnd(44), "hit rate", "p99 ms", "wasted tokens");
for (const point of POINTS) {
  const rows = SEEDS.map((seed) => runPoint(point, seed));
  const mean = (field: (row: ResultRow) => number) =>
    rows.reduce((sum, row) => sum + field(row), 0) / rows.length;
  console.log(
    point.name.padEnd(44),
    mean((row) => row.prefix_hit_rate).toFixed(4).padEnd(8),
    mean((row) => row.ttft_p99_ms).toFixed(0).padEnd(6),
    mean((row) => row.wasted_recompute_tokens).toFixed(0),
  );
}

function pointsOf(correctsChoices: boolean): Point[] {
  const suffix = correctsChoices ? "" : ", uncorrected";
  const late = CACHE_DELAYS_MS.map((eventDelayMs) => ({
    name: `cache events ${eventDelayMs} ms late${suffix}`,
    options: { correctsChoices },
    eventDelayMs,
  }));
  const lagging = LOAD_LAGS_MS.map((extraLoadLagMs) => ({
    name: `loads ${extraLoadLagMs} ms late${suffix}`,
    options: { correctsChoices, extraLoadLagMs },
  }));
  return [
    ...late,
    {
      name: `no cache events${suffix}`,
      options: { correctsChoices, usesCacheKnowledge: false },
    },
    ...lagging,
    {
      name: `no loads${suffix}`,
      options: { correctsChoices, extraLoadLagMs: NEVER_MS },
    },
  ];
}

function runPoint(point: Point, seed: number): ResultRow {
  const deployment = DEPLOYMENTS["tollhaven"]!;
  const generated = generateTrace(deployment, { seed, requests: REQUESTS });
  const trace = withDelay(generated, point.eventDelayMs);
  const policy = {
    name: point.name,
    create: (world: ConstructorParameters<typeof Fleet>[0]) =>
      new Fleet(world, point.options),
    admission: (world: ConstructorParameters<typeof Fleet>[0]) =>
      new LimitsAdmission(world),
  };
  return runTrace(trace, { policy, blocks: hashTrace(trace) }).row;
}

function withDelay(trace: Trace, eventDelayMs: number | undefined): Trace {
  if (eventDelayMs === undefined) {
    return trace;
  }
  const network = {
    ...trace.header.network,
    eventDelayMs,
    eventJitterMs: 1,
    // A gap makes the watcher fetch the whole set, which is not late.
    eventLossFraction: 0,
  };
  return { ...trace, header: { ...trace.header, network } };
}
