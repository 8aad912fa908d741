import {
  type BackendServerId,
  brandId,
  type RequestId,
  type VmId,
} from "@endivebend/types";
import test from "ava";
import fc from "fast-check";
import {
  type LimitedServer,
  planAllowances,
  RequestRun,
  ServerAllowances,
  ServerRegistry,
  type Sharer,
} from "./mod.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  routedRequest,
  testContext,
} from "./testing.ts";

/** Requests in a window that users allow a server with a limit to get. */
const WINDOW_S = 4;
const allowedInWindow = (limitPerS: number) => 1.5 * WINDOW_S * limitPerS + 5;
const ENGINE = brandId<BackendServerId>("one");

function fleet(demands: readonly number[]): Sharer[] {
  return demands.map((demandPerS, index) => ({
    vm: brandId<VmId>(`vm-${index}`),
    demandPerS,
  }));
}

function servers(limits: readonly number[]): LimitedServer[] {
  return limits.map((limitPerS, index) => ({
    id: brandId<BackendServerId>(`e-${index}`),
    limitPerS,
  }));
}

/** The parts of each daemon, by its VM. */
function planForAll(limited: readonly LimitedServer[], all: readonly Sharer[]) {
  return all.map(({ vm }) => planAllowances(limited, { self: vm, all }));
}

test("what all daemons together may send stays within the users' bound", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.double({ min: 0, max: 40, noNaN: true }), {
        minLength: 1,
        maxLength: 8,
      }),
      fc.array(fc.double({ min: 0, max: 60, noNaN: true }), {
        minLength: 1,
        maxLength: 60,
      }),
      (limits, demands) => {
        const limited = servers(limits);
        const plans = planForAll(limited, fleet(demands));
        for (const { id, limitPerS } of limited) {
          const parts = plans.flatMap((plan) => plan.get(id) ?? []);
          const ratePerS = parts.reduce((sum, part) => sum + part, 0);
          // Each sharer may have one request saved up.
          const most = ratePerS * WINDOW_S + parts.length;
          t.true(
            most <= allowedInWindow(limitPerS),
            `${most} of ${limitPerS}/s with ${parts.length} sharers`,
          );
        }
      },
    ),
    { seed: 7 },
  );
});

test("every daemon of a large fleet shares as many servers as the others", (t) => {
  const plans = planForAll(
    servers(Array.from({ length: 60 }, () => 3.5)),
    fleet(Array.from({ length: 195 }, () => 1)),
  );
  const counts = plans.map((plan) => plan.size);
  t.true(Math.max(...counts) - Math.min(...counts) <= 1);
  t.true(Math.min(...counts) >= 1);
});

test("a daemon with more callers may send more, and none has nothing", (t) => {
  const [busy, other, idle] = planForAll(servers([4]), fleet([30, 10, 0]));
  const [most = 0, less = 0, least = 0] = [busy, other, idle]
    .map((plan) => plan?.values().next().value);
  t.true(Math.abs(most / less - 3) < 0.01);
  t.true(least > 0);
});

function createAllowances(limitPerS: number) {
  const registry = new ServerRegistry();
  registry.upsert(listedServer("one"));
  registry.recordOwnLimit(ENGINE, { perS: limitPerS }, 0);
  const self = brandId<VmId>("vm-1");
  const allowances = new ServerAllowances({
    registry,
    self,
    daemons: () => [{ vm: self, demandPerS: 5 }],
  });
  const server = registry.get(ENGINE)!;
  return { registry, allowances, server };
}

test("servers that a daemon leaves to others are divided up once, not at each look", (t) => {
  const registry = new ServerRegistry();
  for (let index = 0; index < 60; index++) {
    const server = listedServer(`engine-${index}`);
    registry.upsert(server);
    registry.recordOwnLimit(server.id, { perS: 3.5 }, 0);
  }
  let plans = 0;
  const allowances = new ServerAllowances({
    registry,
    self: brandId<VmId>("vm-7"),
    daemons: () => {
      plans += 1;
      return fleet(Array.from({ length: 195 }, () => 1));
    },
  });
  for (const server of registry.all()) allowances.waitMs(server, 10);
  t.is(plans, 1);
  const newcomer = listedServer("newcomer");
  registry.upsert(newcomer);
  registry.recordOwnLimit(newcomer.id, { perS: 3.5 }, 0);
  allowances.waitMs(registry.get(newcomer.id)!, 20);
  t.is(plans, 2);
});

test("a daemon that learns of a limit has nothing saved up", (t) => {
  const { allowances, server } = createAllowances(2);
  const waitMs = allowances.waitMs(server, 0);
  t.true(waitMs > 0);
  t.is(allowances.waitMs(server, waitMs), 0);
  allowances.take(server, waitMs);
  t.true(allowances.waitMs(server, waitMs) > 0);
});

