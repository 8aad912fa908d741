import test from "ava";
import {
  type PaceCall,
  type PaceScenario,
  runPaceScenario,
} from "./testing_pace.ts";

const SEEDS = [1, 2, 3, 4, 5];
/** Engines have three speeds, and are slow for 15% of the time. */
const SPEEDS = Array.from(
  { length: 12 },
  (_, index) => [0.6, 1, 1.6][index % 3]!,
);
const SCENARIO: PaceScenario = {
  seed: 1,
  usesPace: true,
  statesFigure: true,
  speeds: SPEEDS,
  daemons: 24,
  longPerS: 45,
  shortPerS: 60,
  endMs: 11_000,
};
/** The first answers only teach. */
const FROM_MS = 3_000;

function lateShare(calls: readonly PaceCall[]): number {
  const late = calls.filter(({ firstEventMs, targetMs }) =>
    firstEventMs === undefined || firstEventMs > targetMs
  );
  return late.length / calls.length;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))]!;
}

function measure(fields: Partial<PaceScenario>) {
  const scenario = { ...SCENARIO, ...fields };
  const { calls, states } = runPaceScenario(scenario);
  const counted = calls.filter(({ atMs }) =>
    atMs >= FROM_MS && atMs < scenario.endMs - 1_500
  );
  const errors = counted.flatMap(({ guessMs, firstEventMs }) => {
    if (guessMs === 0 || firstEventMs === undefined) return [];
    const ratio = guessMs / firstEventMs;
    return [Math.max(ratio, 1 / ratio)];
  });
  const readMs = states.map((all) => all.at(-1)!.readMs);
  const meanMs = readMs.reduce((sum, ms) => sum + ms, 0) / readMs.length;
  return {
    lateLong: lateShare(counted.filter(({ isLong }) => isLong)),
    lateShort: lateShare(counted.filter(({ isLong }) => !isLong)),
    refused: counted.filter(({ engine }) => engine < 0).length / counted.length,
    errorMedian: quantile(errors, 0.5),
    error99: quantile(errors, 0.99),
    busiest: Math.max(...readMs) / meanMs,
    busyShare: meanMs / scenario.endMs,
  };
}

type Figures = ReturnType<typeof measure>;

/** The worst of each figure over all seeds. */
function worst(fields: Partial<PaceScenario>): Figures {
  const all = SEEDS.map((seed) => measure({ ...fields, seed }));
  const names = Object.keys(all[0]!) as (keyof Figures)[];
  return Object.fromEntries(
    names.map((name) => [name, Math.max(...all.map((one) => one[name]))]),
  ) as Figures;
}

function describe(figures: Figures): string {
  return Object.entries(figures)
    .map(([name, value]) => `${name} ${value.toFixed(2)}`).join(", ");
}

// Engines of three speeds were placed as equals, and the daemons all chose the
// same idle one: one in six of the long prompts came late.
test("fewer prompts are late where the pace of engines is learned", (t) => {
  const off = worst({ usesPace: false });
  const on = worst({ usesPace: true });
  t.log(`off: ${describe(off)}`);
  t.log(`on: ${describe(on)}`);
  t.true(on.lateLong < off.lateLong / 2);
  t.true(on.lateShort <= off.lateShort + 0.005);
  t.is(on.refused, 0);
  t.true(on.errorMedian < off.errorMedian);
  t.true(on.busyShare < off.busyShare);
  const busiestShare = on.busiest * on.busyShare;
  t.true(busiestShare <= off.busiest * off.busyShare * 1.05);
});

test("the pace of engines is learned also where they state no figure", (t) => {
  // With more daemons each needs longer than the run to tell them apart.
  const fields = { statesFigure: false, daemons: 4, endMs: 13_000 };
  const off = worst({ ...fields, usesPace: false });
  const on = worst({ ...fields, usesPace: true });
  t.log(`off: ${describe(off)}`);
  t.log(`on: ${describe(on)}`);
  t.true(on.lateLong < off.lateLong);
  t.true(on.busyShare < off.busyShare);
});

test("equal engines that state no figure are used as before", (t) => {
  const fields = { speeds: SPEEDS.map(() => 1), statesFigure: false };
  for (const seed of SEEDS) {
    const off = runPaceScenario({
      ...SCENARIO,
      ...fields,
      seed,
      usesPace: false,
    });
    const on = runPaceScenario({ ...SCENARIO, ...fields, seed });
    t.deepEqual(on.calls, off.calls);
  }
});

/** What became of an engine that is listed at 5 s. */
function start(fields: Partial<PaceScenario>, speed: number) {
  const atMs = 5_000;
  const { calls, states } = runPaceScenario({
    ...SCENARIO,
    ...fields,
    speeds: SPEEDS.slice(0, 11),
    lateEngine: { speed, atMs },
  });
  const engine = states.length - 1;
  const share = (fromMs: number, untilMs: number) => {
    const sent = calls.filter((call) =>
      call.atMs >= fromMs && call.atMs < untilMs && call.engine >= 0
    );
    return sent.filter((call) => call.engine === engine).length /
      sent.length * states.length;
  };
  const first = states[engine]!.filter((state) => state.atMs < atMs + 800);
  return {
    peak: Math.max(...first.map(({ running }) => running)),
    firstShare: share(atMs, atMs + 300),
    laterShare: share(atMs + 2_500, SCENARIO.endMs),
    refused: calls.filter((call) => call.engine < 0).length,
  };
}

// All daemons saw an idle engine at once and sent it up to six times its part.
for (const speed of [0.6, 1.6]) {
  test(`an engine of speed ${speed} that starts is neither flooded nor idle`, (t) => {
    for (const seed of SEEDS) {
      const off = start({ seed, usesPace: false }, speed);
      const on = start({ seed }, speed);
      t.log(`seed ${seed} off: ${JSON.stringify(off)}`);
      t.log(`seed ${seed} on: ${JSON.stringify(on)}`);
      t.true(on.peak <= 8);
      t.true(on.laterShare > 0.25 * speed);
      t.true(on.laterShare < 2.5 * speed);
      t.is(on.refused, 0);
    }
  });
}
