import test from "ava";
import { brandId, type RequestId } from "@endivebend/types";
import { beginByMs, BEGINS_TOO_LATE, isTooLate } from "./begin_bound.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestRun } from "./request_run.ts";
import type { NamedWeights } from "./named_weights.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  routedRequest,
  testContext,
} from "./testing.ts";
import type {
  RequestKind,
  Route,
  RoutedRequest,
  WeightsVersion,
} from "./types.ts";
import { WeightsProbes } from "./weights_probes.ts";

const version = (value: number) => brandId<WeightsVersion>(value);

function named(weights: number, firstSeenAtMs: number): NamedWeights {
  return { weights: version(weights), firstSeenAtMs, isAgeKnown: true };
}

const WEIGHTS_BOUND_MS = 8_000;
/** Newer weights than those of the servers were named then. */
const NAMED_AT_MS = -4_600;
const BOUND_AT_MS = NAMED_AT_MS + WEIGHTS_BOUND_MS;

test("the bound counts from the first of the newer versions", (t) => {
  const history = [named(2, 100), named(3, 4_100), named(4, 5_000)];
  const at = { named: history, weightsBoundMs: WEIGHTS_BOUND_MS };
  t.is(beginByMs(version(2), at), 11_700);
  t.is(beginByMs(version(3), at), 12_600);
  t.is(beginByMs(version(4), at), undefined);
});

test("an attempt whose answer has begun is never too late", (t) => {
  const at = { beginByMs: 11_700, nowMs: 11_700 };
  t.true(isTooLate({ headAtMs: undefined }, at));
  t.false(isTooLate({ headAtMs: 11_000 }, at));
  t.false(isTooLate({ headAtMs: undefined }, { ...at, nowMs: 11_699 }));
  t.false(isTooLate({ headAtMs: undefined }, { ...at, beginByMs: undefined }));
});

/** A request at a server whose weights are too old from `BOUND_AT_MS` on. */
function start(
  kind: RequestKind,
  { context = {}, route = {}, fields = {} }: {
    readonly context?: Partial<RequestContext>;
    readonly fields?: Partial<RoutedRequest>;
    readonly route?: Partial<Route>;
  } = {},
) {
  const causes: string[] = [];
  const steps: string[] = [];
  const run = testContext({
    namedWeights: () => [named(2, NAMED_AT_MS)],
    weightsBoundMs: WEIGHTS_BOUND_MS,
    tryRetry: (_request, cause) => {
      causes.push(cause);
      return true;
    },
    log: { decision: (step) => steps.push(step) },
    ...context,
  });
  const caller = new FakeCaller();
  const request = routedRequest(kind, {
    deadlineMs: 20_000,
    timeoutAtMs: 20_000,
    ...fields,
  });
  new RequestRun(run, {
    ...request,
    route: { ...request.route, ...route },
  }, caller).start();
  const { client, time, registry } = run;
  const [first] = client.attempts;
  /** A server with the newer weights joins. */
  const addServer = () => {
    const weights = new Map([...listedServer("new").weights.keys()]
      .map((model) => [model, version(2)] as const));
    registry.upsert(listedServer("new", { weights }));
  };
  return {
    first: first!,
    caller,
    client,
    time,
    addServer,
    causes,
    steps,
    registry,
  };
}

test("an attempt that waits is withdrawn before the bound and placed anew", (t) => {
  const { first, caller, client, time, addServer, causes, steps } = start(
    "resumable_stream",
    { route: { targetMs: 9_000 } },
  );
  first.listener.sent();
  time.advance(BOUND_AT_MS - 500 - time.nowMs);
  t.false(first.isAborted);
  addServer();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.true(first.isAborted);
  t.is(client.attempts.length, 2);
  t.is(String(client.last.order.server.id), "new");
  t.deepEqual(causes, ["withdrawn"]);
  t.true(steps.includes("attempt_withdrawn"));
  client.last.listener.sent();
  client.last.listener.head(answerHead());
  client.last.listener.data(Buffer.from("id: 1\ndata: x\n\n"));
  client.last.listener.end();
  t.true(caller.hasEnded);
});

test("an attempt that has begun before the bound stays", (t) => {
  const { first, caller, client, time } = start("stream");
  first.listener.sent();
  time.advance(BOUND_AT_MS - 450 - time.nowMs);
  first.listener.head(answerHead());
  time.advance(300);
  first.listener.data(Buffer.from("id: 1\ndata: x\n\n"));
  first.listener.end();
  t.is(client.attempts.length, 1);
  t.true(caller.hasEnded);
});

test("a withdrawn attempt that runs at most once is not sent again, nor refused as not run", (t) => {
  const { first, caller, client, time, addServer, causes } = start("stream");
  first.listener.sent();
  addServer();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.true(first.isAborted);
  t.is(client.attempts.length, 1);
  t.deepEqual(causes, []);
  t.is(caller.refusal?.reason, "stale_weights");
  t.false(caller.refusal?.isNotRun);
  t.is(caller.refusal?.retryAfterMs, undefined);
});

test("a withdrawn attempt is not sent again beyond the budget or the route's attempts", (t) => {
  const noBudget = start("resumable_stream", {
    context: { tryRetry: () => false },
  });
  const oneAttempt = start("resumable_stream", {
    route: { maxAttempts: 1 },
  });
  for (
    const { first, caller, client, time, addServer } of [noBudget, oneAttempt]
  ) {
    first.listener.sent();
    addServer();
    time.advance(BOUND_AT_MS - 200 - time.nowMs);
    t.true(first.isAborted);
    t.is(client.attempts.length, 1);
    t.false(caller.refusal?.isNotRun);
  }
});

