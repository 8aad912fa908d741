import test from "ava";
import { Fleet } from "./testing/fleet.ts";

const lagsMs = [1, 3];

function lastResult(fleet: Fleet) {
  return fleet.results.at(-1);
}

test("a repeated call on any VM gets the recorded answer and is not run again", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  for (const vm of [0, 0, 1]) {
    void fleet.call(vm, "k");
    await fleet.time.runUntil(fleet.time.elapsedMs() + 500);
    t.is(lastResult(fleet)?.answer, "booking 1");
  }
  t.is(fleet.runs.length, 1);
});

test("concurrent calls with one key on two VMs run once", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  for (const vm of [0, 1, 1, 0]) void fleet.call(vm, "k");
  await fleet.time.runUntil(1000);
  t.deepEqual(fleet.results.map((r) => r.answer), Array(4).fill("booking 1"));
  t.is(fleet.runs.length, 1);
});

test("the records of many concurrent calls are written in few appends", async (t) => {
  const fleet = new Fleet({ lagsMs: [1] });
  await fleet.time.runUntil(100);
  for (let n = 0; n < 300; n++) void fleet.call(0, `k${n}`);
  await fleet.time.runUntil(1000);
  t.is(fleet.runs.length, 300);
  const { appends, records } = fleet.log;
  t.is(records.length, 600);
  t.true(appends <= 12, `${appends} appends for 600 records`);
});

test("an intent whose append answer was lost is not dispatched after not_run was reported", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  // The append takes effect after the caller's deadline.
  fleet.log.faults.push({ kind: "lost_answer", delayMs: 2500, laterMs: 0 });
  void fleet.call(0, "k");
  await fleet.time.runUntil(2200);
  t.like(lastResult(fleet), { ran: "not_run", code: "platform_unavailable" });
  await fleet.time.runUntil(5000);
  t.is(fleet.runs.length, 0);
  void fleet.call(1, "k");
  await fleet.time.runUntil(6000);
  t.is(lastResult(fleet)?.answer, "booking 1");
});

test("a repeated call on another VM waits for the aborted record of a live VM", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  fleet.serviceFaults.push({ kind: "not_sent", delayMs: 5 });
  // The intent is appended; the aborted record needs a second append.
  fleet.log.faults.push({ kind: "none", delayMs: 2, laterMs: 2 });
  fleet.log.faults.push({ kind: "refused", delayMs: 0, laterMs: 0 });
  void fleet.call(0, "k");
  await fleet.time.runUntil(150);
  t.like(lastResult(fleet), { ran: "not_run", code: "no_backend_server" });
  void fleet.call(1, "k");
  await fleet.time.runUntil(200);
  t.is(fleet.results.length, 1);
  await fleet.time.runUntil(1000);
  t.is(lastResult(fleet)?.answer, "booking 1");
});

test("a failure after the first byte is unknown, also to repeated calls", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  fleet.serviceFaults.push({ kind: "fails_after_run", delayMs: 5 });
  for (const vm of [0, 1, 0]) {
    void fleet.call(vm, "k");
    await fleet.time.runUntil(fleet.time.elapsedMs() + 500);
    t.like(lastResult(fleet), { ran: "unknown", code: "outcome_unknown" });
  }
  t.is(fleet.runs.length, 1);
});

test("a restarted daemon dispatches no call of its earlier incarnation", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  fleet.serviceFaults.push({ kind: "none", delayMs: 1000 });
  void fleet.call(0, "k");
  await fleet.time.runUntil(200);
  fleet.restart(0);
  await fleet.time.runUntil(1000);
  void fleet.call(0, "k");
  await fleet.time.runUntil(1500);
  t.like(lastResult(fleet), { code: "outcome_unknown" });
  t.is(fleet.runs.length, 1);
  const outcomes = fleet.log.records.map((r) => r.value as { kind: string });
  t.deepEqual(outcomes.map((value) => value.kind), ["intent", "outcome"]);
});

test("a daemon that was paused past the deadline aborts instead of dispatching", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  fleet.log.faults.push({ kind: "none", delayMs: 50, laterMs: 20 });
  void fleet.call(0, "k");
  await fleet.time.runUntil(140);
  fleet.vm(0).time.pauseUntil(9000);
  await fleet.time.runUntil(9100);
  t.is(fleet.runs.length, 0);
  t.is(lastResult(fleet)?.ran, "not_run");
  void fleet.call(1, "k");
  await fleet.time.runUntil(9900);
  t.is(lastResult(fleet)?.answer, "booking 1");
});

