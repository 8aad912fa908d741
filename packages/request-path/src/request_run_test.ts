import test from "ava";
import { RequestRun } from "./mod.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  MODEL,
  routedRequest,
  testContext,
} from "./testing.ts";
import { brandId } from "@endivebend/types";
import type { RequestKind, RoutedRequest, WeightsVersion } from "./types.ts";

function start(kind: RequestKind, fields: Partial<RoutedRequest> = {}) {
  const context = testContext();
  const caller = new FakeCaller();
  const run = new RequestRun(context, routedRequest(kind, fields), caller);
  run.start();
  context.client.last.listener.sent();
  return { context, caller, run, client: context.client };
}

test("a refusal says not run after servers refused to run the request", (t) => {
  const { caller, client } = start("at_most_once");
  client.last.listener.head(answerHead({ status: 503, isNotRun: true }));
  t.is(client.attempts.length, 2);
  client.last.listener.head(answerHead({ status: 503, isNotRun: true }));
  t.true(caller.refusal?.isNotRun);
  t.truthy(caller.refusal?.retryAfterMs);
});

test("a request that may have run is sent once, not refused as not run", (t) => {
  const { caller, client } = start("at_most_once");
  client.last.listener.failed({ kind: "broken", reason: "reset" });
  t.is(client.attempts.length, 1);
  t.false(caller.refusal?.isNotRun);
});

test("a repeatable request is retried elsewhere when its server fails", (t) => {
  const { caller, client } = start("repeatable");
  const [first] = client.attempts;
  client.last.listener.failed({ kind: "broken", reason: "reset" });
  t.is(client.attempts.length, 2);
  t.not(client.last.order.server.id, first!.order.server.id);
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("booked"));
  client.last.listener.end();
  t.is(caller.text, "booked");
  t.true(caller.hasEnded);
});

test("a plain answer does not reach the caller before it is complete", (t) => {
  const { caller, client } = start("repeatable");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("boo"));
  t.is(caller.text, "");
  client.last.listener.failed({ kind: "broken", reason: "reset" });
  t.is(client.attempts.length, 2);
});

test("an attempt that reached no server takes nothing from the budget of retries", (t) => {
  let taken = 0;
  const context = testContext({
    tryRetry: () => {
      taken += 1;
      return false;
    },
  });
  const caller = new FakeCaller();
  new RequestRun(context, routedRequest("at_most_once"), caller).start();
  const { client } = context;
  client.last.listener.failed({ kind: "unsent", reason: "ECONNREFUSED" });
  t.is(client.attempts.length, 2);
  t.is(taken, 0);
  client.last.listener.sent();
  client.last.listener.head(answerHead({ status: 503, isNotRun: true }));
  t.is(client.attempts.length, 2);
  t.is(taken, 1);
  t.true(caller.refusal?.isNotRun);
});

test("servers that answer with errors are not checked for a cut", (t) => {
  const context = testContext();
  const checked: string[] = [];
  context.client.checkListening = (address) => {
    checked.push(address);
    return Promise.resolve("listening");
  };
  for (let count = 0; count < 4; count++) {
    const caller = new FakeCaller();
    new RequestRun(context, routedRequest("repeatable"), caller).start();
    context.client.last.listener.sent();
    context.client.last.listener.head(answerHead({ status: 500 }));
    context.client.last.listener.end();
  }
  t.deepEqual(checked, []);
});

test("a success without its proof never reaches the caller", (t) => {
  const { caller, client } = start("at_most_once");
  client.last.listener.head(answerHead({ hasProof: false }));
  t.is(caller.status, undefined);
  t.is(caller.refusal?.reason, "server_failed");
});

// Callers take these statuses as a promise that the request has not run.
for (const status of [408, 429, 503]) {
  test(`an engine's ${status} that does not say "not run" is not passed on`, (t) => {
    const { caller, client } = start("at_most_once");
    client.last.listener.head(answerHead({ status, hasProof: true }));
    client.last.listener.end();
    t.is(client.attempts.length, 1);
    t.is(caller.status, undefined);
    t.false(caller.refusal?.isNotRun);
  });
}

const ERROR_ANSWERS = {
  "an error": answerHead({ status: 500 }),
  "an error without proof": answerHead({ status: 502, hasProof: false }),
  "a redirect": answerHead({ status: 302 }),
  "a success without proof": answerHead({ hasProof: false }),
  "a refusal": answerHead({ status: 503, isNotRun: true }),
  "another status of success": answerHead({ status: 206, hasProof: false }),
};

