import test from "ava";
import {
  type KeyedRecord,
  type LogPosition,
  logPosition,
  RecordFollower,
  type RecordSource,
  RecordTable,
} from "./mod.ts";

/** A store whose answers to reads a test holds back. */
class HeldStore implements RecordSource {
  era = 1;
  records: KeyedRecord[] = [];

  put(text: string): void {
    const position = logPosition(this.era, this.records.length);
    this.records.push({ key: "config", value: Buffer.from(text), position });
  }

  restore(kept: number): void {
    this.era += 1;
    this.records = this.records.slice(0, kept).map((record, offset) => ({
      ...record,
      position: logPosition(this.era, offset),
    }));
  }

  newest() {
    const next = logPosition(this.era, this.records.length);
    return Promise.resolve({ records: this.records.slice(-1), next });
  }

  /** Reads that may wait are never answered, as on a silent connection. */
  read(from: LogPosition, waitMs: number): ReturnType<RecordSource["read"]> {
    if (waitMs > 0) return new Promise(() => {});
    const next = logPosition(this.era, this.records.length);
    if (from > next || from < logPosition(this.era, 0)) {
      return Promise.resolve({ kind: "gap" });
    }
    const records = this.records.filter(({ position }) => position >= from);
    return Promise.resolve({ kind: "records", records, next });
  }
}

// A process that goes on after a pause renews what it holds before it acts.
test("a renewal brings the newest records also when the store was restored meanwhile", async (t) => {
  const store = new HeldStore();
  const applied: string[] = [];
  const follower = new RecordFollower({
    source: store,
    clock: { wallMs: () => 0, elapsedMs: () => 0, steadyMs: () => 0 },
    scheduler: { after: () => () => {} },
    waitMs: 8_000,
    minReadIntervalMs: 0,
    table: new RecordTable((records) =>
      applied.push(...records.map(({ value }) => String(value)))
    ),
    lost: t.fail,
    regained: t.fail,
  });
  for (const text of ["first", "lost"]) store.put(text);
  follower.start();
  await new Promise(setImmediate);
  store.restore(1);
  store.put("renewed");
  await follower.refresh();
  t.deepEqual(applied, ["lost", "renewed"]);
});

// An answer may wait in a process that was paused, and tell of a time before.
test("records were read when the read began, not when its answer came", async (t) => {
  const store = new HeldStore();
  let nowMs = 1_000;
  const follower = new RecordFollower({
    source: {
      era: 1,
      newest: () => store.newest(),
      read: async (from, waitMs) => {
        const result = await store.read(from, waitMs);
        nowMs += 5_000;
        return result;
      },
    },
    clock: { wallMs: () => nowMs, elapsedMs: () => nowMs },
    scheduler: { after: () => () => {} },
    waitMs: 0,
    minReadIntervalMs: 400,
    table: new RecordTable(() => {}),
    lost: t.fail,
    regained: t.fail,
  });
  store.put("first");
  await follower.refresh();
  t.is(follower.readAtMs, 1_000);
  await follower.refresh();
  t.is(nowMs, 6_000);
  t.is(follower.readAtMs, 1_000);
});
