import test from "ava";
import { RequestRun } from "./mod.ts";
import {
  answerHead,
  FakeCaller,
  routedRequest,
  testContext,
} from "./testing.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestKind } from "./types.ts";

const DEADLINE_MS = 21_000;

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

/** A stream that has brought one event. */
function start(
  fields: Partial<RequestContext> = {},
  kind: RequestKind = "resumable_stream",
) {
  const context = testContext(fields);
  const caller = new FakeCaller();
  const run = new RequestRun(context, {
    ...routedRequest(kind),
    deadlineMs: DEADLINE_MS,
    timeoutAtMs: DEADLINE_MS,
  }, caller);
  run.start();
  const { client, time } = context;
  const first = client.last;
  first.listener.sent();
  first.listener.head(answerHead());
  first.listener.data(event(1));
  return { context, caller, run, client, time, first };
}

/** The whole answer, each event once and in order. */
const WHOLE = [1, 2, 3].map((id) => event(id).toString()).join("");

// Guards against a stream that is ended before another server has taken over:
// its server was sound and only paused.
test("a silent stream waits for its server while no retry is allowed", (t) => {
  const { caller, client, time, first } = start({ tryRetry: () => false });
  time.advance(1_100);
  t.false(first.isAborted);
  t.false(caller.isAborted);
  t.is(client.attempts.length, 1);
  first.listener.data(event(2));
  first.listener.data(event(3));
  first.listener.end();
  t.is(caller.text, WHOLE);
  t.true(caller.hasEnded);
});

test("a silent stream waits for its server while there is no other", (t) => {
  const { context, caller, time, first } = start();
  for (const { listed } of [...context.registry.all()]) {
    if (listed.id === first.order.server.id) continue;
    context.registry.remove(listed.id, { nowMs: 0, mayBeBack: false });
  }
  time.advance(1_100);
  t.false(first.isAborted);
  first.listener.data(event(2));
  first.listener.data(event(3));
  first.listener.end();
  t.is(caller.text, WHOLE);
});

for (
  const [how, refuse] of [
    ["refused", { status: 503, isNotRun: true }],
    ["an error", { status: 500 }],
    ["misdirected", { status: 421, isMisdirected: true }],
  ] as const
) {
  test(`a silent stream goes on where its replacement is ${how}`, (t) => {
    const { caller, client, time, first } = start();
    time.advance(1_100);
    t.is(client.attempts.length, 2);
    t.false(first.isAborted);
    client.last.listener.sent();
    client.last.listener.head(answerHead(refuse));
    t.true(client.last.isAborted);
    t.false(first.isAborted);
    first.listener.data(event(2));
    first.listener.data(event(3));
    first.listener.end();
    t.is(caller.text, WHOLE);
  });
}

test("a server that goes on before its replacement answers keeps the stream", (t) => {
  const { caller, client, time, first } = start();
  time.advance(1_100);
  const second = client.last;
  second.listener.sent();
  second.listener.head(answerHead());
  first.listener.data(event(2));
  t.true(second.isAborted);
  second.listener.data(event(2));
  first.listener.data(event(3));
  first.listener.end();
  t.is(caller.text, WHOLE, "no event comes twice");
});

test("a replacement that answers ends the silent attempt at once", (t) => {
  const { caller, client, time, first } = start();
  time.advance(1_100);
  const second = client.last;
  t.not(second, first);
  t.is(second.order.resumeAfter, "1");
  second.listener.sent();
  second.listener.head(answerHead());
  second.listener.data(event(2));
  t.true(first.isAborted);
  first.listener.data(event(2));
  second.listener.data(event(3));
  second.listener.end();
  t.is(caller.text, WHOLE, "no event comes twice");
});

test("a replacement goes on alone when the silent attempt breaks", (t) => {
  const { caller, client, time, first } = start();
  time.advance(1_100);
  const second = client.last;
  second.listener.sent();
  second.listener.head(answerHead());
  first.listener.failed({ kind: "broken", reason: "reset" });
  t.is(client.attempts.length, 2, "no third attempt");
  second.listener.data(event(2));
  second.listener.data(event(3));
  second.listener.end();
  t.is(caller.text, WHOLE);
});

test("an error of the silent attempt leaves the request to its replacement", (t) => {
  const context = testContext();
  const caller = new FakeCaller();
  new RequestRun(context, routedRequest("repeatable"), caller).start();
  const { client } = context;
  const first = client.last;
  first.listener.sent();
  context.time.advance(2_000);
  client.last.listener.sent();
  first.listener.head(answerHead({ status: 500 }));
  t.true(first.isAborted);
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("booked"));
  client.last.listener.end();
  t.is(client.attempts.length, 2);
  t.is(caller.text, "booked");
});

test("both attempts end when the caller leaves", (t) => {
  const { client, time, run } = start();
  time.advance(1_100);
  run.callerGone();
  t.deepEqual(client.attempts.map(({ isAborted }) => isAborted), [true, true]);
});

test("a stream whose attempts are used up is broken off after its caller's patience", (t) => {
  const { caller, time, first } = start({ tryRetry: () => false });
  time.advance(3_300);
  t.false(first.isAborted);
  time.advance(1_000);
  t.true(first.isAborted);
  t.true(caller.isAborted);
});

test("a server's error is passed on where no retry is allowed", (t) => {
  const context = testContext({ tryRetry: () => false });
  const caller = new FakeCaller();
  new RequestRun(context, routedRequest("repeatable"), caller).start();
  const { listener } = context.client.last;
  listener.sent();
  listener.head(answerHead({ status: 500, hasProof: false }));
  listener.data(Buffer.from("broken"));
  listener.end();
  t.is(caller.status, 500);
  t.is(caller.text, "broken");
});

test("a request without an answer gets that of whichever server answers first", (t) => {
  for (const answering of [0, 1]) {
    const context = testContext();
    const caller = new FakeCaller();
    new RequestRun(context, routedRequest("repeatable"), caller).start();
    context.client.last.listener.sent();
    context.time.advance(2_000);
    t.is(context.client.attempts.length, 2);
    context.client.last.listener.sent();
    const attempt = context.client.attempts[answering]!;
    attempt.listener.head(answerHead());
    attempt.listener.data(Buffer.from("booked"));
    t.true(context.client.attempts[1 - answering]!.isAborted);
    attempt.listener.end();
    t.is(caller.text, "booked");
  }
});