for (const [name, head] of Object.entries(ERROR_ANSWERS)) {
  test(`a stream that goes on elsewhere with ${name} is broken off without it`, (t) => {
    const { caller, client, context } = start("resumable_stream");
    client.last.listener.head(answerHead());
    client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
    client.last.listener.failed({ kind: "broken", reason: "reset" });
    for (let count = 1; count < client.attempts.length; count++) {
      const { listener } = client.attempts[count]!;
      listener.sent();
      listener.head(head);
      listener.data(Buffer.from("id: 2\ndata: overloaded\n\n"));
      listener.end();
    }
    context.time.advance(1_000);
    t.is(client.attempts.length, 2);
    t.is(caller.text, "id: 1\ndata: a\n\n");
    t.true(caller.isAborted);
    t.false(caller.hasEnded);
  });
}

test("a stream that goes on elsewhere without an event is broken off", (t) => {
  const { caller, client } = start("resumable_stream");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
  client.last.listener.failed({ kind: "broken", reason: "reset" });
  client.last.listener.sent();
  client.last.listener.head(answerHead());
  client.last.listener.end();
  t.true(caller.isAborted);
  t.false(caller.hasEnded);
});

test("a cut stream resumes after its last complete event", (t) => {
  const { caller, client } = start("resumable_stream");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  client.last.listener.failed({ kind: "broken", reason: "reset" });
  t.is(client.last.order.resumeAfter, "1");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 2\ndata: b\n\n"));
  client.last.listener.end();
  t.is(caller.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(caller.hasEnded);
});

test("a stream that can't be resumed is aborted, not ended", (t) => {
  const { caller, client } = start("stream");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
  client.last.listener.failed({ kind: "broken", reason: "reset" });
  t.true(caller.isAborted);
  t.false(caller.hasEnded);
});

test("a stream that pauses past the limit goes to another server", (t) => {
  const { client, context } = start("resumable_stream");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 1\ndata: a\n\n"));
  context.time.advance(1_200);
  t.is(client.attempts.length, 2);
  // The server may only pause, until the other one has answered.
  t.false(client.attempts[0]!.isAborted);
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 2\ndata: b\n\n"));
  t.true(client.attempts[0]!.isAborted);
});

test("an at-most-once request waits for a silent server until its deadline", (t) => {
  const { caller, client, context } = start("at_most_once");
  context.time.advance(5_900);
  t.is(caller.refusal, undefined);
  context.time.advance(400);
  t.is(client.attempts.length, 1);
  t.is(caller.refusal?.reason, "deadline_passed");
  t.false(caller.refusal?.isNotRun);
});

test("a caller that disconnects aborts the attempt", (t) => {
  const { client, run } = start("stream");
  run.callerGone();
  t.true(client.last.isAborted);
});

test("unexpected weights are recorded and the request is retried", (t) => {
  const context = testContext({
    namedWeights: () =>
      [2, 3].map((weights) => ({
        weights: brandId<WeightsVersion>(weights),
        firstSeenAtMs: 900,
        isAgeKnown: true,
      })),
  });
  const caller = new FakeCaller();
  new RequestRun(context, routedRequest("stream"), caller).start();
  const { client } = context;
  const id = client.last.order.server.id;
  client.last.listener.sent();
  client.last.listener.head(
    answerHead({ status: 421, isMisdirected: true, isExpectedServer: true }),
  );
  t.is(
    context.registry.weightsOf(context.registry.get(id)!, MODEL),
    2 as never,
  );
  t.is(client.attempts.length, 2);
});

test("weights that a server states in its refusal are taken as they are", (t) => {
  const { client, context } = start("stream");
  const { id } = client.last.order.server;
  client.last.listener.head(answerHead({
    status: 421,
    isMisdirected: true,
    isExpectedServer: true,
    weights: brandId<WeightsVersion>(7),
  }));
  const server = context.registry.get(id)!;
  t.is(context.registry.weightsOf(server, MODEL), 7 as never);
});

test("a server whose address another server has taken is forgotten", (t) => {
  const { client, context } = start("at_most_once");
  const { id } = client.last.order.server;
  client.last.listener.head(
    answerHead({ status: 421, isMisdirected: true, isExpectedServer: false }),
  );
  t.is(context.registry.get(id), undefined);
  context.registry.upsert(listedServer(id, { startedAtMs: 2 }));
  t.truthy(context.registry.get(id));
});

// Guards against an exception in an event handler, which ended the process.
for (const place of ["head", "data", "end"] as const) {
  test(`an error while the caller gets the ${place} ends this request only`, (t) => {
    const { caller, client, context } = start("at_most_once");
    caller[place] = () => {
      throw new TypeError("Invalid character in statusMessage");
    };
    client.last.listener.head(answerHead());
    client.last.listener.data(Buffer.from("booked"));
    t.notThrows(() => client.last.listener.end());
    t.not(caller.refusal?.isNotRun, true, "the request has run");
    t.true(caller.refusal !== undefined || caller.isAborted);
    t.notThrows(() => context.time.advance(10_000));
    t.is(client.attempts.length, 1);
  });
}