test("while the log is unavailable only declared routes and recorded answers are served", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  void fleet.call(0, "known");
  await fleet.time.runUntil(500);
  fleet.log.outages.push({ fromMs: 500, untilMs: 60_000 });
  await fleet.time.runUntil(10_000);
  void fleet.call(0, "new");
  void fleet.call(1, "known");
  void fleet.call(0, "d", { route: { deduplicates: true } });
  void fleet.call(0, undefined, { route: { unkeyed: true } });
  await fleet.time.runUntil(10_100);
  const byKey = (key: string | undefined) =>
    fleet.results.findLast((result) => result.key === key);
  t.like(byKey("new"), { ran: "not_run", code: "platform_unavailable" });
  t.is(byKey("known")?.answer, "booking 1");
  t.truthy(byKey("d")?.answer);
  t.truthy(byKey(undefined)?.answer);
});

test("an answer over the size limit is not truncated: a repeated call learns that it ran", async (t) => {
  const fleet = new Fleet({ lagsMs, settings: { maxAnswerBytes: 5 } });
  await fleet.time.runUntil(100);
  void fleet.call(0, "k");
  await fleet.time.runUntil(500);
  t.is(lastResult(fleet)?.answer, "booking 1");
  void fleet.call(1, "k");
  await fleet.time.runUntil(1000);
  t.like(lastResult(fleet), { ran: "ran", code: "answer_not_kept" });
});

test("a repeated call with another body is refused while the first still runs", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  fleet.serviceFaults.push({ kind: "none", delayMs: 500 });
  void fleet.call(0, "k");
  await fleet.time.runUntil(200);
  for (const vm of [0, 1]) void fleet.call(vm, "k", { body: "other" });
  await fleet.time.runUntil(300);
  const codes = fleet.results.map((result) => result.code);
  t.deepEqual(codes, ["idempotency_key_reused", "idempotency_key_reused"]);
});

test("a planned stop waits until every outcome is in the log", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  const { task } = fleet.vm(0);
  fleet.log.faults.push({ kind: "none", delayMs: 2, laterMs: 2 });
  fleet.log.faults.push({ kind: "refused", delayMs: 0, laterMs: 0 });
  void fleet.call(0, "k");
  await fleet.time.runUntil(125);
  t.is(task.unsettledCalls, 1);
  const drained = task.drain({ deadlineElapsedMs: 5000 });
  await fleet.time.runUntil(1000);
  t.true(await drained);
  t.is(fleet.log.records.length, 2);
});

test("a key whose records the log dropped before they were read is not run again", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  for (const key of ["k", "other"]) {
    void fleet.call(1, key);
    await fleet.time.runUntil(fleet.time.elapsedMs() + 500);
  }
  fleet.log.firstOffset = 3;
  fleet.restart(0);
  await fleet.time.runUntil(2000);
  void fleet.call(0, "k");
  await fleet.time.runUntil(3000);
  t.like(lastResult(fleet), { code: "idempotency_key_expired" });
  t.is(fleet.runs.length, 2);
});

test("a daemon paused during a truncation of the log detects the gap before it dispatches", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  fleet.vm(0).time.pauseUntil(1500);
  void fleet.call(1, "k");
  await fleet.time.runUntil(600);
  fleet.log.firstOffset = 2;
  void fleet.call(0, "k", { timeoutMs: 5000 });
  await fleet.time.runUntil(4000);
  t.like(lastResult(fleet), { code: "idempotency_key_expired" });
  t.is(fleet.runs.length, 1);
});

test("records that the log dropped by age do not keep a new daemon from serving", async (t) => {
  const fleet = new Fleet({ lagsMs });
  await fleet.time.runUntil(100);
  void fleet.call(1, "k");
  await fleet.time.runUntil(600);
  fleet.log.firstOffset = 2;
  fleet.restart(0);
  await fleet.time.runUntil(1000);
  for (const key of ["a", "b"]) {
    void fleet.call(0, key);
    await fleet.time.runUntil(fleet.time.elapsedMs() + 500);
    t.truthy(lastResult(fleet)?.answer);
  }
});
