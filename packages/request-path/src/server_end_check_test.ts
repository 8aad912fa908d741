import test from "ava";
import { type ListenState, ServerEndCheck, ServerRegistry } from "./mod.ts";
import { listedServer, TestTime } from "./testing.ts";

function createCheck(state: ListenState | (() => ListenState)) {
  const steps: string[] = [];
  let connections = 0;
  const registry = new ServerRegistry();
  registry.upsert(listedServer("one"));
  const time = new TestTime();
  const check = new ServerEndCheck({
    client: {
      checkListening: () => {
        connections += 1;
        return Promise.resolve(typeof state === "function" ? state() : state);
      },
    },
    registry,
    scheduler: time,
    reachesAnother: () => Promise.resolve(true),
    log: { decision: (step) => steps.push(step) },
    metrics: { count() {}, observeMs() {} },
  });
  return { check, registry, time, steps, connectionCount: () => connections };
}

test("answers that break off together open one connection to their server", async (t) => {
  const { check, steps, connectionCount } = createCheck("closed");
  const server = listedServer("one");
  t.deepEqual(
    await Promise.all([check.hasEnded(server), check.hasEnded(server)]),
    [true, true],
  );
  t.is(connectionCount(), 1);
  t.deepEqual(steps, ["server_ended"]);
  await check.hasEnded(server);
  t.is(connectionCount(), 2);
});

/** Lets time pass until the check has come to its result. */
async function settle(
  time: TestTime,
  result: Promise<boolean>,
): Promise<boolean> {
  const state = { isOver: false };
  void result.finally(() => state.isOver = true);
  while (!state.isOver) {
    await new Promise(setImmediate);
    time.advance(500);
  }
  return await result;
}

for (const state of ["listening", "unknown"] as const) {
  test(`a server has not ended when the check says ${state}`, async (t) => {
    const { check, steps, time } = createCheck(state);
    t.false(await settle(time, check.hasEnded(listedServer("one"))));
    t.deepEqual(steps, []);
  });
}

test("a server that started again at its address has ended before", async (t) => {
  const { check, registry, time } = createCheck("listening");
  const result = check.hasEnded(listedServer("one"));
  registry.upsert(listedServer("one", { startedAtMs: 2 }));
  t.true(await settle(time, result));
});

test("a connection lost before does not delay finding that a server ended", async (t) => {
  const state = { now: "listening" as ListenState };
  const { check, time } = createCheck(() => state.now);
  const server = listedServer("one");
  const earlier = check.hasEnded(server);
  await new Promise(setImmediate);
  state.now = "closed";
  t.true(await check.hasEnded(server));
  t.false(await settle(time, earlier));
});

test("a silent server whose entry lapses has ended", async (t) => {
  const { check, registry, time } = createCheck("unknown");
  const server = listedServer("one");
  const result = check.hasEnded(server);
  registry.remove(server.id, { nowMs: 1_000, mayBeBack: true });
  t.true(await settle(time, result));
});
