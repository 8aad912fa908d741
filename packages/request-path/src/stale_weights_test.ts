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
import { brandId, type RequestId } from "@endivebend/types";
import type { RequestKind, WeightsVersion } from "./types.ts";

const version = (weights: number) => brandId<WeightsVersion>(weights);
const NAMED_AT_MS = 1_000;
const BOUND_MS = 8_000;

/** A request that is sent 5 s after newer weights were named. */
function startOnReplacedWeights(kind: RequestKind) {
  const context = testContext({
    namedWeights: () => [{
      weights: version(2),
      firstSeenAtMs: NAMED_AT_MS,
      isAgeKnown: true,
    }],
  });
  const { time, registry, client } = context;
  time.nowMs = NAMED_AT_MS + 5_000;
  const deadlineMs = time.nowMs + 12_000;
  const base = routedRequest(kind);
  const request = routedRequest(kind, {
    // The server is not taken as silent while the request waits for it.
    route: { ...base.route, targetMs: 5_000, timeoutMs: 12_000 },
    deadlineMs,
    timeoutAtMs: deadlineMs,
  });
  const caller = new FakeCaller();
  new RequestRun(context, request, caller).start();
  const { server } = client.last.order;
  client.last.listener.sent();
  const other = [...registry.all()]
    .map(({ listed }) => listed.id).find((id) => id !== server.id)!;
  const weights = new Map([[MODEL, version(2)]]);
  registry.upsert(listedServer(other, { weights }), time.nowMs);
  return { context, caller, client, time, other };
}

// Guards against a request that waits at its engine from 6.0 s after newer
// weights were named and begins on the old ones past the bound of 8 s.
test("a request that waits for replaced weights moves on before their bound", (t) => {
  const { client, time, other } = startOnReplacedWeights("resumable_stream");
  const [first] = client.attempts;
  time.advance(2_500);
  t.false(first!.isAborted, "weights that were replaced 7.5 s ago may be used");
  time.advance(NAMED_AT_MS + BOUND_MS - time.nowMs - 1);
  t.true(first!.isAborted);
  t.is(client.attempts.length, 2);
  t.is(client.last.order.server.id, other);
});

test("a request that may run once is taken back and not said to be not run", (t) => {
  const { client, time, caller } = startOnReplacedWeights("stream");
  time.advance(NAMED_AT_MS + BOUND_MS - time.nowMs - 1);
  t.true(client.last.isAborted);
  t.is(client.attempts.length, 1);
  t.is(caller.refusal?.isNotRun, false);
});

test("an answer that has begun on replaced weights goes on past their bound", (t) => {
  const { client, time, caller } = startOnReplacedWeights("stream");
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 1\ndata: x\n\n"));
  time.advance(NAMED_AT_MS + BOUND_MS - time.nowMs + 500);
  t.false(client.last.isAborted);
  client.last.listener.data(Buffer.from("id: 2\ndata: y\n\n"));
  client.last.listener.end();
  t.true(caller.hasEnded);
});

/** All engines are believed to have weights that were replaced 10 s ago. */
function belief() {
  const steps: string[] = [];
  const context = testContext({
    namedWeights: () => [{
      weights: version(2),
      firstSeenAtMs: NAMED_AT_MS,
      isAgeKnown: true,
    }],
    log: { decision: (step) => steps.push(step) },
  });
  const { time } = context;
  time.nowMs = NAMED_AT_MS + 10_000;
  let count = 0;
  const send = () => {
    const caller = new FakeCaller();
    const deadlineMs = time.nowMs + 6_000;
    const request = routedRequest("stream", {
      requestId: brandId<RequestId>(`q-${++count}`),
      deadlineMs,
      timeoutAtMs: deadlineMs,
    });
    new RequestRun(context, request, caller).start();
    return caller;
  };
  return { ...context, send };
}

const OTHER_WEIGHTS = answerHead({
  status: 421,
  isNotRun: true,
  isMisdirected: true,
  isExpectedServer: true,
  hasProof: false,
});

// Guards against a daemon that refuses every request because its knowledge of
// engines' weights is old: it sent none, so no answer corrected it.
test("a daemon that takes all weights for too old finds out by one request", (t) => {
  const { client, registry, send } = belief();
  const caller = send();
  t.is(client.attempts.length, 1);
  const { order, listener } = client.last;
  t.is(order.cache.weights, version(2), "an engine with others refuses it");
  listener.sent();
  listener.head(answerHead());
  listener.data(Buffer.from("id: 1\ndata: x\n\n"));
  listener.end();
  t.true(caller.hasEnded);
  t.is(registry.get(order.server.id)!.weights.of(MODEL), version(2));
  send();
  t.is(client.last.order.server.id, order.server.id);
  t.is(client.last.order.cache.weights, version(2));
});

test("an engine that does have old weights costs one refusal, and is not avoided", (t) => {
  const { client, registry, time, send } = belief();
  const caller = send();
  const { order, listener } = client.last;
  listener.sent();
  listener.head(OTHER_WEIGHTS);
  t.like(caller.refusal, { reason: "stale_weights", isNotRun: true });
  t.is(client.attempts.length, 1);
  const engine = registry.get(order.server.id)!;
  t.is(engine.weights.of(MODEL), version(1));
  t.false(registry.isAvoided(engine, time.nowMs));
  for (let count = 0; count < 20; count++) {
    t.is(send().refusal?.reason, "stale_weights");
  }
  t.is(client.attempts.length, 1, "more traffic sends no more");
  time.advance(300);
  send();
  t.is(client.attempts.length, 2);
  t.not(client.last.order.server.id, order.server.id);
});

test("a refusal for old weights asks to wait until an engine has loaded", (t) => {
  const { client, registry, time, send } = belief();
  send();
  client.last.listener.head(OTHER_WEIGHTS);
  for (const { listed } of registry.all()) {
    registry.recordLoading(listed.id, time.nowMs + 2_000);
  }
  registry.recordLoading(brandId("one"), time.nowMs + 1_200);
  const { retryAfterMs } = send().refusal!;
  t.true(retryAfterMs! >= 1_200 && retryAfterMs! <= 1_800);
});

test("newer weights in an answer are learned, older ones are not", (t) => {
  const { client, registry, send } = belief();
  send();
  const { order, listener } = client.last;
  const engine = registry.get(order.server.id)!;
  registry.recordWeights(engine.listed.id, {
    model: MODEL,
    weights: version(3),
    nowMs: 1,
  });
  listener.head(answerHead({ weights: version(2) }));
  t.is(engine.weights.of(MODEL), version(3));
  send();
  const later = client.last;
  const other = registry.get(later.order.server.id)!;
  later.listener.head(answerHead({ weights: version(4) }));
  t.is(other.weights.of(MODEL), version(4));
});
