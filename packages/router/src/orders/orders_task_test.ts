import test from "ava";
import fc from "fast-check";
import { startEngine } from "@endivebend/stand-ins";
import { HttpEngineOrderClient } from "./engine_order_client.ts";
import { OrderFleet, type SendFault } from "./testing/order_fleet.ts";

const seed = Number(process.env["SEED"] ?? 20260706);
const numRuns = Number(process.env["RUNS"] ?? 200);

function newFleet(checksFence: boolean) {
  return new OrderFleet({ vmCount: 3, engineCount: 4, checksFence });
}

test("loads issued on several VMs at the same time run two at a time", async (t) => {
  const fleet = newFleet(true);
  await fleet.time.runUntil(100);
  for (const n of [0, 1, 2, 3]) void fleet.issue(n % 3, `e${n}`, "w2");
  await fleet.time.runUntil(10_000);
  t.deepEqual(fleet.results.map((r) => r.kind), Array(4).fill("finished"));
  t.is(fleet.maxConcurrentLoads, 2);
});

test("a writer that was paused does not send an order that was superseded", async (t) => {
  const fleet = newFleet(false);
  await fleet.time.runUntil(100);
  void fleet.issue(0, "e0", "w2");
  await fleet.time.runUntil(101);
  fleet.vm(0).time.pauseUntil(20_000);
  await fleet.time.runUntil(1000);
  void fleet.issue(1, "e0", "w3");
  // No order is sent until the lease of the paused writer has ended.
  await fleet.time.runUntil(5000);
  t.deepEqual(fleet.engine("e0").accepted, []);
  await fleet.time.runUntil(30_000);
  t.deepEqual(fleet.engine("e0").accepted.map((o) => o.weightsVersion), ["w3"]);
  t.deepEqual(fleet.results.map((r) => r.kind), ["finished", "superseded"]);
});

test("an order whose append has no known result is never sent and holds no place", async (t) => {
  const fleet = newFleet(true);
  await fleet.time.runUntil(100);
  fleet.log.faults.push({ kind: "lost_answer", delayMs: 4000, laterMs: 0 });
  void fleet.issue(0, "e0", "w2");
  await fleet.time.runUntil(3500);
  t.deepEqual(fleet.results, [{ kind: "threw" }]);
  await fleet.time.runUntil(20_000);
  t.deepEqual(fleet.engine("e0").accepted, []);
  t.deepEqual(fleet.vm(1).task.openOrders(), []);
});

test("an open order of a restarted daemon is taken over and its place is freed", async (t) => {
  const fleet = newFleet(false);
  await fleet.time.runUntil(100);
  void fleet.issue(0, "e0", "w2");
  await fleet.time.runUntil(104);
  fleet.restart(0);
  await fleet.time.runUntil(20_000);
  t.is(fleet.engine("e0").weightsVersion, "w2");
  t.deepEqual(fleet.vm(1).task.openOrders(), []);
});

test("the HTTP client reports stale tokens and fetches the engine's state", async (t) => {
  const engine = await startEngine({ model: "m", weightsVersion: "w1" });
  const client = new HttpEngineOrderClient();
  t.teardown(async () => {
    await client.close();
    await engine.close();
  });
  const order = {
    kind: "load_adapter" as const,
    model: "a",
    weightsVersion: "w2",
  };
  const send = (fence: number) =>
    client.send(engine.address, { ...order, fence }, { timeoutMs: 2000 });
  const before = await client.fetchState(engine.address, "a");
  t.deepEqual(before, { lastFence: undefined, weightsVersion: undefined });
  t.deepEqual(await send(5), { kind: "accepted" });
  t.deepEqual(await send(4), { kind: "stale" });
  const after = await client.fetchState(engine.address, "a");
  t.deepEqual(after, { lastFence: 5, weightsVersion: "w2" });
});

test("under pauses, restarts and lost answers no engine returns to an older order", async (t) => {
  t.log(`seed ${seed}, ${numRuns} runs; set SEED and RUNS for others`);
  const sendFault: fc.Arbitrary<SendFault> = fc.record({
    kind: fc.constantFrom("none", "none", "lost_request", "lost_answer"),
    delayMs: fc.constantFrom(1, 20, 300),
  });
  const step = fc.record({
    atMs: fc.nat(15_000),
    kind: fc.constantFrom("issue", "issue", "issue", "pause", "restart"),
    vm: fc.nat(2),
    engine: fc.nat(3),
    forMs: fc.nat(8000),
  });
  const script = fc.record({
    checksFence: fc.boolean(),
    steps: fc.array(step, { minLength: 1, maxLength: 15 }),
    sendFaults: fc.array(sendFault, { maxLength: 15 }),
    appendFaults: fc.array(
      fc.record({
        kind: fc.constantFrom("none", "refused", "lost_answer", "twice"),
        delayMs: fc.constantFrom(1, 200, 4000),
        laterMs: fc.constantFrom(1, 200),
      }),
      { maxLength: 15 },
    ),
  });
  let accepted = 0;
  await fc.assert(
    fc.asyncProperty(script, async (input) => {
      const fleet = newFleet(input.checksFence);
      fleet.sendFaults.push(...input.sendFaults);
      fleet.log.faults.push(...input.appendFaults);
      const steps = [...input.steps].sort((a, b) => a.atMs - b.atMs);
      for (
        const [index, { atMs, kind, vm, engine, forMs }] of steps.entries()
      ) {
        await fleet.time.runUntil(100 + atMs);
        if (kind === "issue") void fleet.issue(vm, `e${engine}`, `w${index}`);
        if (kind === "pause") fleet.vm(vm).time.pauseUntil(atMs + forMs);
        if (kind === "restart") fleet.restart(vm);
      }
      await fleet.time.runUntil(120_000);
      for (const [id, engine] of fleet.engines) {
        const fences = engine.accepted.map((order) => order.fence);
        accepted += fences.length;
        const sorted = [...fences].sort((a, b) => a - b);
        if (`${fences}` !== `${sorted}`) throw new Error(`${id}: ${fences}`);
      }
      if (fleet.maxConcurrentLoads > 2) {
        throw new Error(`${fleet.maxConcurrentLoads} loads`);
      }
      const openOrders = fleet.vms.flatMap((vm) => vm.task.openOrders());
      if (openOrders.length > 0) {
        throw new Error(`${openOrders.length} orders stay open`);
      }
    }),
    { seed, numRuns },
  );
  t.log(`${accepted} orders accepted`);
  t.true(accepted > 0);
});
