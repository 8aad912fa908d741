import test from "ava";
import fc from "fast-check";
import { Fleet, type ServiceFault } from "./testing/fleet.ts";
import type { AppendFault } from "./testing/fake_log.ts";

const seed = Number(process.env["SEED"] ?? 20260704);
const numRuns = Number(process.env["RUNS"] ?? 300);
const VM_COUNT = 3;
const FAULTS_END_MS = 20_000;

type Step =
  & { readonly atMs: number; readonly vm: number }
  & (
    | {
      readonly kind: "call";
      readonly key: number;
      readonly timeoutMs: number;
    }
    | { readonly kind: "restart" }
    | { readonly kind: "pause"; readonly forMs: number }
    | { readonly kind: "outage"; readonly forMs: number }
    | { readonly kind: "truncate"; readonly keep: number }
  );

const times = { atMs: fc.nat(12_000), vm: fc.nat(VM_COUNT - 1) };
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      ...times,
      kind: fc.constant("call" as const),
      key: fc.nat(3),
      timeoutMs: fc.constantFrom(20, 200, 2000, 6000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ ...times, kind: fc.constant("restart" as const) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...times,
      kind: fc.constant("pause" as const),
      forMs: fc.nat(5000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...times,
      kind: fc.constant("outage" as const),
      forMs: fc.nat(9000),
    }),
  },
);

const appendFault: fc.Arbitrary<AppendFault> = fc.record({
  kind: fc.constantFrom(
    "none",
    "none",
    "refused",
    "lost_request",
    "lost_answer",
    "twice",
  ),
  delayMs: fc.constantFrom(1, 5, 300, 2500, 5000),
  laterMs: fc.constantFrom(1, 5, 300, 2500),
});

const serviceFault: fc.Arbitrary<ServiceFault> = fc.record({
  kind: fc.constantFrom(
    "none",
    "none",
    "not_sent",
    "fails_after_run",
    "never_answers",
  ),
  delayMs: fc.constantFrom(1, 20, 500, 3000),
});

interface Script {
  readonly lagsMs: readonly number[];
  readonly steps: readonly Step[];
  readonly appendFaults: readonly AppendFault[];
  readonly serviceFaults: readonly ServiceFault[];
}

const scripts: fc.Arbitrary<Script> = fc.record({
  lagsMs: fc.array(fc.constantFrom(0, 2, 40, 900), {
    minLength: VM_COUNT,
    maxLength: VM_COUNT,
  }),
  steps: fc.array(step, { minLength: 5, maxLength: 40 }),
  appendFaults: fc.array(appendFault, { maxLength: 60 }),
  serviceFaults: fc.array(serviceFault, { maxLength: 25 }),
});

function perform(fleet: Fleet, step: Step): void {
  const nowMs = fleet.time.elapsedMs();
  if (step.kind === "restart") fleet.restart(step.vm);
  if (step.kind === "pause") {
    fleet.vm(step.vm).time.pauseUntil(nowMs + step.forMs);
  }
  if (step.kind === "outage") {
    fleet.log.outages.push({ fromMs: nowMs, untilMs: nowMs + step.forMs });
  }
  if (step.kind === "truncate") {
    const { log } = fleet;
    log.firstOffset = Math.max(log.firstOffset, log.records.length - step.keep);
  }
  if (step.kind !== "call") return;
  const { timeoutMs } = step;
  void fleet.call(step.vm, `key-${step.key}`, { timeoutMs });
}

async function runScript(script: Script): Promise<Fleet> {
  const fleet = new Fleet({ lagsMs: script.lagsMs });
  fleet.log.faults.push(...script.appendFaults);
  fleet.serviceFaults.push(...script.serviceFaults);
  const steps = [...script.steps].sort((a, b) => a.atMs - b.atMs);
  for (const step of steps) {
    await fleet.time.runUntil(step.atMs);
    perform(fleet, step);
  }
  await fleet.time.runUntil(FAULTS_END_MS);
  fleet.log.faults.length = 0;
  fleet.serviceFaults.length = 0;
  await fleet.time.runUntil(FAULTS_END_MS + 10_000);
  return fleet;
}

