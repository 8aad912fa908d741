import test from "ava";
import { RequestRun } from "./mod.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  routedRequest,
  testContext,
} from "./testing.ts";
import type { RequestKind } from "./types.ts";

const DEADLINE_MS = 21_000;

function start(kind: RequestKind) {
  const context = testContext();
  const caller = new FakeCaller();
  const request = routedRequest(kind);
  const run = new RequestRun(context, {
    ...request,
    deadlineMs: DEADLINE_MS,
    timeoutAtMs: DEADLINE_MS,
  }, caller);
  run.start();
  context.client.last.listener.sent();
  context.client.last.listener.head(answerHead());
  return { context, caller, run, client: context.client };
}

type Started = ReturnType<typeof start>;

/** Sends the bytes every 200 ms and returns after how long the answer ended. */
function drip({ context, caller, client }: Started, bytes: string): number {
  const startedAtMs = context.time.nowMs;
  const [attempt] = client.attempts;
  while (context.time.nowMs < DEADLINE_MS) {
    context.time.advance(200);
    if (caller.isAborted || client.attempts.length > 1) break;
    attempt!.listener.data(Buffer.from(bytes));
  }
  return context.time.nowMs - startedAtMs;
}

// Servers that stall and send a byte now and then.
for (
  const [what, bytes] of [
    ["single bytes of an event", "x"],
    ["comments", ": wait\n\n"],
    ["blank lines", "\n"],
  ] as const
) {
  test(`a stream that brings only ${what} ends after its caller's patience`, (t) => {
    const started = start("stream");
    started.client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
    const endedAfterMs = drip(started, bytes);
    t.true(started.caller.isAborted);
    t.true(started.client.last.isAborted);
    // Callers wait 3,200 ms for the next event of this route.
    t.true(endedAfterMs > 3_200, `${endedAfterMs}`);
    t.true(endedAfterMs < 5_000, `${endedAfterMs}`);
  });

  test(`a resumable stream that brings only ${what} goes on elsewhere`, (t) => {
    const started = start("resumable_stream");
    started.client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
    drip(started, bytes);
    t.is(started.client.attempts.length, 2);
    t.is(started.client.last.order.resumeAfter, "1");
  });
}

test("a slow but sound stream is not cut", (t) => {
  const { context, caller, client } = start("stream");
  for (let event = 1; event <= 6; event++) {
    client.last.listener.data(Buffer.from(`id: ${event}\ndata: a\n\n`));
    context.time.advance(3_000);
  }
  client.last.listener.end();
  t.false(caller.isAborted);
  t.true(caller.hasEnded);
  t.is(client.attempts.length, 1);
});

test("a stream whose caller reads slowly is neither cut nor blamed on its server", (t) => {
  const { context, caller, client, run } = start("resumable_stream");
  caller.data = () => false;
  client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
  context.time.advance(8_000);
  run.callerReady();
  context.time.advance(150);
  t.is(client.attempts.length, 1);
  t.false(caller.isAborted);
  t.deepEqual(context.registry.suspects(context.time.nowMs), []);
});

// Bytes that are no answer and have no end.
test("an event without an end is given up and its server avoided", (t) => {
  const { context, caller, client } = start("stream");
  const { id } = client.last.order.server;
  for (let count = 0; count < 20 && !client.last.isAborted; count++) {
    client.last.listener.data(Buffer.alloc(65_536, 0x61));
  }
  t.true(client.last.isAborted);
  t.is(caller.text, "");
  t.false(caller.refusal?.isNotRun);
  t.true(context.registry.get(id)!.avoidUntilMs > context.time.nowMs);
});

test("an error body without an end is given up and never relayed", (t) => {
  const context = testContext();
  const caller = new FakeCaller();
  new RequestRun(context, routedRequest("at_most_once"), caller).start();
  const { last } = context.client;
  last.listener.sent();
  last.listener.head(answerHead({ status: 500, hasProof: false }));
  for (let count = 0; count < 20 && !last.isAborted; count++) {
    last.listener.data(Buffer.alloc(65_536, 0x61));
  }
  t.true(last.isAborted);
  t.is(caller.status, undefined);
  t.false(caller.refusal?.isNotRun);
});

test("a plain answer without an end is cut at the deadline and its server avoided", (t) => {
  const context = testContext();
  const caller = new FakeCaller();
  new RequestRun(context, routedRequest("repeatable"), caller).start();
  const { last } = context.client;
  const { id } = last.order.server;
  last.listener.sent();
  last.listener.head(answerHead());
  for (let count = 0; count < 100; count++) {
    last.listener.data(Buffer.alloc(65_536, 0x61));
    context.time.advance(100);
  }
  t.true(caller.isAborted);
  t.true(last.isAborted);
  t.true(context.registry.get(id)!.failureRate > 0);
});

// A server that is only silent or slow to report: its entry lapses and comes
// back while it works.
for (const kind of ["at_most_once", "stream"] as const) {
  test(`a run of kind ${kind} goes on while its server's entry is missing`, (t) => {
    const context = testContext();
    const caller = new FakeCaller();
    new RequestRun(context, routedRequest(kind), caller).start();
    const { client, registry, time } = context;
    const { id } = client.last.order.server;
    client.last.listener.sent();
    registry.remove(id, { nowMs: time.nowMs, mayBeBack: true });
    registry.recordSuspicion(id, { nowMs: time.nowMs, roundMs: 200 });
    time.advance(2_500);
    registry.prune(time.nowMs);
    t.is(client.attempts.length, 1);
    t.false(client.last.isAborted);
    registry.upsert(listedServer(id));
    client.last.listener.head(answerHead());
    client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
    client.last.listener.end();
    t.true(caller.hasEnded);
    t.is(caller.refusal, undefined);
  });
}

test("entries that lapsed with the store away serve until they are back", (t) => {
  const { registry } = testContext();
  for (const { listed } of [...registry.all()]) {
    registry.remove(listed.id, { nowMs: 0, mayBeBack: true });
  }
  const service = routedRequest("stream").service;
  t.is(registry.usable(service, 1_000).length, 2);
  t.is(registry.usable(service, 2_000).length, 0, "still missing means gone");
  registry.upsert(listedServer("one"));
  t.is(registry.usable(service, 2_000).length, 1);
});

test("servers whose entries were removed while the store was there are gone at once", (t) => {
  const { registry } = testContext();
  for (const { listed } of [...registry.all()]) {
    registry.remove(listed.id, { nowMs: 0, mayBeBack: false });
  }
  t.deepEqual(registry.usable(routedRequest("stream").service, 1), []);
});
