import test from "ava";
import { Batcher } from "./mod.ts";

const settings = {
  maxRecords: 3,
  maxBytes: 100,
  maxWaitMs: 5,
  maxInFlight: 2,
};

test("a single record is taken after the wait, and a full batch at once", (t) => {
  const batcher = new Batcher<string>(settings);
  t.is(batcher.nextDueMs(), undefined);
  batcher.add("a", { bytes: 1, nowMs: 10 });
  t.is(batcher.take(14), undefined);
  t.is(batcher.nextDueMs(), 15);
  t.deepEqual(batcher.take(15), ["a"]);
  for (const item of ["b", "c", "d", "e"]) {
    batcher.add(item, { bytes: 1, nowMs: 20 });
  }
  t.deepEqual(batcher.take(20), ["b", "c", "d"]);
  t.is(batcher.waitingCount, 1);
});

test("a record with a longer wait is taken along with one that is due", (t) => {
  const batcher = new Batcher<string>(settings);
  batcher.add("outcome", { bytes: 1, nowMs: 0, maxWaitMs: 50 });
  t.is(batcher.nextDueMs(), 50);
  batcher.add("intent", { bytes: 1, nowMs: 10 });
  t.is(batcher.nextDueMs(), 15);
  t.deepEqual(batcher.take(15), ["outcome", "intent"]);
});

test("a batch stays within its bytes unless it is a single large record", (t) => {
  const batcher = new Batcher<string>(settings);
  batcher.add("large", { bytes: 500, nowMs: 0 });
  batcher.add("a", { bytes: 60, nowMs: 0 });
  batcher.add("b", { bytes: 60, nowMs: 0 });
  t.deepEqual(batcher.take(0), ["large"]);
  t.deepEqual(batcher.take(0), ["a"]);
});

test("no more appends run concurrently than the bound allows", (t) => {
  const batcher = new Batcher<string>({ ...settings, maxRecords: 1 });
  for (const item of ["a", "b", "c"]) batcher.add(item, { bytes: 1, nowMs: 0 });
  batcher.take(0);
  batcher.take(0);
  t.is(batcher.take(100), undefined);
  t.is(batcher.nextDueMs(), undefined);
  batcher.appendEnded();
  t.deepEqual(batcher.take(100), ["c"]);
});
