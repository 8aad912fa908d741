import test from "ava";
import fc from "fast-check";
import type { LogRecord } from "@endivebend/types";
import { CommitmentState, readSnapshot, writeSnapshot } from "./mod.ts";
import {
  answered,
  HOUR_MS,
  keyDigest,
  settings,
  START_MS,
  TestLog,
} from "./test_support.ts";

const seed = Number(process.env["SEED"] ?? 20260703);

test("the first intent holds the key and a later one never does", (t) => {
  const log = new TestLog();
  log.intent("i1", "k");
  log.intent("i2", "k", "vm-2/a");
  t.like(log.state.get(keyDigest("k")), { status: "open", intentId: "i1" });
  log.aborted("i1", "k");
  t.is(log.state.get(keyDigest("k"))?.status, "free");
  // A delayed second copy of either record must not hold the key.
  log.intent("i2", "k", "vm-2/a");
  log.intent("i1", "k");
  t.is(log.state.get(keyDigest("k"))?.status, "free");
  log.intent("i3", "k", "vm-2/a");
  t.like(log.state.get(keyDigest("k")), { intentId: "i3", attempts: 2 });
});

test("an intent that comes after its own aborted record never holds the key", (t) => {
  const log = new TestLog();
  log.aborted("i1", "k");
  log.intent("i1", "k");
  t.is(log.state.get(keyDigest("k"))?.status, "free");
});

test("only the writer may abort an intent, and not after its outcome", (t) => {
  const log = new TestLog();
  log.intent("i1", "k");
  log.aborted("i1", "k", "vm-1/b");
  t.is(log.state.get(keyDigest("k"))?.status, "open");
  log.outcome("i1", "k", {});
  log.aborted("i1", "k");
  t.is(log.state.get(keyDigest("k"))?.status, "settled");
});

test("a restarted VM may settle its predecessor's intent only as unknown", (t) => {
  const log = new TestLog();
  log.intent("i1", "k");
  log.outcome("i1", "k", { writer: "vm-1/b" });
  log.outcome("i1", "k", {
    writer: "vm-2/a",
    outcome: { result: "unknown" },
  });
  t.is(log.state.get(keyDigest("k"))?.status, "open");
  log.outcome("i1", "k", {
    writer: "vm-1/b",
    outcome: { result: "unknown" },
  });
  log.outcome("i1", "k", {});
  t.deepEqual(log.state.get(keyDigest("k"))?.outcome, { result: "unknown" });
});

test("an outcome whose intent is missing from the log settles the key", (t) => {
  const log = new TestLog();
  log.outcome("i1", "k", {});
  t.is(log.state.get(keyDigest("k"))?.status, "settled");
});

test("old answers are dropped at the bound, but not the fact that a call ran", (t) => {
  const log = new TestLog({ maxAnswersBytes: 20 });
  for (const key of ["a", "b", "c"]) {
    log.intent(key, key);
    log.outcome(key, key, { outcome: answered("0123456") });
  }
  t.deepEqual(log.state.get(keyDigest("a"))?.outcome, {
    result: "answer_not_kept",
    status: 201,
  });
  t.is(log.state.get(keyDigest("c"))?.outcome?.result, "answered");
  t.true(log.state.answersBytes <= 20);
});

test("keys expire after the retention, or are evicted and raise the horizon", (t) => {
  const log = new TestLog({ maxKeys: 2 });
  for (const key of ["a", "b", "c"]) log.intent(key, key);
  t.is(log.state.keyCount, 2);
  t.is(log.state.horizonMs, log.nowMs);
  log.nowMs += 2 * HOUR_MS + 1;
  log.intent("d", "d");
  t.is(log.state.keyCount, 1);
  t.is(log.state.horizonMs, undefined);
});

test("a record that cannot be parsed changes nothing", (t) => {
  const log = new TestLog();
  log.append({ kind: "intent", recordId: "x" });
  log.append("intent");
  t.is(log.state.keyCount, 0);
  t.is(log.state.malformedRecords, 2);
});

interface Step {
  readonly kind: "intent" | "aborted" | "outcome" | "unknown";
  readonly intent: number;
  readonly key: number;
  readonly restarted: boolean;
  readonly waitMs: number;
}

