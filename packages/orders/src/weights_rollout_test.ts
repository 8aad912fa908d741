import test from "ava";
import {
  type BackendServerId,
  brandId,
  type ModelName,
  type VmId,
} from "@endivebend/types";
import {
  type EngineReport,
  type LeaseRecord,
  type OrderAnswer,
  planRolloutOrders,
  type RolloutEngine,
  type WeightsOrder,
  WeightsRolloutTask,
} from "./mod.ts";
import { LeaseRecords } from "./testing_lease_log.ts";

const MODEL = brandId<ModelName>("m");
const SELF = brandId<VmId>("vm-1");
const OTHER = brandId<VmId>("vm-2");

function engine(
  id: string,
  fields: Partial<RolloutEngine> = {},
): RolloutEngine {
  return {
    id: brandId<BackendServerId>(id),
    address: "10.0.0.1:1",
    model: MODEL,
    weights: 1,
    namedWeights: 2,
    weightsDeadlineMs: 20_000,
    running: 0,
    ...fields,
  };
}

test("at most two of four engines load new weights, the least busy first", (t) => {
  const engines = [5, 1, 3, 2].map((running) =>
    engine(`e${running}`, { running })
  );
  const next = planRolloutOrders(engines, new Set());
  t.deepEqual(next.map(({ id }) => String(id)), ["e1", "e2"]);
  const withOneInProgress = planRolloutOrders(
    engines,
    new Set([engines[1]!.id]),
  );
  t.is(withOneInProgress.length, 1);
});

test("engines whose weights reach their deadline don't wait for others to load", (t) => {
  const engines = [1, 2, 3, 4, 5].map((running) =>
    engine(`e${running}`, {
      running,
      weightsDeadlineMs: running > 3 ? 10_000 : 14_000,
    })
  );
  const context = { postponed: new Set<never>(), silent: new Set<never>() };
  const inProgress = new Set([engines[0]!.id]);
  const idsAt = (nowMs: number) =>
    planRolloutOrders(engines, inProgress, { ...context, nowMs })
      .map(({ id }) => String(id));
  t.deepEqual(idsAt(9_000), ["e2"]);
  t.deepEqual(idsAt(9_300), ["e2", "e4", "e5"]);
});

test("engines that answer nothing don't hold up the orders to others", (t) => {
  const engines = Array.from(
    { length: 8 },
    (_, index) => engine(`e${index}`, { running: index }),
  );
  const dark = new Set(engines.slice(0, 2).map(({ id }) => id));
  const context = { postponed: dark, silent: dark, nowMs: 0 };
  const next = planRolloutOrders(engines, new Set(), context);
  t.deepEqual(next.map(({ id }) => String(id)), ["e2", "e3"]);
  // They are asked again, besides the engines that load.
  const retried = planRolloutOrders(
    engines,
    new Set(next.map(({ id }) => id)),
    {
      ...context,
      postponed: new Set(),
    },
  );
  t.deepEqual(retried.map(({ id }) => String(id)), ["e0"]);
});

test("an engine that has the named weights gets no order", (t) => {
  t.deepEqual(planRolloutOrders([engine("e", { weights: 2 })], new Set()), []);
});

/** Runs the task in virtual time with a fake log and a fake engine. */
class RolloutHarness {
  nowMs = 10_000;
  readonly log = new LeaseRecords();
  calls = 0;
  answer: OrderAnswer = "accepted";
  report: EngineReport = {
    weights: new Map([[MODEL, 1]]),
    isBusy: false,
    acceptedOrders: 3,
    startedAtMs: 1,
  };
  reachesStore = true;
  candidates: readonly VmId[] = [];
  reachesEngines = true;
  readonly ordered: (WeightsOrder & { readonly atMs: number })[] = [];
  readonly doneFlags: boolean[] = [];
  readonly task: WeightsRolloutTask;
  #timers: { readonly atMs: number; readonly run: () => void }[] = [];

