import test from "ava";
import {
  brandId,
  type KeyId,
  type LogOffset,
  type Sha256Digest,
} from "@endivebend/types";
import { FakeLog, INITIAL_RECORDS, startTask } from "./test_support.ts";

const digest = brandId<Sha256Digest>("1".repeat(64));
const keyId = brandId<KeyId>(`key-${"1".repeat(24)}`);
const withdrawal = { recordId: "w-1", kind: "key_withdrawn", keyId };
const options = { deadlineElapsedMs: 1_000 };
const refused = { kind: "refused", code: "key_withdrawn" };

function startTwoVms() {
  const log = new FakeLog();
  const first = startTask(log, "vm-1");
  const second = startTask(log, "vm-2");
  log.records.push(...INITIAL_RECORDS);
  log.deliver();
  return { log, time: log.time, first: first.task, second: second.task };
}

// Guards against a withdrawn key that stays valid while the log is unavailable.
test("a key is blocked locally and at peers while the log is unavailable", async (t) => {
  const { log, time, first, second } = startTwoVms();
  log.mode = "down";
  let changeCount = 0;
  first.onChange(() => changeCount++);
  t.is(first.checkKey(digest).kind, "valid");
  const result = await first.propose(withdrawal, options);
  t.is(result.kind, "not_appended");
  t.is(changeCount, 1);
  t.deepEqual(first.checkKey(digest) as unknown, refused);
  second.mergeBlockedDigests([...first.blockedDigests(), "no digest"]);
  t.deepEqual(second.checkKey(digest) as unknown, refused);

  time.nowMs = 5_000;
  await first.runMaintenance();
  t.is(log.records.length, 3);
  log.mode = "up";
  await first.runMaintenance();
  t.is(log.records.length, 4);
  for (const task of [first, second]) {
    t.deepEqual(task.blockedDigests(), []);
    t.deepEqual(task.checkKey(digest) as unknown, refused);
  }
});

// Guards against a withdrawal that is lost with the VM that received it.
test("a peer appends the withdrawal when its origin has ended", async (t) => {
  const { log, time, first, second } = startTwoVms();
  log.mode = "down";
  await first.propose(withdrawal, options);
  second.mergeBlockedDigests(first.blockedDigests());
  log.mode = "up";
  await second.runMaintenance();
  t.is(log.records.length, 3, "the origin appends first");
  time.nowMs = 60_000;
  await second.runMaintenance();
  t.is(log.records.at(-1)?.kind, "key_withdrawn");
});

// Guards against a change that is applied twice when the caller retries after a
// lost answer.
test("a retry with the same record id returns the first verdict", async (t) => {
  const { log, first } = startTwoVms();
  const change = {
    recordId: "c-1",
    kind: "team_created",
    team: "st-anne",
    template: "chime",
  };
  log.mode = "answers_lost";
  t.is((await first.propose(change, options)).kind, "unknown");
  log.mode = "up";
  log.deliver();
  const repeatedResult = await first.propose(change, options);
  t.like(repeatedResult, {
    kind: "accepted",
    offset: 3,
    revision: 1,
    isNew: false,
  });
  t.is(log.records.length, 4);
  const other = await first.propose({ ...change, team: "st-john" }, options);
  t.like(other, { kind: "refused", field: "recordId" });
});

// Guards against several writers of one snapshot, and against no writer when
// the first VM in rendezvous order cannot reach the platform.
test("one VM writes a due snapshot, and another VM writes an overdue one", async (t) => {
  const { log, time, first, second } = startTwoVms();
  const count = () =>
    log.records.filter(({ kind }) => kind === "snapshot_part").length;
  time.nowMs = 499_000;
  await Promise.all([first.runMaintenance(), second.runMaintenance()]);
  t.is(count(), 0);
  time.nowMs = 550_000;
  await Promise.all([first.runMaintenance(), second.runMaintenance()]);
  t.is(count(), 1);

  const lateVms = startTwoVms();
  lateVms.time.nowMs = 700_000;
  await lateVms.first.runMaintenance();
  await lateVms.second.runMaintenance();
  t.is(
    lateVms.log.records.filter(({ kind }) => kind === "snapshot_part").length,
    1,
  );
});

// Guards against a VM that serves from a partial configuration after a gap.
test("a task whose log was truncated is ready only after a snapshot", (t) => {
  const { first } = startTwoVms();
  const restartedTask = startTask(new FakeLog(), "vm-2").task;
  restartedTask.onGap(brandId<LogOffset>(2));
  t.false(restartedTask.isReady());
  const { json, offset } = first.snapshot();
  restartedTask.restore(json, offset);
  t.true(restartedTask.isReady());
  t.is(restartedTask.appliedOffset(), 2);
  t.is(restartedTask.checkKey(digest).kind, "valid");
});