const stepArrays = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom("intent", "aborted", "outcome", "unknown"),
    intent: fc.nat(7),
    key: fc.nat(1),
    restarted: fc.boolean(),
    // Races happen within seconds; a key may be used again hours later.
    waitMs: fc.constantFrom(0, 0, 1000, 1000, 2 * HOUR_MS - 5000, 3 * HOUR_MS),
  }),
  { maxLength: 40 },
);

/**
 * Appends the steps' records. The result of an append is known within seconds,
 * so the log gets no second copy of an intent that is hours old, nor any other
 * record for it.
 */
function writeSteps(log: TestLog, input: readonly Step[]): void {
  for (const step of input) {
    log.nowMs += step.waitMs;
    const key = `k${step.key}`;
    const hour = Math.floor((log.nowMs - START_MS) / HOUR_MS);
    const id = `${key}-i${step.intent}-${hour}`;
    const vm = `vm-${step.intent % 3}`;
    const writer = `${vm}/${step.restarted ? "b" : "a"}`;
    if (step.kind === "intent") log.intent(id, key, `${vm}/a`);
    if (step.kind === "aborted") log.aborted(id, key, writer);
    if (step.kind === "outcome") log.outcome(id, key, { writer });
    if (step.kind === "unknown") {
      log.outcome(id, key, { writer, outcome: { result: "unknown" } });
    }
  }
}

function applyAll(records: readonly LogRecord[]): CommitmentState {
  const state = new CommitmentState(settings);
  for (const record of records) state.apply(record);
  return state;
}

test("a VM that starts from the retained log or a snapshot reaches the same verdicts", (t) => {
  t.log(`seed ${seed}`);
  fc.assert(
    fc.property(stepArrays, stepArrays, (earlySteps, lateSteps) => {
      const log = new TestLog();
      writeSteps(log, earlySteps);
      const snapshot = writeSnapshot(log.state, { maxAnswersBytes: 1 << 20 });
      const restored = readSnapshot(snapshot, settings);
      const snapshotRecordCount = log.records.length;
      writeSteps(log, lateSteps);
      for (const record of log.records.slice(snapshotRecordCount)) {
        restored.apply(record);
      }
      t.deepEqual([...restored.entries()], [...log.state.entries()]);
      const firstMs = log.nowMs - settings.retentionMs;
      const retained = log.records.filter((r) => r.appendedAtMs >= firstMs);
      const lateState = applyAll(retained);
      for (const entry of log.state.entries()) {
        if (entry.status !== "free") t.truthy(lateState.get(entry.keyDigest));
      }
    }),
    { seed, numRuns: 2000 },
  );
});

/** Intents among the records that held their key when they were applied. */
function heldIntents(
  state: CommitmentState,
  records: readonly LogRecord[],
): readonly string[] {
  const held: string[] = [];
  for (const record of records) {
    const [keyDigest] = state.apply(record);
    const { kind, recordId } = record.value as Record<string, string>;
    const entry = state.get(keyDigest ?? "");
    if (kind !== "intent" || entry?.intentId !== recordId) continue;
    if (entry?.status === "open") held.push(`${record.offset} ${recordId}`);
  }
  return held;
}

test("on a VM that starts late, no intent holds a key that it does not hold elsewhere", (t) => {
  t.log(`seed ${seed}`);
  fc.assert(
    fc.property(stepArrays, stepArrays, (earlySteps, lateSteps) => {
      const log = new TestLog();
      writeSteps(log, earlySteps);
      const firstMs = log.nowMs - settings.retentionMs;
      const before = [...log.records];
      writeSteps(log, lateSteps);
      const after = log.records.slice(before.length);
      const lateState = applyAll(
        before.filter((r) => r.appendedAtMs >= firstMs),
      );
      const heldInLateState = heldIntents(lateState, after);
      const heldInFullState = new Set(heldIntents(applyAll(before), after));
      t.deepEqual(heldInLateState.filter((id) => !heldInFullState.has(id)), []);
    }),
    { seed, numRuns: 3000 },
  );
});
