import test from "ava";
import { brandId, type RequestId } from "@endivebend/types";
import { type PromptSegmentId, RequestRun, type RoutedRequest } from "./mod.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  MODEL,
  routedRequest,
  testContext,
} from "./testing.ts";

const FLUSH = () => new Promise(setImmediate);
const EVENT = Buffer.from("id: 1\ndata: a\n\n");
let requests = 0;

function request(segment: string, deadlineMs: number): RoutedRequest {
  return routedRequest("resumable_stream", {
    requestId: brandId<RequestId>(`q-${++requests}`),
    work: {
      model: MODEL,
      promptTokens: 900,
      maxOutputTokens: 40,
      prompt: ["rulebook", segment, "own"].map((id) => ({
        id: brandId<PromptSegmentId>(id),
        tokens: 300,
      })),
    },
    deadlineMs,
    timeoutAtMs: deadlineMs,
  });
}

function createServers() {
  const context = testContext();
  for (let index = 0; index < 10; index++) {
    const address = `10.0.1.${index}:80`;
    context.registry.upsert(listedServer(`engine-${index}`, { address }));
  }
  return context;
}

function start(
  context: ReturnType<typeof createServers>,
  segment: string,
  deadlineMs = 60_000,
) {
  const caller = new FakeCaller();
  const run = new RequestRun(context, request(segment, deadlineMs), caller);
  const before = context.client.attempts.length;
  run.start();
  const wasSent = context.client.attempts.length > before;
  if (wasSent) context.client.last.listener.sent();
  return { caller, wasSent };
}

/** Ends the engine of the newest attempt, whose answer has begun. */
async function crashEngine(context: ReturnType<typeof createServers>) {
  const { order, listener } = context.client.last;
  listener.head(answerHead());
  context.client.closedAddresses.add(order.server.address);
  context.time.advance(40);
  listener.failed({ kind: "broken", reason: "socket hang up" });
  await FLUSH();
  context.time.advance(200);
}

test("a prompt that crashed three engines is refused as not run", async (t) => {
  const context = createServers();
  start(context, "bad");
  await crashEngine(context);
  t.is(context.client.attempts.length, 2, "the first crash is retried");
  context.client.last.listener.sent();
  await crashEngine(context);
  start(context, "bad");
  await crashEngine(context);
  t.is(context.client.attempts.length, 3, "a suspect is not retried");
  const { caller, wasSent } = start(context, "bad");
  t.false(wasSent);
  t.like(caller.refusal, { reason: "quarantined", isNotRun: true });
  t.true((caller.refusal?.retryAfterMs ?? 0) > 10_000);
  t.true(start(context, "sound").wasSent);
});

test("a request that waits at an engine is called back when its prompt is found deadly", async (t) => {
  const context = createServers();
  const { caller } = start(context, "bad");
  const waiting = context.client.last;
  for (let crashes = 0; crashes < 3; crashes++) {
    start(context, "bad");
    await crashEngine(context);
  }
  context.time.advance(200);
  t.true(waiting.isAborted);
  t.like(caller.refusal, { reason: "quarantined", isNotRun: false });
});

test("a request whose answer has begun is not called back, as its engine ends anyway", async (t) => {
  const context = createServers();
  start(context, "bad");
  const begun = context.client.last;
  begun.listener.head(answerHead());
  for (let crashes = 0; crashes < 3; crashes++) {
    start(context, "bad");
    await crashEngine(context);
  }
  t.false(start(context, "bad").wasSent);
  t.false(begun.isAborted);
});

test("a request that tries a segment again ends one engine at most", async (t) => {
  const context = createServers();
  for (let crashes = 0; crashes < 3; crashes++) {
    start(context, "bad");
    await crashEngine(context);
  }
  // The crashes before are forgotten by then, and the segment is due.
  context.time.advance(700_000);
  context.evidence.ownReports(context.time.nowMs);
  const sentBefore = context.client.attempts.length;
  const { wasSent, caller } = start(context, "bad", 900_000);
  t.true(wasSent);
  await crashEngine(context);
  t.is(context.client.attempts.length, sentBefore + 1);
  t.is(caller.refusal?.reason, "server_failed");
});

test("an answer without a length that ends before its first event is broken off", async (t) => {
  const context = createServers();
  const { caller } = start(context, "bad");
  const { listener, order } = context.client.last;
  listener.head(answerHead());
  context.client.closedAddresses.add(order.server.address);
  listener.end();
  await FLUSH();
  t.false(caller.hasEnded);
  t.is(context.client.attempts.length, 2);
});

test("lost connections to engines that run convict no prompt", async (t) => {
  const context = createServers();
  for (let losses = 0; losses < 6; losses++) {
    const { wasSent } = start(context, "unlucky");
    t.true(wasSent);
    const { listener } = context.client.last;
    listener.head(answerHead());
    listener.failed({ kind: "broken", reason: "read ECONNRESET" });
    await FLUSH();
    context.time.advance(1_000);
  }
});

test("engines that end while answers go on convict no prompt", async (t) => {
  const context = createServers();
  for (let crashes = 0; crashes < 5; crashes++) {
    t.true(start(context, "long").wasSent);
    const { listener, order } = context.client.last;
    listener.head(answerHead());
    for (let events = 0; events < 8; events++) {
      context.time.advance(40);
      listener.data(EVENT);
    }
    context.client.closedAddresses.add(order.server.address);
    listener.failed({ kind: "broken", reason: "socket hang up" });
    await FLUSH();
    context.time.advance(500);
  }
});