  constructor() {
    this.task = new WeightsRolloutTask({
      self: SELF,
      incarnation: "1",
      clock: { wallMs: () => this.nowMs, elapsedMs: () => this.nowMs },
      scheduler: {
        after: (delayMs, run) => {
          this.#timers.push({ atMs: this.nowMs + delayMs, run });
          return () => {};
        },
      },
      log: {
        read: () => this.#callStore(() => this.log.read()),
        append: (record, end) =>
          this.#callStore(() => this.log.append(record, end)),
      },
      orders: {
        report: () => Promise.resolve(this.report),
        order: (_engine, order) => {
          if (!order.maySend()) return Promise.resolve("unknown");
          this.ordered.push({ ...order, atMs: this.nowMs });
          return Promise.resolve(this.answer);
        },
      },
      leaseMs: 3_000,
      engines: () => [engine("e")],
      candidates: () => this.candidates,
      rank: (members) => [...members].sort(),
      reachesStore: () => this.reachesStore,
      reachesEngines: () => this.reachesEngines,
      onWeightsChange: ({ isDone }) => this.doneFlags.push(isDone),
      logDecision() {},
    });
    this.task.start();
  }

  /** Another daemon appends at the end of the log. */
  appendOther(fields: Partial<LeaseRecord> = {}): void {
    this.log.append({
      holder: OTHER,
      incarnation: "2",
      kind: "claim",
      permitsOrders: false,
      waitMs: 0,
      ...fields,
    }, this.log.list.length);
  }

  #callStore<T>(run: () => T): Promise<T> {
    this.calls += 1;
    return this.reachesStore
      ? Promise.resolve(run())
      : Promise.reject(new Error("no answer"));
  }

  async advance(durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += 10;
      const due = this.#timers.filter(({ atMs }) => atMs <= this.nowMs);
      this.#timers = this.#timers.filter(({ atMs }) => atMs > this.nowMs);
      for (const { run } of due) run();
      // The promises of the fakes settle between two steps of virtual time.
      await new Promise(setImmediate);
    }
  }
}

test("an order carries the epoch and the engine's count of orders", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(800);
  t.is(harness.ordered.length, 1);
  t.like(harness.ordered[0], { epoch: 1, acceptedOrders: 3, weights: 2 });
});

// The records of the lease tell a silent holder from one that is not heard.
test("a daemon that hears of no holder leaves the lease to one that renews it", async (t) => {
  const harness = new RolloutHarness();
  for (let second = 0; second < 30; second++) {
    harness.appendOther({ kind: "renewal" });
    await harness.advance(1_000);
  }
  t.is(harness.task.epoch, 0);
  t.is(harness.ordered.length, 0);
});

test("a daemon claims the lease of a holder that renews it no more", async (t) => {
  const harness = new RolloutHarness();
  harness.appendOther();
  await harness.advance(2_500);
  t.is(harness.task.epoch, 0, "the end of the log is known for 1,900 ms");
  await harness.advance(300);
  t.is(harness.task.epoch, 2);
  t.is(harness.log.claims.at(-1)?.holder, SELF);
});

test("the first daemon in rank looks at the log, and others do so later", async (t) => {
  const harness = new RolloutHarness();
  harness.candidates = [brandId<VmId>("vm-0")];
  await harness.advance(950);
  t.is(harness.task.epoch, 0);
  await harness.advance(100);
  t.is(harness.task.epoch, 1);
});

test("a new holder waits for the orders of a former one that may still be sent", async (t) => {
  const harness = new RolloutHarness();
  harness.appendOther({ kind: "renewal", permitsOrders: true });
  // Known from 600 ms on; permits last 1,200 ms, the lease 3,000 ms.
  await harness.advance(4_900);
  t.is(harness.task.epoch > 0, true);
  t.is(harness.ordered.length, 0);
  await harness.advance(400);
  t.is(harness.ordered.length, 1);
});

