import test from "ava";
import { type RecordedOrder, SimulatedEngines } from "./testing_engines.ts";

/** Time after a name when requests may no longer begin on older weights. */
const WEIGHTS_BOUND_MS = 8_000;
const FIRST_NAME_MS = 2_000;
const AFTERWARDS_MS = 16_000;
const GAPS_MS = [2_000, 3_000, 4_000, 5_000] as const;
const SIZES = [6, 12, 24] as const;
const SIZES_WITH_DARK_ENGINES = [8, 48, 82] as const;
/** A call to a dark engine and the delay before the next take 1.7 s. */
const DARK_FOR_MS = WEIGHTS_BOUND_MS - 2_000;
/** Time until the runs of the least and the most busy engine have ended. */
const RUNS_MS = [[1_000, 3_000], [3_000, 5_000]] as const;

type RunsMs = typeof RUNS_MS[number];

/** Engine by engine the load grows; the last one is always the busiest. */
function loadsOf(engines: number, [leastMs, mostMs]: RunsMs) {
  return Array.from({ length: engines }, (_, index) => {
    const share = index / (engines - 1);
    return {
      running: Math.round(20 + 40 * share),
      runsMs: leastMs + (mostMs - leastMs) * share,
    };
  });
}

/** Names that follow each other at every combination of gaps. */
function namesOf(count: number): number[][] {
  if (count === 1) return [[FIRST_NAME_MS]];
  return namesOf(count - 1).flatMap((namedAtMs) =>
    GAPS_MS.map((gapMs) => [...namedAtMs, namedAtMs.at(-1)! + gapMs])
  );
}

interface Play {
  readonly title: string;
  readonly simulated: SimulatedEngines;
}

async function playAll(names: number): Promise<Play[]> {
  const plays: Play[] = [];
  for (const engines of SIZES) {
    for (const runsMs of RUNS_MS) {
      for (const namedAtMs of namesOf(names)) {
        const simulated = new SimulatedEngines({
          loads: loadsOf(engines, runsMs),
          namedAtMs,
          weightsBoundMs: WEIGHTS_BOUND_MS,
        });
        await simulated.play(namedAtMs.at(-1)! + AFTERWARDS_MS);
        const title =
          `${engines} engines with runs of ${runsMs.join(" to ")} ` +
          `ms, named at ${namedAtMs.join(", ")} ms`;
        plays.push({ title, simulated });
      }
    }
  }
  return plays;
}

/** Engines without an order though the deadline of their weights has passed. */
function overdueAt({ atMs, engines }: RecordedOrder): string[] {
  return engines
    .filter(({ isLoading, weightsDeadlineMs = Infinity }) =>
      !isLoading && weightsDeadlineMs < atMs
    )
    .map(({ id }) => String(id));
}

function isLate({ atMs, id, engines }: RecordedOrder): boolean {
  const { weightsDeadlineMs = Infinity } = engines.find((engine) =>
    engine.id === id
  )!;
  return atMs > weightsDeadlineMs;
}

for (const names of [2, 3]) {
  test(`no engine is ordered while another is past the deadline of its weights, names: ${names}`, async (t) => {
    for (const { title, simulated } of await playAll(names)) {
      const wrong = simulated.orders
        .filter((order) => overdueAt(order).some((id) => id !== order.id))
        .map(({ atMs, id }) => `${id} at ${atMs} ms`);
      t.deepEqual(wrong, [], title);
    }
  });
}

for (const names of [1, 2, 3]) {
  test(`every engine is ordered before the deadline of its weights, names: ${names}`, async (t) => {
    for (const { title, simulated } of await playAll(names)) {
      t.true(simulated.areCurrent, title);
      const late = simulated.orders.filter(isLate)
        .map(({ atMs, id }) => `${id} at ${atMs} ms`);
      t.deepEqual(late, [], title);
    }
  });
}

for (const engines of SIZES_WITH_DARK_ENGINES) {
  test(`engines that were dark for a while are ordered before the deadline of their weights, ${engines} engines`, async (t) => {
    for (const runsMs of RUNS_MS) {
      const darkUntilMs = FIRST_NAME_MS + DARK_FOR_MS;
      const loads = loadsOf(engines, runsMs).map((load, index) =>
        index % 4 === 3 ? { ...load, darkUntilMs } : load
      );
      const simulated = new SimulatedEngines({
        loads,
        namedAtMs: [FIRST_NAME_MS],
        weightsBoundMs: WEIGHTS_BOUND_MS,
      });
      await simulated.play(FIRST_NAME_MS + AFTERWARDS_MS);
      t.true(simulated.areCurrent);
      const late = simulated.orders.filter(isLate)
        .map(({ atMs, id }) => `${id} at ${atMs} ms`);
      t.deepEqual(late, [], `runs of ${runsMs.join(" to ")} ms`);
    }
  });
}
