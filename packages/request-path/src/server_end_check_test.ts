import test from "ava";
import { type ListenState, ServerEndCheck } from "./mod.ts";
import { listedServer } from "./testing.ts";

function createCheck(state: ListenState) {
  const steps: string[] = [];
  let connections = 0;
  const check = new ServerEndCheck({
    client: {
      checkListening: () => {
        connections += 1;
        return Promise.resolve(state);
      },
    },
    log: { decision: (step) => steps.push(step) },
    metrics: { count() {}, observeMs() {} },
  });
  return { check, steps, connectionCount: () => connections };
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

for (const state of ["listening", "unknown"] as const) {
  test(`a server has not ended when the check says ${state}`, async (t) => {
    const { check, steps } = createCheck(state);
    t.false(await check.hasEnded(listedServer("one")));
    t.deepEqual(steps, []);
  });
}
