import test from "ava";
import {
  type BackendServerId,
  brandId,
  type ModelName,
  type VmId,
} from "@endivebend/types";
import {
  type ClaimResult,
  type EngineReport,
  type OrderAnswer,
  type OrderedEngine,
  planWeightsOrders,
  shouldClaim,
  WeightsDutyTask,
  type WeightsOrder,
} from "./mod.ts";

const MODEL = brandId<ModelName>("m");
const SELF = brandId<VmId>("vm-1");

function engine(
  id: string,
  fields: Partial<OrderedEngine> = {},
): OrderedEngine {
  return {
    id: brandId<BackendServerId>(id),
    address: "10.0.0.1:1",
    model: MODEL,
    weights: 1,
    namedWeights: 2,
    running: 0,
    ...fields,
  };
}

test("at most half of the engines take new weights, the least busy first", (t) => {
  const engines = [5, 1, 3, 2].map((running) =>
    engine(`e${running}`, { running })
  );
  const next = planWeightsOrders(engines, new Set());
  t.deepEqual(next.map(({ id }) => String(id)), ["e1", "e2"]);
  const later = planWeightsOrders(engines, new Set([engines[1]!.id]));
  t.is(later.length, 1);
});

test("an engine that has the named weights gets no order", (t) => {
  t.deepEqual(planWeightsOrders([engine("e", { weights: 2 })], new Set()), []);
});

test("the duty is claimed by the first in rank, by others only later", (t) => {
  const input = {
    self: SELF,
    reachesStore: true,
    candidates: [brandId<VmId>("vm-0")],
    hasHolder: false,
    vacantForMs: 700,
    rank: (members: readonly VmId[]) => [...members].sort(),
  };
  t.false(shouldClaim(input));
  t.true(shouldClaim({ ...input, vacantForMs: 1_100 }));
  t.false(shouldClaim({ ...input, vacantForMs: 1_100, hasHolder: true }));
  t.false(shouldClaim({ ...input, vacantForMs: 1_100, reachesStore: false }));
});

/** Runs the task in virtual time against fakes. */
class DutyWorld {
  nowMs = 10_000;
  claim: ClaimResult = { kind: "held", epoch: 1, previousHolder: undefined };
  isConfirmed = true;
  answer: OrderAnswer = "accepted";
  report: EngineReport = {
    weights: new Map([[MODEL, 1]]),
    isBusy: false,
    acceptedOrders: 3,
  };
  reachesStore = true;
  holderEpoch = 0;
  readonly ordered: (WeightsOrder & { readonly atMs: number })[] = [];
  readonly notes: boolean[] = [];
  readonly task: WeightsDutyTask;
  #tasks: { readonly atMs: number; readonly run: () => void }[] = [];

  constructor() {
    this.task = new WeightsDutyTask({
      self: SELF,
      clock: { wallMs: () => this.nowMs, elapsedMs: () => this.nowMs },
      scheduler: {
        after: (delayMs, run) => {
          this.#tasks.push({ atMs: this.nowMs + delayMs, run });
          return () => {};
        },
      },
      log: {
        claim: () => Promise.resolve(this.claim),
        confirm: () => Promise.resolve(this.isConfirmed),
      },
      orders: {
        report: () => Promise.resolve(this.report),
        order: (_engine, order) => {
          this.ordered.push({ ...order, atMs: this.nowMs });
          return Promise.resolve(this.answer);
        },
      },
      leaseMs: 3_000,
      engines: () => [engine("e")],
      peers: () => ({ candidates: [], holderEpoch: this.holderEpoch }),
      rank: (members) => members,
      reachesStore: () => this.reachesStore,
      changed: ({ isDone }) => this.notes.push(isDone),
      decision() {},
    });
    this.task.start();
  }

  async advance(durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += 10;
      const due = this.#tasks.filter(({ atMs }) => atMs <= this.nowMs);
      this.#tasks = this.#tasks.filter(({ atMs }) => atMs > this.nowMs);
      for (const { run } of due) run();
      // Promises of fakes settle between two steps of virtual time.
      await new Promise(setImmediate);
    }
  }
}

test("an order carries the epoch and the engine's count of orders", async (t) => {
  const world = new DutyWorld();
  await world.advance(800);
  t.is(world.ordered.length, 1);
  t.like(world.ordered[0], { epoch: 1, acceptedOrders: 3, weights: 2 });
});

test("after another holder, the lease passes before the first order", async (t) => {
  const world = new DutyWorld();
  world.claim = {
    kind: "held",
    epoch: 2,
    previousHolder: brandId<VmId>("vm-2"),
  };
  await world.advance(3_500);
  t.is(world.ordered.length, 0);
  await world.advance(600);
  t.is(world.ordered.length, 1);
});

test("a holder that the store does not confirm orders nothing", async (t) => {
  const world = new DutyWorld();
  world.isConfirmed = false;
  await world.advance(5_000);
  t.is(world.ordered.length, 0);
});

test("a holder that loses the store gives the duty up", async (t) => {
  const world = new DutyWorld();
  await world.advance(700);
  t.is(world.task.epoch, 1);
  world.reachesStore = false;
  await world.advance(100);
  t.is(world.task.epoch, 0);
});

test("a later epoch of another daemon ends the duty", async (t) => {
  const world = new DutyWorld();
  await world.advance(700);
  world.holderEpoch = 5;
  await world.advance(100);
  t.is(world.task.epoch, 0);
});

test("an order without an answer is not repeated while it may be done", async (t) => {
  const world = new DutyWorld();
  world.answer = "unknown";
  await world.advance(800);
  t.is(world.ordered.length, 1);
  world.report = { ...world.report, isBusy: true, acceptedOrders: 4 };
  await world.advance(2_000);
  t.is(world.ordered.length, 1);
  world.report = {
    ...world.report,
    isBusy: false,
    weights: new Map([[MODEL, 2]]),
  };
  await world.advance(500);
  t.is(world.notes.at(-1), true);
});

test("an engine that knows a later epoch ends the duty", async (t) => {
  const world = new DutyWorld();
  world.answer = "fenced";
  await world.advance(800);
  t.is(world.task.epoch, 0);
});
