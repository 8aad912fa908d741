import test from "ava";
import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import type { Clock, Scheduler } from "../ports.ts";
import { LogFollower } from "./follower.ts";
import type {
  AppendAnswer,
  LogClient,
  PeerRecords,
  ReadAnswer,
} from "./log_client.ts";

const never = new Promise<never>(() => {});

function makeRecord(offset: number, recordId = `r-${offset}`): LogRecord {
  const value = { recordId };
  return { offset: brandId<LogOffset>(offset), appendedAtMs: 0, value };
}

/** A clock and scheduler whose time advances only when a timer runs. */
class VirtualTime implements Clock, Scheduler {
  #nowMs = 0;
  #timers: { readonly atMs: number; readonly task: () => void }[] = [];

  wallMs(): number {
    return this.#nowMs;
  }

  elapsedMs(): number {
    return this.#nowMs;
  }

  after(delayMs: number, task: () => void): () => void {
    const timer = { atMs: this.#nowMs + delayMs, task };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Runs timers in order until the promise has settled. */
  async runUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    void promise.finally(() => {
      isSettled = true;
    });
    while (true) {
      await new Promise((resolve) => setImmediate(resolve));
      if (isSettled) return promise;
      const [next] = this.#timers.sort((a, b) => a.atMs - b.atMs);
      if (next === undefined) continue;
      this.#timers = this.#timers.filter((other) => other !== next);
      this.#nowMs = next.atMs;
      next.task();
    }
  }
}

function createFollower(options: {
  readonly time: VirtualTime;
  readonly log?: Partial<LogClient>;
  readonly peer?: () => PeerRecords | undefined;
  readonly applied?: number[];
  readonly restored?: string[];
}): LogFollower {
  const { time, applied = [], restored = [] } = options;
  return new LogFollower({
    stream: "configuration",
    fold: {
      apply: ({ offset }) => applied.push(offset),
      restore: (json) => restored.push(json),
    },
    log: { append: () => never, read: () => never, ...options.log },
    peers: { fetch: () => Promise.resolve(options.peer?.()) },
    clock: time,
    scheduler: time,
    logger: { info() {}, warn() {}, error() {} },
    pollWaitMs: 1000,
  });
}

// Guards against a change that waits for the timeout of a silent connection.
test("a follower whose long poll hangs receives a record through a peer", async (t) => {
  const time = new VirtualTime();
  const follower = createFollower({
    time,
    peer: () => ({ records: [makeRecord(0), makeRecord(1)], nextOffset: 2 }),
  });
  void follower.start();
  const offset = brandId<LogOffset>(1);
  const applied = follower.whenApplied(offset, { deadlineElapsedMs: 10 });
  follower.onPeerProgress(2);
  t.true(await applied);
  t.is(time.elapsedMs(), 0);
  follower.stop();
});

// Guards against a configuration that reverts to a peer's older state.
test("a snapshot behind the state is not restored", async (t) => {
  const time = new VirtualTime();
  const restored: string[] = [];
  const answers: PeerRecords[] = [
    { records: [makeRecord(0), makeRecord(1)], nextOffset: 2 },
    { records: [], nextOffset: 9, snapshot: { json: "old", offset: 0 } },
  ];
  const follower = createFollower({
    time,
    restored,
    peer: () => answers.shift(),
  });
  follower.onPeerProgress(2);
  const offset = brandId<LogOffset>(1);
  t.true(await follower.whenApplied(offset, { deadlineElapsedMs: 10 }));
  follower.onPeerProgress(9);
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(restored, []);
  t.is(follower.nextOffset(), 2);
});

// Guards against a restarted daemon that never becomes ready: the log had
// dropped its oldest records and held no snapshot, and no peer was asked for
// one because the log answered.
test("after a gap a peer's snapshot completes the state", async (t) => {
  const time = new VirtualTime();
  const restored: string[] = [];
  const applied: number[] = [];
  let isComplete = true;
  const pages: ReadAnswer[] = [
    { kind: "truncated", firstOffset: 5 },
    {
      kind: "records",
      records: [makeRecord(5), makeRecord(6)],
      firstOffset: 5,
      nextOffset: 7,
    },
  ];
  const requestedOffsets: number[] = [];
  const snapshot = { json: "whole", offset: 6 };
  const follower = new LogFollower({
    stream: "configuration",
    fold: {
      apply: ({ offset }) => applied.push(offset),
      onGap: () => isComplete = false,
      isComplete: () => isComplete,
      restore(json) {
        restored.push(json);
        isComplete = true;
      },
    },
    log: {
      append: () => never,
      read: () => Promise.resolve(pages.shift() ?? never),
    },
    peers: {
      fetch(_stream, fromOffset) {
        requestedOffsets.push(fromOffset);
        const isKnown = applied.length > 0;
        return Promise.resolve(
          isKnown ? { records: [], nextOffset: 7, snapshot } : undefined,
        );
      },
    },
    clock: time,
    scheduler: time,
    logger: { info() {}, warn() {}, error() {} },
    pollWaitMs: 1000,
  });
  void follower.start();
  while (applied.length < 2) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.false(follower.isCaughtUp());
  follower.onPeerProgress(7);
  while (restored.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.deepEqual(restored, ["whole"]);
  t.is(requestedOffsets.at(-1), -1, "a snapshot was requested");
  t.true(follower.isCaughtUp());
  t.is(follower.nextOffset(), 7);
  follower.stop();
});

// Guards against a change that is reported as failed although it is in force.
test("an append whose answer was lost is confirmed by reading back", async (t) => {
  const time = new VirtualTime();
  const pages: ReadAnswer[] = [];
  const follower = createFollower({
    time,
    log: {
      append() {
        const records = [makeRecord(0, "mine")];
        pages.push({ kind: "records", records, firstOffset: 0, nextOffset: 1 });
        return Promise.resolve<AppendAnswer>({ kind: "lost", reason: "reset" });
      },
      read() {
        const page = pages.shift();
        return page === undefined
          ? Promise.reject(new Error("nothing new"))
          : Promise.resolve(page);
      },
    },
  });
  void follower.start();
  const record = { recordId: "mine", kind: "key_granted" };
  const result = await time.runUntilSettled(
    follower.append(record, { deadlineElapsedMs: 5000 }),
  );
  t.deepEqual(result, { kind: "appended", offset: brandId<LogOffset>(0) });
  follower.stop();
});

// Guards against reporting "not run" for a record that a slow platform still
// appends.
test("after a lost answer an append is never reported as not appended", async (t) => {
  const time = new VirtualTime();
  const answers: AppendAnswer[] = [{ kind: "lost", reason: "timeout" }];
  const refused: AppendAnswer = { kind: "refused", reason: "unreachable" };
  const follower = createFollower({
    time,
    log: { append: () => Promise.resolve(answers.shift() ?? refused) },
  });
  const record = { recordId: "mine", kind: "intent" };
  const lost = await time.runUntilSettled(
    follower.append(record, { deadlineElapsedMs: 2000 }),
  );
  t.is(lost.kind, "unknown");
  const unreachable = await time.runUntilSettled(
    follower.append(record, { deadlineElapsedMs: 4000 }),
  );
  t.is(unreachable.kind, "not_appended");
});