test("a withdrawn attempt takes no retry while no server may take the request", (t) => {
  const weightsProbes = new WeightsProbes(() => 1_000);
  // The next probe is due after the bound.
  weightsProbes.take(listedServer("second").id, 1_000);
  const { first, caller, client, time, causes } = start("resumable_stream", {
    context: { weightsProbes },
    route: { targetMs: 9_000 },
  });
  first.listener.sent();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.true(first.isAborted);
  t.is(client.attempts.length, 1);
  t.deepEqual(causes, []);
  t.is(caller.refusal?.reason, "stale_weights");
  t.false(caller.refusal?.isNotRun);
});

test("a withdrawn attempt takes a retry to probe a server", (t) => {
  const { first, client, time, causes } = start("resumable_stream", {
    route: { targetMs: 9_000 },
  });
  first.listener.sent();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.is(client.attempts.length, 2);
  t.is(client.last.order.cache.weights, version(2));
  t.deepEqual(causes, ["withdrawn"]);
});

test("an attempt that was not sent before the bound takes no retry, and its request has not run", (t) => {
  const { first, caller, client, time, addServer, causes } = start("stream");
  addServer();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.true(first.isAborted);
  t.is(String(client.last.order.server.id), "new");
  t.deepEqual(causes, []);
  while (caller.refusal === undefined) {
    client.last.listener.head(answerHead({ status: 503, isNotRun: true }));
  }
  t.true(caller.refusal.isNotRun);
});

test("a silent attempt is withdrawn also while its replacement waits", (t) => {
  const { first, client, time, addServer, caller } = start("resumable_stream");
  first.listener.sent();
  time.advance(1_800);
  t.is(client.attempts.length, 2);
  const second = client.last;
  t.is(String(second.order.server.id), "second");
  second.listener.sent();
  addServer();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.true(first.isAborted);
  t.true(second.isAborted);
  // Both attempts of the route may have run.
  t.false(caller.refusal?.isNotRun);
});

test("weights that are named while an attempt waits bound it too", (t) => {
  const history: NamedWeights[] = [];
  const { first, time } = start("stream", {
    context: { namedWeights: () => history },
  });
  first.listener.sent();
  time.advance(500);
  history.push(named(2, time.nowMs));
  time.advance(WEIGHTS_BOUND_MS - 500);
  t.false(first.isAborted);
  time.advance(300);
  t.true(first.isAborted);
});

test("an answer that came while the process was paused past the bound is relayed", (t) => {
  const { first, caller, time } = start("stream");
  first.listener.sent();
  time.advance(BOUND_AT_MS - 500 - time.nowMs);
  time.nowMs = BOUND_AT_MS + 500;
  // Timers that are due run first after a pause, and then the sockets.
  time.after(0, () => first.listener.head(answerHead()));
  time.advance(100);
  t.false(first.isAborted);
  first.listener.data(Buffer.from("id: 1\ndata: x\n\n"));
  first.listener.end();
  t.true(caller.hasEnded);
});

test("the server's client is told by when an attempt must have begun", (t) => {
  const { first } = start("stream");
  t.is(first.order.beginByMs, BOUND_AT_MS - 400);
  const current = start("stream", {
    context: { namedWeights: () => [named(1, 0)] },
  });
  t.is(current.first.order.beginByMs, undefined);
});

test("an attempt that its client did not send for the bound blames no server", (t) => {
  const { first, client, registry, steps } = start("stream");
  const silentAtMs = () => registry.get(first.order.server.id)?.silentAtMs;
  const before = silentAtMs();
  first.listener.failed({ kind: "unsent", reason: BEGINS_TOO_LATE });
  t.is(client.attempts.length, 2);
  t.is(silentAtMs(), before);
  t.false(steps.includes("attempt_broken"));
});

test("an attempt that another VM has withdrawn may have run and is placed anew", (t) => {
  const { first, client, addServer, causes } = start("resumable_stream");
  first.listener.sent();
  addServer();
  first.listener.failed({ kind: "broken", reason: BEGINS_TOO_LATE });
  t.is(client.attempts.length, 2);
  t.deepEqual(causes, ["withdrawn"]);
});

test("an attempt that goes on with a stream is withdrawn until it has begun", (t) => {
  const { first, caller, client, time, addServer, causes } = start(
    "resumable_stream",
    { route: { maxAttempts: 3, maxGapMs: 2_000 } },
  );
  first.listener.sent();
  first.listener.head(answerHead());
  let events = 0;
  while (time.nowMs < BOUND_AT_MS - 1_700) {
    events += 1;
    first.listener.data(Buffer.from(`id: ${events}\ndata: x\n\n`));
    time.advance(100);
  }
  first.listener.failed({ kind: "broken", reason: "reset" });
  t.is(client.attempts.length, 2);
  const resumed = client.last;
  resumed.listener.sent();
  addServer();
  time.advance(BOUND_AT_MS - 500 - time.nowMs);
  t.false(resumed.isAborted);
  time.advance(300);
  t.true(resumed.isAborted);
  t.deepEqual(causes, ["broken", "withdrawn"]);
  t.is(String(client.last.order.server.id), "new");
  t.is(client.last.order.resumeAfter, String(events));
  t.false(caller.isAborted);
});

test("a take-up that waits is withdrawn before the bound", (t) => {
  const { first, client, time, addServer } = start("resumable_stream", {
    fields: { resumeAfter: "4", takesUp: brandId<RequestId>("q-0") },
    route: { targetMs: 9_000 },
  });
  first.listener.sent();
  addServer();
  time.advance(BOUND_AT_MS - 200 - time.nowMs);
  t.true(first.isAborted);
  t.is(String(client.last.order.server.id), "new");
  t.is(client.last.order.resumeAfter, "4");
});
