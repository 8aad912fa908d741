import test from "ava";
import { BEGINS_TOO_LATE } from "./begin_bound.ts";
import { ForwardedRuns, type ForwardSink } from "./forwarded_run.ts";
import type { AttemptFailure, ForwardOrder } from "./ports.ts";
import {
  answerHead,
  listedServer,
  routedRequest,
  testContext,
} from "./testing.ts";

const BEGIN_BY_MS = 3_000;

/** A request that another VM has forwarded, and which has to begin in time. */
function start({ expectedStartMs, forward }: {
  readonly expectedStartMs?: number;
  readonly forward?: () => never;
} = {}) {
  const context = testContext();
  const { registry, client, time } = context;
  if (forward !== undefined) Object.assign(client, { forward });
  const paths = { ...context.paths, mayForward: () => true };
  const runs = new ForwardedRuns({
    ...context,
    paths: Object.assign(Object.create(context.paths), paths),
    isLeaving: () => false,
  });
  const { requestId, digest, work } = routedRequest("resumable_stream");
  const { id, address } = listedServer("one");
  const order: ForwardOrder = {
    requestId,
    digest,
    work,
    server: { id, address },
    deadlineMs: 20_000,
    beginByMs: BEGIN_BY_MS,
    expectedStartMs,
    message: undefined,
  };
  const failures: AttemptFailure[] = [];
  const sink: ForwardSink = {
    head() {},
    data: () => true,
    end() {},
    failed: (failure) => failures.push(failure),
  };
  runs.open(order, sink);
  const attempt = client.forwards[0]!;
  return { forward: attempt, failures, time, registry, runs };
}

test("a forwarded request that has not begun is withdrawn though the other VM is silent", (t) => {
  const { forward, failures, time, runs } = start();
  forward.listener.sent();
  time.advance(BEGIN_BY_MS - 1 - time.nowMs);
  t.false(forward.isAborted);
  time.advance(200);
  t.true(forward.isAborted);
  t.deepEqual(failures, [{ kind: "broken", reason: BEGINS_TOO_LATE }]);
  t.is(runs.openCount, 0);
});

test("a forwarded request that was not sent in time has not run", (t) => {
  const { failures, time } = start();
  time.advance(BEGIN_BY_MS + 200 - time.nowMs);
  t.deepEqual(failures, [{ kind: "unsent", reason: BEGINS_TOO_LATE }]);
});

test("a forwarded request that has begun goes on after the bound", (t) => {
  const { forward, failures, time } = start();
  forward.listener.sent();
  forward.listener.head(answerHead());
  time.advance(BEGIN_BY_MS + 1_000 - time.nowMs);
  t.false(forward.isAborted);
  t.deepEqual(failures, []);
});

test("a connection that was ready too late blames no server", (t) => {
  const { forward, failures, registry } = start();
  const silentAtMs = () => registry.get(listedServer("one").id)?.silentAtMs;
  const before = silentAtMs();
  forward.listener.failed({ kind: "unsent", reason: BEGINS_TOO_LATE });
  t.is(silentAtMs(), before);
  t.deepEqual(failures, [{ kind: "unsent", reason: BEGINS_TOO_LATE }]);
});

for (const expectedStartMs of [undefined, 1]) {
  test(`an error while a request is sent on ends that request only, expected start ${expectedStartMs}`, async (t) => {
    const { failures, runs } = start({
      expectedStartMs,
      forward: () => {
        throw new TypeError("Invalid character in header content");
      },
    });
    await new Promise(setImmediate);
    t.like(failures, [{ kind: "broken", at: "forwarder" }]);
    t.is(runs.openCount, 0);
  });
}
