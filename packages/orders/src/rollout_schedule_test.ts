import test from "ava";
import { brandId, type VmId } from "@endivebend/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { WeightsRolloutTask } from "./mod.ts";
import { maxEnginesOut, MeanSpan, weightsDueAtMs } from "./rollout_schedule.ts";
import {
  EngineFleet,
  type EngineFleetFigures,
  type EngineFleetOptions,
} from "./testing_engines.ts";
import { LeaseRecords } from "./testing_lease_log.ts";

/** Set SEED and RUNS to play other seeds, and more of them. */
const SEED = Number(process.env.SEED ?? 1);
const SEEDS = Number(process.env.RUNS ?? 2);
const LENGTH_MS = 26_000;
const FIRST_NAME_MS = 2_000;

/** Sizes of sites with their bounds on the use of older weights. */
const SITES = [
  { engines: 2, weightsBoundMs: 8_000 },
  { engines: 8, weightsBoundMs: 8_000 },
  { engines: 48, weightsBoundMs: 8_000 },
  { engines: 82, weightsBoundMs: 10_000 },
  { engines: 117, weightsBoundMs: 10_000 },
] as const;

/** Plays the rollout by a holder of the lease that nothing disturbs. */
function play(options: EngineFleetOptions): Promise<EngineFleetFigures> {
  const fleet = new EngineFleet(options);
  const records = new LeaseRecords();
  const task = new WeightsRolloutTask({
    self: brandId<VmId>("vm-1"),
    incarnation: "vm-1-first",
    clock: fleet.clock,
    scheduler: fleet.scheduler,
    log: {
      read: () => Promise.resolve(records.read()),
      append: (record, end) => Promise.resolve(records.append(record, end)),
    },
    orders: fleet.orders,
    leaseMs: 3_000,
    weightsBoundMs: options.weightsBoundMs,
    engines: () => fleet.known(),
    candidates: () => [],
    rank: (members) => members,
    reachesStore: () => true,
    reachesEngines: () => true,
    onWeightsChange({ server, weights, isDone }) {
      if (isDone) fleet.learn(server, weights);
    },
    logDecision() {},
  });
  task.start();
  return fleet.run(LENGTH_MS);
}

/** Three names, 2 to 5 s apart. */
function threeNames(seed: number): number[] {
  const random = xoroshiro128plus(seed);
  const secondMs = FIRST_NAME_MS + uniformInt(random, 2_000, 5_000);
  return [FIRST_NAME_MS, secondMs, secondMs + uniformInt(random, 2_000, 5_000)];
}

async function playSeeds(
  options: Omit<EngineFleetOptions, "seed" | "namedAtMs">,
  namesOf: (seed: number) => readonly number[],
): Promise<(EngineFleetFigures & { readonly seed: number })[]> {
  const all = [];
  for (let seed = SEED; seed < SEED + SEEDS; seed++) {
    const namedAtMs = namesOf(seed);
    all.push({ seed, ...await play({ ...options, seed, namedAtMs }) });
  }
  return all;
}

for (const { engines, weightsBoundMs } of SITES) {
  const quarter = Math.floor(engines / 4);
  for (const darkEngines of new Set([0, quarter])) {
    test.serial(`${engines} engines, ${darkEngines} of them dark, have each version 1 s before its bound`, async (t) => {
      for (const utilisation of [0.3, 0.7]) {
        const all = await playSeeds({
          engines,
          weightsBoundMs,
          utilisation,
          longRunShare: 0,
          darkEngines,
        }, threeNames);
        for (const { seed, ...figures } of all) {
          const trace = `seed ${seed}, ${utilisation} busy`;
          t.log(trace, JSON.stringify(figures));
          t.true(figures.slowestMs <= weightsBoundMs - 1_000, trace);
          t.is(figures.supersededOrders, 0, trace);
          t.is(figures.domainsClosed, 0, trace);
        }
      }
    });
  }

  test.serial(`with runs of up to 6 s, ${engines} engines are ordered before they may get no more requests`, async (t) => {
    const all = await playSeeds({
      engines,
      weightsBoundMs,
      utilisation: 0.7,
      longRunShare: 0.03,
      darkEngines: 0,
    }, threeNames);
    for (const { seed, ...figures } of all) {
      t.log(`seed ${seed}`, JSON.stringify(figures));
      t.true(figures.peakShareOut <= 2 / 3, `seed ${seed}`);
      t.true(figures.idlePastDue <= 0.01, `seed ${seed}`);
    }
  });

  test.serial(`of ${engines} engines with time to spare, at most a third are out`, async (t) => {
    const all = await playSeeds({
      engines,
      weightsBoundMs: 30_000,
      utilisation: 0.3,
      longRunShare: 0.03,
      darkEngines: 0,
    }, () => [FIRST_NAME_MS]);
    const most = Math.max(engines / 3, Math.min(2, engines / 2)) / engines;
    for (const { seed, peakShareOut, slowestMs } of all) {
      t.true(peakShareOut <= most, `seed ${seed}: ${peakShareOut}`);
      t.true(slowestMs < LENGTH_MS - FIRST_NAME_MS, `seed ${seed}`);
    }
  });
}

test("fewer engines are out while the others are busy and time is ample", (t) => {
  const input = { serving: 82, outageMs: 2_000, nowMs: 0 };
  const dueAtMs = Array.from({ length: 82 }, () => 60_000);
  t.is(maxEnginesOut({ ...input, dueAtMs, freeShare: 0.8 }), 27);
  t.is(maxEnginesOut({ ...input, dueAtMs, freeShare: 0.2 }), 16);
  t.is(maxEnginesOut({ ...input, dueAtMs, freeShare: 0 }), 11);
});

test("more engines are out as the deadline nears, up to two thirds", (t) => {
  const limits = [0, 4_000, 5_000, 8_000].map((nowMs) =>
    maxEnginesOut({
      serving: 82,
      freeShare: 0,
      dueAtMs: Array.from({ length: 82 }, () => 12_000),
      outageMs: 2_000,
      nowMs,
    })
  );
  t.deepEqual(limits, [16, 26, 30, 54]);
});

test("one of two engines goes on serving", (t) => {
  const input = { serving: 2, freeShare: 1, outageMs: 2_000, nowMs: 9_000 };
  t.is(maxEnginesOut({ ...input, dueAtMs: [10_000, 10_000] }), 1);
});

test("an engine is due before requests may reach it too late to start", (t) => {
  t.is(weightsDueAtMs(2_000, 8_000), 8_500);
  t.is(weightsDueAtMs(undefined, 8_000), undefined);
});

test("a mean counts spans that go on once they are longer than the others", (t) => {
  const span = new MeanSpan(1_000);
  span.record(12_000, 4);
  t.is(span.meanMs(), 2_000);
  t.is(span.meanMs([500, 1_900]), 2_000);
  t.is(span.meanMs([6_500]), 2_500);
});
