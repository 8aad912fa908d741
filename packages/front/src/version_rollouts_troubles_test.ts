import test from "ava";
import {
  checkRolledBack,
  checkSucceeded,
  DURATION_MS,
  FAILURE,
  holderOf,
  ORDER_AT_MS,
  RolloutPlay,
} from "./testing_rollout_play.ts";

test("while the store is away a bad version is stopped, and rolled back afterwards", async (t) => {
  const play = new RolloutPlay();
  play.spoil("v2", 0.5, () => FAILURE);
  let exposedAtStop = 0;
  await play.playOrder(async () => {
    await play.run(300);
    play.fleet.store.isDown = true;
    await play.run(4_000);
    exposedAtStop = play.exposure();
    play.fleet.store.isDown = false;
  });
  checkRolledBack(t, play);
  t.true(play.exposure() - exposedAtStop <= 2);
});

test("a store that is away for seconds does not undo a good version", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    await play.run(6_900);
    play.fleet.store.isDown = true;
    await play.run(2_500);
    play.fleet.store.isDown = false;
  });
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a status whose answer was lost is read again and not replaced", async (t) => {
  const play = new RolloutPlay();
  play.fleet.statuses.dropsAnswers = true;
  await play.playOrder(async () => {
    await play.run(2_500);
    play.fleet.statuses.dropsAnswers = false;
    await play.run(4_700);
    play.fleet.statuses.dropsAnswers = true;
  });
  checkSucceeded(t, play);
  t.is(play.phases.filter((phase) => phase !== "running").length, 1);
  t.deepEqual(play.lost(), []);
});

test("a later order replaces one that runs, whose version gets nothing more", async (t) => {
  const play = new RolloutPlay();
  await play.run(ORDER_AT_MS);
  play.order("v2");
  const second = play.newer.length;
  await play.run(3_000);
  const firstIds = play.newIds;
  play.order("v3");
  await play.run(500);
  const arrived = play.fleet.arrivals.length;
  await play.run(DURATION_MS);
  t.is(play.newer.length, 2 * second);
  t.like(play.fleet.statuses.written.at(-1), {
    phase: "succeeded",
    to: "v3" as never,
  });
  const late = play.fleet.arrivals.slice(arrived);
  t.is(late.filter(({ engine }) => firstIds.has(engine)).length, 0);
});

// Guards against a status that ends streams which the version of a replaced
// order has begun: its servers stop too once the later order has succeeded.
test("a later order succeeds once no work is left at the version it replaces", async (t) => {
  const play = new RolloutPlay({
    daemons: 3,
    engines: 4,
    events: 90,
    intervalMs: 20,
  });
  await play.run(ORDER_AT_MS);
  play.order("v2");
  await play.run(7_100);
  play.order("v1", 0);
  const { statuses } = play.fleet;
  const { onWrite } = statuses;
  const left: number[] = [];
  statuses.onWrite = (status) => {
    if (status.phase === "succeeded") {
      left.push(...play.newer.map(({ attempts }) => attempts.size));
    }
    onWrite(status);
  };
  await play.run(6_000);
  t.is(play.phases.at(-1), "succeeded");
  t.deepEqual(left, [0, 0, 0, 0]);
});

test("an order to a version that was rolled back before starts anew", async (t) => {
  const play = new RolloutPlay();
  play.spoil("v2", 0.5, () => FAILURE);
  await play.playOrder();
  checkRolledBack(t, play);
  play.fleet.answerFault = () => undefined;
  const again = new Set(play.fleet.runningEngines());
  await play.playOrderAgain("v2");
  checkSucceeded(t, play);
  t.true(again.size > 0);
});

test("a server of a third version serves as the old ones do", async (t) => {
  const play = new RolloutPlay();
  const third = play.fleet.startEngine("v0");
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
  const { id } = third.listed;
  t.true(play.fleet.arrivals.some(({ engine }) => engine === id));
});

