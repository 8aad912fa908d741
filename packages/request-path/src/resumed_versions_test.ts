import test from "ava";
import { brandId, type VmId } from "@endivebend/types";
import { RequestRun } from "./mod.ts";
import type { RequestContext } from "./request_context.ts";
import {
  answerHead,
  type FakeAttempt,
  FakeCaller,
  listedServer,
  route,
  routedRequest,
  testContext,
} from "./testing.ts";
import type { ListedServer, SoftwareVersion } from "./types.ts";

type Versions = Readonly<Record<string, string | undefined>>;

function versioned(
  id: string,
  version: string | undefined,
  fields: Partial<ListedServer> = {},
): ListedServer {
  const softwareVersion = version as SoftwareVersion | undefined;
  return listedServer(id, { softwareVersion, ...fields });
}

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

/** Starts a stream whose first server has the version, beside others. */
function start(
  first: string | undefined,
  { others, fields = {} }: {
    readonly others: Versions;
    readonly fields?: Partial<RequestContext>;
  },
) {
  let retries = 0;
  const context = testContext({
    tryRetry: () => {
      retries += 1;
      return true;
    },
    ...fields,
  });
  const { registry, client, time } = context;
  registry.forgetMoved(brandId("one"));
  registry.forgetMoved(brandId("second"));
  registry.upsert(versioned("first", first));
  const request = {
    ...routedRequest("resumable_stream"),
    route: route("resumable_stream", { maxAttempts: 3 }),
    deadlineMs: 21_000,
    timeoutAtMs: 21_000,
  };
  const caller = new FakeCaller();
  const run = new RequestRun(context, request, caller);
  run.start();
  client.last.listener.sent();
  for (const [id, version] of Object.entries(others)) {
    registry.upsert(versioned(id, version));
  }
  return { ...context, caller, run, time, retries: () => retries };
}

function begin({ listener }: FakeAttempt, id = 1): void {
  listener.sent();
  listener.head(answerHead());
  listener.data(event(id));
}

function serverOf({ order }: FakeAttempt): string {
  return order.server.id;
}

function breakOff({ listener }: FakeAttempt): void {
  listener.failed({ kind: "broken", reason: "reset" });
}

test("a stream that has begun goes on only at its software version", (t) => {
  const others = {
    a: "v2",
    b: "v3",
    c: "v2",
    d: undefined,
    e: "v2",
    f: "v3",
    g: "v1",
  };
  const { client, caller } = start("v1", { others });
  begin(client.last);
  breakOff(client.last);
  t.is(serverOf(client.last), "g");
  begin(client.last, 2);
  client.last.listener.end();
  t.is(caller.text, `${event(1)}${event(2)}`);
  t.true(caller.hasEnded);
});

test("a stream whose software version no other server has is broken off without a retry", (t) => {
  const { client, caller, retries, time } = start("v1", {
    others: { a: "v2", b: undefined },
  });
  begin(client.last);
  breakOff(client.last);
  time.advance(1_100);
  t.is(client.attempts.length, 1);
  t.is(retries(), 0);
  t.true(caller.isAborted);
  t.false(caller.hasEnded);
});

test("a stream is broken off at once when its software version has left", (t) => {
  const { client, caller, registry } = start("v1", { others: { a: "v2" } });
  begin(client.last);
  registry.upsert(versioned("first", "v1", { isLeaving: true }));
  breakOff(client.last);
  t.is(client.attempts.length, 1);
  t.true(caller.isAborted);
});

// The server that crashed is back in a moment, under another id.
test("a stream waits for a server of its software version, not for another one", (t) => {
  const { client, caller, registry, retries, time } = start("v1", {
    others: { a: "v2", b: undefined },
  });
  begin(client.last);
  breakOff(client.last);
  time.advance(400);
  t.false(caller.isAborted);
  t.is(retries(), 0);
  registry.upsert(versioned("c", "v1"));
  time.advance(400);
  t.is(serverOf(client.last), "c");
  t.is(retries(), 1);
  begin(client.last, 2);
  client.last.listener.end();
  t.is(caller.text, `${event(1)}${event(2)}`);
  t.true(caller.hasEnded);
});

test("a stream waits for a place at its software version, not at a free server of another", (t) => {
  const { client, caller, registry, time } = start("v1", {
    others: { a: "v2", b: "v1" },
  });
  begin(client.last);
  registry.recordQuiet(brandId("b"), time.nowMs + 500);
  breakOff(client.last);
  t.is(client.attempts.length, 1);
  time.advance(700);
  t.is(serverOf(client.last), "b");
  t.false(caller.isAborted);
});