/**
 * Returns how the run broke the rules: a key runs at most once, a call reported
 * as not_run did not run, and all answers of a key are equal.
 */
function findViolations(fleet: Fleet): string[] {
  const faults: string[] = [];
  const runsByKey = new Map<string, number>();
  for (const { key } of fleet.runs) {
    runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
  }
  for (const [key, runs] of runsByKey) {
    if (runs > 1) faults.push(`${key} ran ${runs} times`);
  }
  const ranRequests = new Set(fleet.runs.map((run) => run.requestId));
  const answers = new Map<string, string>();
  for (const { requestId, key = "", ran, answer } of fleet.results) {
    if (ran === "not_run" && ranRequests.has(requestId)) {
      faults.push(`${requestId} ran although not_run was reported`);
    }
    if (answer === undefined) continue;
    const first = answers.get(key) ?? answer;
    answers.set(key, first);
    if (first !== answer) faults.push(`${key}: ${first}, then ${answer}`);
  }
  return faults;
}

test("under faults of every kind a key runs once, not_run is true, and answers agree", async (t) => {
  t.log(`seed ${seed}, ${numRuns} runs; set SEED and RUNS for others`);
  const totals = { calls: 0, answered: 0, notRun: 0, unknown: 0, runs: 0 };
  await fc.assert(
    fc.asyncProperty(scripts, async (script) => {
      const fleet = await runScript(script);
      const ranBefore = new Set(fleet.runs.map((run) => run.key));
      // With the log available again, every VM gives the same answer to a key.
      const resultCountBefore = fleet.results.length;
      for (const key of [0, 1, 2, 3].map((n) => `key-${n}`)) {
        for (let vm = 0; vm < VM_COUNT; vm++) void fleet.call(vm, key);
      }
      await fleet.time.runUntil(FAULTS_END_MS + 20_000);
      const faults = findViolations(fleet);
      const repeats = fleet.results.slice(resultCountBefore);
      if (repeats.length !== 4 * VM_COUNT) {
        faults.push("A repeated call got no result");
      }
      for (const { key = "", ran, answer } of repeats) {
        if (ran === "not_run") {
          faults.push(`${key} is refused with the log available again`);
        }
        if (answer === undefined && !ranBefore.has(key) && ran !== "unknown") {
          faults.push(`${key} never ran and got ${ran}`);
        }
      }
      for (const { ran, answer } of fleet.results) {
        totals.calls++;
        if (answer !== undefined) totals.answered++;
        if (ran === "not_run") totals.notRun++;
        if (ran === "unknown") totals.unknown++;
      }
      totals.runs += fleet.runs.length;
      if (faults.length > 0) throw new Error(faults.join("; "));
    }),
    { seed, numRuns },
  );
  t.log(JSON.stringify(totals));
  t.true(totals.answered > 0 && totals.notRun > 0 && totals.unknown > 0);
});

const truncation: fc.Arbitrary<Step> = fc.record({
  ...times,
  kind: fc.constant("truncate" as const),
  keep: fc.integer({ min: 1, max: 4 }),
});

test("with a log that drops records too early a key still runs once", async (t) => {
  t.log(`seed ${seed}, ${numRuns} runs; set SEED and RUNS for others`);
  const truncations = fc.array(truncation, { minLength: 1, maxLength: 5 });
  await fc.assert(
    fc.asyncProperty(scripts, truncations, async (script, truncationSteps) => {
      const steps = [...script.steps, ...truncationSteps];
      const faults = findViolations(await runScript({ ...script, steps }));
      if (faults.length > 0) throw new Error(faults.join("; "));
      t.pass();
    }),
    { seed, numRuns },
  );
});
