import test from "ava";
import { TestFleet } from "./testing_fleet.ts";

/** Time after which an engine that leaves gets no more requests. */
const DRAIN_MS = 2_000;
const DAEMONS = 8;

for (const storeIs of ["there", "away"] as const) {
  test(`an engine that says in its answers that it leaves gets no more requests, store ${storeIs}`, async (t) => {
    const fleet = new TestFleet({ daemons: DAEMONS, engines: 4 });
    const { time, store } = fleet;
    await time.advance(3_000);
    let sent = 0;
    const send = () => {
      if (time.nowMs > 22_000) return;
      fleet.send(sent++ % DAEMONS, [`parish-${sent}`]);
      time.after(20, send);
    };
    send();
    await time.advance(1_000);
    store.isDown = storeIs === "away";
    const [leaving] = fleet.runningEngines();
    leaving!.saysThatItLeaves = true;
    await time.advance(3_000);
    // Its entry goes on saying that it is ready, and is written again.
    store.isDown = false;
    fleet.report(leaving!);
    await time.advance(6_000);
    const { id, address } = leaving!.listed;
    const late = fleet.arrivals.filter(({ engine, atMs }) =>
      engine === id && atMs > 4_000 + DRAIN_MS
    );
    t.deepEqual(late, []);
    t.true(fleet.outcomes.every(({ refusal }) => refusal === undefined));
    fleet.crash(leaving!);
    await time.advance(6_000);
    const next = fleet.runningEngines().find(({ listed }) =>
      listed.address === address
    )!;
    const arrived = fleet.arrivals.filter(({ engine }) =>
      engine === next.listed.id
    );
    t.true(arrived.length > 0, "a new process at the address is used");
  });
}

test("the last engine that stays gone is refused at once, not tried", async (t) => {
  const fleet = new TestFleet({ daemons: 2, engines: 1 });
  const { time } = fleet;
  await time.advance(3_000);
  fleet.runningEngines()[0]!.saysThatItLeaves = true;
  fleet.send(0, ["first"]);
  await time.advance(1_500);
  const outcome = fleet.send(1, ["second"]);
  await time.advance(50);
  t.like(outcome.refusal, { reason: "no_server", isNotRun: true });
});