// Each claim of a chain used to begin the wait anew, so no order was ever sent.
test("a former holder that came to send no order adds nothing to the wait", async (t) => {
  const harness = new RolloutHarness();
  harness.appendOther({ kind: "claim", waitMs: 1_000 });
  await harness.advance(3_000);
  t.is(harness.ordered.length, 1);
});

test("a released lease is claimed without waiting for its silence", async (t) => {
  const harness = new RolloutHarness();
  harness.appendOther({ kind: "release" });
  await harness.advance(800);
  t.is(harness.ordered.length, 1);
});

test("a stop releases the lease with what is left to wait", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(800);
  t.is(harness.ordered.length, 1);
  harness.task.stop();
  await harness.advance(50);
  const released = harness.log.list.at(-1);
  t.is(released?.kind, "release");
  const sinceOrderMs = harness.nowMs - harness.ordered[0]!.atMs;
  t.true(released!.waitMs + sinceOrderMs >= 3_200);
});

test("a holder that reaches no engine releases the lease", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(700);
  harness.reachesEngines = false;
  await harness.advance(1_400);
  t.is(harness.task.epoch, 1, "connections to a few engines may fail");
  await harness.advance(200);
  t.is(harness.task.epoch, 0);
  t.is(harness.log.list.at(-1)?.kind, "release");
  await harness.advance(5_000);
  t.is(harness.task.epoch, 0);
});

test("a holder whose records the store does not take sends no order", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(650);
  harness.reachesStore = false;
  const { length } = harness.ordered;
  await harness.advance(1_200);
  const withPermit = harness.ordered.length;
  await harness.advance(5_000);
  t.true(length <= 1);
  t.is(harness.ordered.length, withPermit, "the last permit has ended");
});

// Ending the lease for a moment without the store made another daemon claim it.
test("a holder goes on with its lease when the store is back before others claim it", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(700);
  harness.reachesStore = false;
  await harness.advance(6_000);
  harness.reachesStore = true;
  await harness.advance(1_000);
  t.is(harness.task.epoch, 1);
  t.is(harness.log.claims.length, 1);
});

test("a claim of another daemon ends the lease", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(700);
  t.is(harness.task.epoch, 1);
  harness.appendOther();
  await harness.advance(800);
  t.is(harness.task.epoch, 0);
});

// A store that refused one daemon got a renewal from it every 50 ms.
test("a holder that the store refuses tries a few times a second until it is replaced", async (t) => {
  const harness = new RolloutHarness();
  await harness.advance(700);
  harness.reachesStore = false;
  const { calls } = harness;
  await harness.advance(3_000);
  t.true(harness.calls - calls <= 11, `${harness.calls - calls} calls`);
  t.is(harness.task.epoch, 1);
  harness.task.noteLeaseLogEnd(50);
  await harness.advance(400);
  t.is(harness.task.epoch, 0);
});

test("an end of the log that a peer made up does not stop claims for good", async (t) => {
  const harness = new RolloutHarness();
  harness.task.noteLeaseLogEnd(1_000_000);
  await harness.advance(6_000);
  t.is(harness.task.epoch, 1);
});

test("an order without an answer is not retried while the engine is busy", async (t) => {
  const harness = new RolloutHarness();
  harness.answer = "unknown";
  await harness.advance(800);
  t.is(harness.ordered.length, 1);
  harness.report = { ...harness.report, isBusy: true, acceptedOrders: 4 };
  await harness.advance(2_000);
  t.is(harness.ordered.length, 1);
  harness.report = {
    ...harness.report,
    isBusy: false,
    weights: new Map([[MODEL, 2]]),
  };
  await harness.advance(500);
  t.is(harness.doneFlags.at(-1), true);
});

test("an engine that rejects the epoch as outdated ends the lease", async (t) => {
  const harness = new RolloutHarness();
  harness.answer = "fenced";
  await harness.advance(800);
  t.is(harness.task.epoch, 0);
});
