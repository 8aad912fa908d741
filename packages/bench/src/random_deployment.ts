/**
 * Random deployments, traffic and failures for long runs.
 *
 * @module
 */

import fc from "fast-check";
import { DEPLOYMENTS } from "./deployments.ts";
import { generateTrace } from "./generate_trace.ts";
import type { FaultEvent, Trace } from "./trace.ts";

const REQUESTS = 150;

/** What a random run varies. */
export interface RandomRun {
  readonly name: string;
  readonly seed: number;
  readonly cacheBlocks: number;
  readonly storeBlocks: number;
  readonly eventDelayMs: number;
  readonly eventJitterMs: number;
  readonly eventLossFraction: number;
  readonly loadFactor: number;
  readonly rateFactor: number;
  readonly deadlineMs: number;
  readonly faults: readonly {
    readonly kind: FaultEvent["kind"];
    readonly at: number;
    readonly member: number;
    readonly durationMs: number;
  }[];
}

/** Runs from calm to hopeless. */
export const randomRun: fc.Arbitrary<RandomRun> = fc.record({
  name: fc.constantFrom("tollhaven", "siegelwerk"),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  cacheBlocks: fc.integer({ min: 1, max: 200 }),
  storeBlocks: fc.integer({ min: 0, max: 1_000 }),
  eventDelayMs: fc.integer({ min: 0, max: 3_000 }),
  eventJitterMs: fc.integer({ min: 1, max: 2_000 }),
  eventLossFraction: fc.double({ min: 0, max: 0.9, noNaN: true }),
  loadFactor: fc.double({ min: 0.2, max: 5, noNaN: true }),
  rateFactor: fc.double({ min: 0.2, max: 2, noNaN: true }),
  deadlineMs: fc.integer({ min: 500, max: 30_000 }),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom("engine_crash", "events_lost", "routers_restart"),
      at: fc.double({ min: 0, max: 1, noNaN: true }),
      member: fc.integer({ min: 0, max: 10 }),
      durationMs: fc.integer({ min: 1, max: 8_000 }),
    }),
    { maxLength: 12 },
  ),
});

/**
 * The trace of a random run.
 *
 * @example
 * ```ts
 * const [run] = fc.sample(randomRun, { seed: 1, numRuns: 1 });
 * const trace = traceOf(run);
 * ```
 */
export function traceOf(run: RandomRun): Trace {
  const deployment = DEPLOYMENTS[run.name]!;
  const { header, workload } = deployment;
  const varied = {
    header: {
      ...header,
      engines: header.engines.map((engine) => ({
        ...engine,
        cacheBlocks: run.cacheBlocks,
      })),
      store: { ...header.store, capacityBlocks: run.storeBlocks },
      teams: header.teams.map((team) => ({
        ...team,
        rateTokensPerSecond: Math.round(
          team.rateTokensPerSecond * run.rateFactor,
        ),
      })),
      network: {
        ...header.network,
        eventDelayMs: run.eventDelayMs,
        eventJitterMs: run.eventJitterMs,
        eventLossFraction: run.eventLossFraction,
      },
      ttftDeadlineMs: run.deadlineMs,
    },
    workload: {
      ...workload,
      longPerSecond: workload.longPerSecond * run.loadFactor,
      shortPerSecond: workload.shortPerSecond * run.loadFactor,
    },
  };
  const trace = generateTrace(varied, { seed: run.seed, requests: REQUESTS });
  const events = [...trace.events, ...faultsOf(run, trace)];
  events.sort((a, b) => a.atMs - b.atMs);
  return { header: trace.header, events };
}

function faultsOf(run: RandomRun, trace: Trace): FaultEvent[] {
  const { engines, routers } = trace.header;
  const endMs = trace.events.at(-1)?.atMs ?? 0;
  return run.faults.map(({ kind, at, member, durationMs }): FaultEvent => {
    const atMs = Math.round(at * endMs);
    const engine = engines[member % engines.length]!.id;
    if (kind === "engine_crash") {
      return { kind, atMs, engine, downMs: durationMs };
    }
    if (kind === "events_lost") {
      return { kind, atMs, engine, durationMs };
    }
    const ids = routers.slice(0, 1 + member % routers.length);
    const restarted = ids.map(({ id }) => id);
    return { kind, atMs, routers: restarted, downMs: durationMs };
  });
}