test("a quiet time saves up one request, not more", (t) => {
  const { allowances, server } = createAllowances(2);
  allowances.waitMs(server, 0);
  t.is(allowances.waitMs(server, 60_000), 0);
  allowances.take(server, 60_000);
  t.true(allowances.waitMs(server, 60_000) > 0);
});

test("a server that takes nothing is tried now and then, to learn of its end", (t) => {
  const { allowances, server } = createAllowances(0);
  const waitMs = allowances.waitMs(server, 0);
  t.true(Number.isFinite(waitMs));
  t.true(waitMs >= 3_000);
});

test("the newest answer that any daemon got decides about a limit", (t) => {
  const { registry, server } = createAllowances(2);
  t.false(registry.recordLimit(ENGINE, { perS: 9 }, -100));
  t.is(server.limit?.perS, 2);
  t.true(registry.recordLimit(ENGINE, { perS: 3 }, 100));
  t.true(registry.recordOwnLimit(ENGINE, { perS: undefined }, 200));
  t.false(registry.recordLimit(ENGINE, { perS: 3 }, 150));
  t.is(server.limit, undefined);
});

test("peers are told of the end of a limit also after further answers", (t) => {
  const { registry } = createAllowances(2);
  t.like(registry.seenLimits(500), [{ perS: 2, atMs: 0 }]);
  registry.recordOwnLimit(ENGINE, { perS: undefined }, 1_000);
  registry.recordOwnLimit(ENGINE, { perS: undefined }, 2_000);
  const [seen] = registry.seenLimits(3_000);
  t.like(seen, { id: ENGINE, atMs: 1_000 });
  t.is(seen?.perS, undefined);
  t.deepEqual(registry.seenLimits(60_000), []);
});

test("an engine that starts again has no limit", (t) => {
  const { registry } = createAllowances(2);
  registry.upsert(listedServer("one", { startedAtMs: 2 }));
  t.is(registry.get(ENGINE)?.limit, undefined);
});

let requests = 0;

/** Runs a request to its first event at the servers of the context. */
function send(
  context: ReturnType<typeof testContext>,
  kind: "resumable_stream" | "at_most_once" = "resumable_stream",
) {
  const caller = new FakeCaller();
  const request = routedRequest(kind, {
    requestId: brandId<RequestId>(`q-${++requests}`),
    deadlineMs: 600_000,
    timeoutAtMs: 600_000,
  });
  const sentBefore = context.client.attempts.length;
  new RequestRun(context, request, caller).start();
  const wasSent = context.client.attempts.length > sentBefore;
  if (wasSent) context.client.last.listener.sent();
  return { caller, wasSent };
}

for (const kind of ["resumable_stream", "at_most_once"] as const) {
  test(`a request of kind ${kind} that no server takes now is refused at once, with the time`, (t) => {
    const context = testContext();
    for (const { listed } of context.registry.all()) {
      context.registry.recordOwnLimit(listed.id, { perS: 1 }, 0);
    }
    const { caller, wasSent } = send(context, kind);
    t.false(wasSent);
    t.like(caller.refusal, { reason: "limited", isNotRun: true });
    const waitMs = caller.refusal?.retryAfterMs ?? 0;
    context.time.advance(waitMs);
    t.true(send(context, kind).wasSent);
  });
}

test("requests go to servers without a limit while others take no more", (t) => {
  const context = testContext();
  context.registry.recordOwnLimit(ENGINE, { perS: 1 }, 0);
  for (let sent = 0; sent < 5; sent++) {
    t.true(send(context).wasSent);
    t.is(context.client.last.order.server.id, "second" as BackendServerId);
  }
});

for (const [elapsedMs, waitMs] of [[0, 300], [300, 0]] as const) {
  test(`a stream that has begun goes on within ${waitMs} ms at a server that takes another within ${elapsedMs} ms`, (t) => {
    const context = testContext();
    const { caller } = send(context);
    const { listener } = context.client.last;
    listener.head(answerHead());
    listener.data(Buffer.from("id: 1\ndata: a\n\n"));
    for (const { listed } of context.registry.all()) {
      context.registry.recordOwnLimit(
        listed.id,
        { perS: 1 },
        context.time.nowMs,
      );
    }
    t.false(send(context).wasSent);
    context.time.advance(elapsedMs);
    t.false(send(context).wasSent);
    listener.failed({ kind: "broken", reason: "reset" });
    t.is(context.client.attempts.length, waitMs === 0 ? 2 : 1);
    context.time.advance(waitMs);
    t.is(context.client.attempts.length, 2);
    t.false(caller.isAborted);
  });
}
