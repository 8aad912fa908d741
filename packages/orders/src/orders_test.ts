import test from "ava";
import fc from "fast-check";
import type { LogOffset } from "@endivebend/types";
import {
  compareEngineState,
  MAX_WEIGHT_LOADS,
  type OrderKind,
  OrdersState,
  planOrder,
} from "./mod.ts";

const seed = Number(process.env["SEED"] ?? 20260705);

class TestLog {
  readonly state = new OrdersState();
  nowMs = 0;
  #offset = 0;

  append(value: unknown): void {
    const offset = this.#offset++ as LogOffset;
    this.state.apply({ offset, appendedAtMs: 0, value }, this.nowMs);
  }

  issue(recordId: string, engineId: string, overrides: {
    readonly vmId?: string;
    readonly orderKind?: OrderKind;
    readonly takesOver?: string;
  } = {}): void {
    this.append({
      kind: "order_issued",
      recordId,
      engineId,
      vmId: "vm-1",
      incarnation: "a",
      orderKind: "load_model",
      model: "m",
      weightsVersion: "w2",
      leaseMs: 1000,
      ...overrides,
    });
  }

  end(orderId: string, engineId: string, vmId = "vm-1"): void {
    this.append({
      kind: "order_finished",
      recordId: `end-${orderId}`,
      orderId,
      engineId,
      vmId,
      incarnation: "a",
    });
  }
}

function contextOf(orderId: string, nowMs: number, checksFence = false) {
  return {
    ownOrderIds: new Set([orderId]),
    engineId: "e1",
    nowMs,
    ownLeaseUntilMs: nowMs + 1000,
    minSendMs: 200,
    checksFence,
  };
}

test("only the newest order of an engine may be sent", (t) => {
  const log = new TestLog();
  log.issue("o1", "e1");
  log.issue("o2", "e1", { vmId: "vm-2" });
  // A second copy of the older order's record must not become the newest.
  log.issue("o1", "e1");
  t.is(log.state.verdict("o1"), "superseded");
  t.is(log.state.verdict("o2"), "may_be_sent");
  t.is(log.state.newestOrder("e1")?.fence, 1);
});

test("an order that reaches the log after its own end is refused", (t) => {
  const log = new TestLog();
  log.end("o1", "e1");
  log.issue("o1", "e1");
  t.is(log.state.verdict("o1"), "refused");
  t.is(log.state.newestOrder("e1"), undefined);
});

test("a third concurrent load waits, and a role change does not", (t) => {
  const log = new TestLog();
  for (const n of [1, 2, 3]) log.issue(`o${n}`, `e${n}`);
  log.issue("o4", "e4", { orderKind: "change_role" });
  t.is(log.state.verdict("o3"), "waits_for_load_place");
  t.is(log.state.verdict("o4"), "may_be_sent");
  log.end("o1", "e1", "vm-9");
  t.is(log.state.verdict("o3"), "waits_for_load_place");
  log.end("o1", "e1");
  t.is(log.state.verdict("o3"), "may_be_sent");
});

test("a takeover keeps the load's position, and the second of two is refused", (t) => {
  const log = new TestLog();
  for (const n of [1, 2, 3]) log.issue(`o${n}`, `e${n}`);
  log.issue("t1", "e1", { vmId: "vm-2", takesOver: "o1" });
  log.issue("t2", "e1", { vmId: "vm-3", takesOver: "o1" });
  t.is(log.state.verdict("t1"), "may_be_sent");
  t.is(log.state.verdict("t2"), "refused");
  t.is(log.state.verdict("o3"), "waits_for_load_place");
});

test("an order waits for the lease of an earlier one unless the engine checks fences", (t) => {
  const log = new TestLog();
  log.issue("o1", "e1");
  log.nowMs = 400;
  log.issue("o2", "e1", { vmId: "vm-2" });
  t.deepEqual(planOrder(log.state, "o2", contextOf("o2", 400)), {
    kind: "wait_until",
    atMs: 1010,
  });
  const planAfterLease = planOrder(log.state, "o2", contextOf("o2", 1010));
  t.like(planAfterLease, { kind: "send", fence: 1 });
  const planWithFenceCheck = planOrder(
    log.state,
    "o2",
    contextOf("o2", 400, true),
  );
  t.is(planWithFenceCheck.kind, "send");
  log.end("o1", "e1");
  t.is(planOrder(log.state, "o2", contextOf("o2", 400)).kind, "send");
});

test("a writer whose lease is about to end renews the order instead of sending it", (t) => {
  const log = new TestLog();
  log.issue("o1", "e1");
  const context = { ...contextOf("o1", 900), ownLeaseUntilMs: 1000 };
  t.is(planOrder(log.state, "o1", context).kind, "renew");
  log.issue("o2", "e1", { vmId: "vm-2" });
  t.deepEqual(planOrder(log.state, "o1", context), {
    kind: "stop",
    verdict: "superseded",
  });
});

test("an order is sent again when the engine accepted an older one last", (t) => {
  const order = { fence: 7, weightsVersion: "w2", loadsModel: true };
  const compare = (lastFence: number | undefined, weightsVersion: string) =>
    compareEngineState({ lastFence, weightsVersion }, order);
  t.is(compare(undefined, "w1"), "send_again");
  t.is(compare(5, "w2"), "send_again");
  t.is(compare(7, "w1"), "loading");
  t.is(compare(7, "w2"), "done");
  t.is(compare(8, "w2"), "superseded");
});

test("at most two loads may run after any prefix of any log", (t) => {
  t.log(`seed ${seed}`);
  const steps = fc.array(
    fc.record({
      kind: fc.constantFrom("issue", "take_over", "end"),
      engine: fc.nat(5),
      vm: fc.nat(2),
      role: fc.boolean(),
    }),
    { maxLength: 60 },
  );
  fc.assert(
    fc.property(steps, (input) => {
      const log = new TestLog();
      /** Engines with an order to load that may be sent and has not ended. */
      const loading = new Set<string>();
      input.forEach(({ kind, engine, vm, role }, index) => {
        const engineId = `e${engine}`;
        const vmId = `vm-${vm}`;
        const newest = log.state.newestOrder(engineId);
        if (kind === "issue") {
          const orderKind = role ? "change_role" : "load_model";
          log.issue(`o${index}`, engineId, { vmId, orderKind });
        }
        if (kind === "take_over" && newest) {
          const takesOver = newest.recordId;
          log.issue(`o${index}`, engineId, { vmId, takesOver });
        }
        if (kind === "end" && newest) {
          log.end(newest.recordId, engineId, newest.vmId);
          loading.delete(engineId);
        }
        for (const order of log.state.openOrders()) {
          const maySend = log.state.verdict(order.recordId) === "may_be_sent";
          if (maySend && order.orderKind !== "change_role") {
            loading.add(order.engineId);
          }
        }
        if (loading.size > MAX_WEIGHT_LOADS) {
          throw new Error(`${loading.size} loads after step ${index}`);
        }
      });
      t.pass();
    }),
    { seed, numRuns: 3000 },
  );
});
