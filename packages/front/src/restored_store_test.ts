import test from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { TestFleet } from "./testing_fleet.ts";

/** Time within which a change must be in force; the users' bound. */
const CONFIG_MS = 2_000;
/** Time after which an engine that leaves gets no more requests. */
const DRAIN_MS = 2_000;
const DAEMONS = 8;

function revisions(fleet: TestFleet): (number | undefined)[] {
  return Array.from(
    { length: DAEMONS },
    (_, index) => fleet.revisionAt(index),
  );
}

// The store gives out the offsets of lost records again.
test("a change is in force at every daemon after the store came back from a copy", async (t) => {
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
  const { time, store } = fleet;
  await time.advance(2_000);
  for (const revision of [5, 9, 12]) {
    fleet.configure(revision);
    await time.advance(3_000);
  }
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(12));
  store.restore({ copyAgeMs: 9_000, awayMs: 2_000 });
  await time.advance(2_000 + CONFIG_MS);
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(12));
  fleet.configure(15);
  await time.advance(CONFIG_MS);
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(15));
  const listings = fleet.steps.filter(({ step, topic }) =>
    step === "records_read" && topic === "operator"
  );
  t.true(listings.length <= 8 * DAEMONS, `${listings.length} listings`);
});

/** Sends a request to each daemon in turn every 20 ms. */
function sendTraffic(fleet: TestFleet, untilMs: number): void {
  let sent = 0;
  const send = () => {
    if (fleet.time.nowMs > untilMs) return;
    fleet.send(sent++ % DAEMONS, [`parish-${sent}`]);
    fleet.time.after(20, send);
  };
  send();
}

// The copy lists the engine as it was before it left.
for (const how of ["reported", "removed"] as const) {
  test(`an engine whose leaving was ${how} gets no requests when a copy lists it again`, async (t) => {
    const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
    const { time, store } = fleet;
    await time.advance(6_000);
    sendTraffic(fleet, 24_000);
    const [leaving] = fleet.runningEngines();
    fleet.leave(leaving!, how);
    await time.advance(3_000);
    store.restore({ copyAgeMs: 5_000, awayMs: 1_000, rewriteMs: 1_500 });
    await time.advance(15_000);
    const late = fleet.arrivals.filter(({ engine, atMs }) =>
      engine === leaving!.listed.id && atMs > 6_000 + DRAIN_MS
    );
    t.deepEqual(late, []);
    t.true(fleet.arrivals.length > 800);
  });
}

// The copy lacks the engine until it reports again.
test("an engine that a copy lacks goes on getting requests", async (t) => {
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
  const { time, store } = fleet;
  await time.advance(6_000);
  fleet.crash(fleet.runningEngines()[0]!);
  await time.advance(5_000);
  const started = fleet.runningEngines().at(-1)!;
  sendTraffic(fleet, 24_000);
  await time.advance(500);
  store.restore({ copyAgeMs: 4_000, awayMs: 1_000, rewriteMs: 1_900 });
  await time.advance(12_000);
  const times = fleet.arrivals
    .filter(({ engine }) => engine === started.listed.id)
    .map(({ atMs }) => atMs);
  const pauses = times.slice(1).map((atMs, index) => atMs - times[index]!);
  t.true(Math.max(...pauses) < 1_000, `${Math.max(...pauses)} ms without any`);
});

test("an engine that is not listed again after a restore is taken as gone", async (t) => {
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
  const { time, store } = fleet;
  await time.advance(6_000);
  sendTraffic(fleet, 24_000);
  const [silent] = fleet.runningEngines();
  store.forget(silent!.listed.id);
  store.restore({ copyAgeMs: 1_000, awayMs: 1_000 });
  await time.advance(15_000);
  const boundMs = 6_000 + 1_000 + 2_500 + DRAIN_MS;
  const late = fleet.arrivals.filter(({ engine, atMs }) =>
    engine === silent!.listed.id && atMs > boundMs
  );
  t.deepEqual(late, []);
});

test("daemons that start after a restore learn from peers what the copy lacks", async (t) => {
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
  const { time, store } = fleet;
  await time.advance(4_000);
  fleet.configure(5);
  await time.advance(3_000);
  store.restore({ copyAgeMs: 4_000, awayMs: 500, rewriteMs: 5_000 });
  await time.advance(1_500);
  fleet.killDaemon(3);
  fleet.startDaemon(3);
  await time.advance(1_500);
  t.deepEqual(revisions(fleet), Array(DAEMONS).fill(5));
});

// The copy lacks the daemon that registered last, and only a list names it.
test("daemons that start before and after a restore find each other", async (t) => {
  const fleet = new TestFleet({ daemons: 3, engines: 2 });
  const { time, store } = fleet;
  await time.advance(8_000);
  fleet.startDaemon(3);
  await time.advance(2_000);
  store.restore({ copyAgeMs: 4_000, awayMs: 1_000 });
  await time.advance(1_200);
  fleet.startDaemon(4);
  await time.advance(10_000);
  const members = [0, 1, 2, 3, 4].map((index) =>
    fleet.steps.findLast(({ step, vm }) =>
      step === "status" && vm === `vm-${index}`
    )?.["members"]
  );
  t.deepEqual(members, [5, 5, 5, 5, 5]);
});

for (const seed of [1, 2, 3, 4, 5]) {
  test(`changes hold through restores and restarts in a random order, seed ${seed}`, async (t) => {
    const random = xoroshiro128plus(seed);
    const draw = (most: number) => uniformInt(random, 0, most);
    const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
    const { time, store } = fleet;
    await time.advance(2_000);
    let revision = 1;
    for (let round = 0; round < 6; round++) {
      for (let count = draw(3); count >= 0; count--) {
        fleet.configure(revision += 1 + draw(4));
        await time.advance(draw(1_500));
      }
      const restarted = draw(DAEMONS - 1);
      fleet.killDaemon(restarted);
      const awayMs = 200 + draw(2_500);
      store.restore({
        copyAgeMs: 1_000 + draw(9_000),
        awayMs,
        rewriteMs: draw(1_800),
      });
      await time.advance(draw(awayMs));
      fleet.startDaemon(restarted);
      await time.advance(awayMs + 1_800 + CONFIG_MS);
      const label = `round ${round}, seed ${seed}`;
      t.deepEqual(revisions(fleet), Array(DAEMONS).fill(revision), label);
    }
    const applied = new Map<unknown, number>();
    for (const step of fleet.steps) {
      if (step["step"] === "start") applied.delete(step["vm"]);
      if (step["step"] !== "configuration" || step["isNewer"] !== true) {
        continue;
      }
      const now = Number(step["revision"]);
      t.true(
        now > (applied.get(step["vm"]) ?? 0),
        `${step["vm"]}, seed ${seed}`,
      );
      applied.set(step["vm"], now);
    }
  });
}