test("a stream whose software version has no place for too long is broken off", (t) => {
  const { client, caller, registry, retries, time } = start("v1", {
    others: { a: "v2", b: "v1" },
  });
  begin(client.last);
  registry.recordQuiet(brandId("b"), time.nowMs + 5_000);
  breakOff(client.last);
  time.advance(900);
  t.false(caller.isAborted);
  time.advance(100);
  t.true(caller.isAborted);
  t.is(client.attempts.length, 1);
  t.is(retries(), 0);
});

test("a stream that waits ends once when its caller leaves", (t) => {
  const { client, caller, run, registry, time } = start("v1", {
    others: { a: "v2" },
  });
  begin(client.last);
  breakOff(client.last);
  run.callerGone();
  registry.upsert(versioned("c", "v1"));
  time.advance(2_000);
  t.is(client.attempts.length, 1);
  t.false(caller.isAborted);
});

test("a stream begun at an unknown software version goes on nowhere", (t) => {
  const { client, caller } = start(undefined, {
    others: { a: "v1", b: undefined },
  });
  begin(client.last);
  breakOff(client.last);
  t.is(client.attempts.length, 1);
  t.true(caller.isAborted);
});

test("before its first event a stream may go to any software version", (t) => {
  const { client, caller } = start("v1", { others: { a: "v2" } });
  client.last.listener.head(answerHead());
  breakOff(client.last);
  t.is(serverOf(client.last), "a");
  begin(client.last);
  client.last.listener.end();
  t.is(caller.text, String(event(1)));
});

test("a silent stream is replaced only at its software version", (t) => {
  const { client, caller, time, registry } = start("v1", {
    others: { a: "v2", b: undefined },
  });
  const [first] = client.attempts;
  begin(first!);
  time.advance(1_200);
  t.is(client.attempts.length, 1);
  t.false(first!.isAborted, "its server may only pause");
  registry.upsert(versioned("c", "v1"));
  time.advance(400);
  t.is(serverOf(client.last), "c");
  begin(client.last, 2);
  client.last.listener.end();
  t.is(caller.text, `${event(1)}${event(2)}`);
});

for (const winner of ["silent attempt", "replacement"] as const) {
  test(`a stream goes on at the software version of its ${winner}, which began it`, (t) => {
    const { client, time, registry } = start("v1", {
      others: { a: "v2" },
    });
    const [first] = client.attempts;
    time.advance(2_000);
    t.is(client.attempts.length, 2);
    const second = client.last;
    second.listener.sent();
    const [winning, losing, version] = winner === "replacement"
      ? [second, first!, "v2"]
      : [first!, second, "v1"];
    losing.listener.head(answerHead());
    begin(winning);
    t.true(losing.isAborted);
    losing.listener.data(event(1));
    const other = version === "v1" ? "v2" : "v1";
    for (const id of ["b", "c", "d", "e"]) {
      registry.upsert(versioned(id, other));
    }
    registry.upsert(versioned("f", version));
    breakOff(winning);
    t.is(serverOf(client.last), "f");
  });
}

// A server's process may be replaced under its id. Its entry follows, and the
// stream may have begun at either process.
test("a stream goes nowhere when its server's entry has changed its software version since", (t) => {
  const { client, caller, registry } = start("v1", {
    others: { a: "v1", b: "v2" },
  });
  begin(client.last);
  registry.upsert(versioned("first", "v2", { startedAtMs: 2 }));
  breakOff(client.last);
  t.is(client.attempts.length, 1);
  t.true(caller.isAborted);
});

test("a stream goes on when its server is back with the same software version", (t) => {
  const { client, registry } = start("v1", { others: { a: "v1", b: "v2" } });
  begin(client.last);
  registry.upsert(versioned("first", "v1", { startedAtMs: 2 }));
  breakOff(client.last);
  t.is(serverOf(client.last), "a");
});

test("a stream goes on at its software version after the entry of its server is gone", (t) => {
  const { client, registry } = start("v1", { others: { a: "v2", b: "v1" } });
  begin(client.last);
  registry.forgetMoved(brandId("first"));
  breakOff(client.last);
  t.is(serverOf(client.last), "b");
});

test("a stream that goes through another VM goes on only at its software version", (t) => {
  const { client, paths, caller, time } = start("v1", {
    others: { a: "v2", b: "v3" },
  });
  paths.forwarderFor = () => ({
    vm: brandId<VmId>("vm-2"),
    address: "10.0.0.2:1",
  });
  begin(client.last);
  breakOff(client.last);
  time.advance(1_100);
  t.is(client.attempts.length, 1);
  t.true(caller.isAborted);
});
