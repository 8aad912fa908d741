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