test("daemons that are cut off go back to the old version and join again", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    await play.run(6_000);
    const holder = holderOf(play);
    const cut = [0, 1, 2, 3, 4, 5].filter((daemon) => daemon !== holder)
      .slice(0, 2);
    play.fleet.cutOffGossip(cut, { together: false });
    await play.run(3_000);
    t.not(play.phases.at(-1), "succeeded");
    play.fleet.healGossip(cut);
  });
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a bad version stays within the bound while daemons start again all the time", async (t) => {
  const play = new RolloutPlay();
  play.spoil(
    "v2",
    0.3,
    () => play.fleet.time.nowMs >= ORDER_AT_MS + 5_000 ? FAILURE : undefined,
  );
  await play.playOrder(async () => {
    for (let round = 0; round < 8; round++) {
      const daemon = round % 6;
      play.fleet.killDaemon(daemon);
      play.fleet.time.after(400, () => play.fleet.startDaemon(daemon));
      await play.run(600);
    }
  });
  checkRolledBack(t, play);
});

test("new weights that are named meanwhile don't undo a good version", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    await play.run(2_000);
    play.fleet.nameWeights(2);
    await play.run(3_000);
    play.fleet.nameWeights(3);
  });
  checkSucceeded(t, play);
});

test("a new server that crashes does not undo a good version", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    for (let round = 0; round < 3; round++) {
      await play.run(1_500);
      const busiest = play.newer.filter(({ isUp }) => isUp)
        .sort((a, b) => b.attempts.size - a.attempts.size)[0]!;
      play.fleet.crash(busiest);
    }
  });
  checkSucceeded(t, play);
});

test("all daemons that start again in the midst of an order end it", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    await play.run(5_500);
    for (let daemon = 0; daemon < 6; daemon++) play.fleet.killDaemon(daemon);
    await play.run(500);
    for (let daemon = 0; daemon < 6; daemon++) play.fleet.startDaemon(daemon);
  });
  t.log({ phases: play.phases });
  checkSucceeded(t, play);
});

test("a store that takes hundreds of milliseconds does not undo a good version", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    play.fleet.store.callMs = 600;
    await play.run(DURATION_MS);
    play.fleet.store.callMs = 4;
  });
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("an order goes on after a restore of the store that lost its status", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder(async () => {
    await play.run(3_000);
    play.fleet.statuses.written.length = 0;
    play.fleet.store.restore({ copyAgeMs: 500, awayMs: 800, rewriteMs: 300 });
  });
  t.log({ phases: play.phases, endedAfterMs: play.endedAfterMs });
  checkSucceeded(t, play);
});

test("daemons that start when an order has ended do as its status says", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder();
  checkSucceeded(t, play);
  for (let daemon = 0; daemon < 6; daemon++) play.fleet.killDaemon(daemon);
  for (let daemon = 0; daemon < 6; daemon++) play.fleet.startDaemon(daemon);
  // Servers of another version that no order names serve as the others do.
  const other = play.fleet.startEngine("v3");
  await play.run(4_000);
  const before = play.fleet.arrivals.length;
  for (let index = 0; index < 200; index++) {
    play.fleet.send(index % 6, []);
    await play.fleet.time.advance(5);
  }
  const { id } = other.listed;
  const arrived = play.fleet.arrivals.slice(before);
  t.true(arrived.some(({ engine }) => engine === id));
  t.true(arrived.some(({ engine }) => engine !== id));
});

test("a daemon that starts late sends nothing to a version that was rolled back", async (t) => {
  const play = new RolloutPlay();
  play.spoil("v2", 0.5, () => FAILURE);
  await play.run(ORDER_AT_MS);
  play.order("v2");
  while (play.phases.at(-1) !== "rolled_back") await play.run(100);
  play.fleet.killDaemon(0);
  const before = play.fleet.arrivals.length;
  play.fleet.startDaemon(0);
  await play.run(2_000);
  const ids = play.newIds;
  const late = play.fleet.arrivals.slice(before)
    .filter(({ engine, vm }) => ids.has(engine) && String(vm) === "vm-0");
  t.deepEqual(late, []);
});
