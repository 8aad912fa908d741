import test from "ava";
import {
  checkRolledBack,
  checkSucceeded,
  FAILURE,
  ORDER_AT_MS,
  RolloutPlay,
} from "./testing_rollout_play.ts";

test("a good version succeeds in time and no request is lost as the old servers stop", async (t) => {
  const play = new RolloutPlay();
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
  t.is(play.phases.filter((phase) => phase !== "running").length, 1);
});

test("without the bounds both versions serve and no status is written", async (t) => {
  const play = new RolloutPlay({ rolloutBounds: undefined as never });
  await play.playOrder();
  t.deepEqual(play.phases, []);
  t.true(play.exposure() > play.sentDuring.length / 4);
  t.deepEqual(play.lost(), []);
});

test("a version that is bad at once is rolled back within the bound", async (t) => {
  const play = new RolloutPlay();
  play.spoil("v2", 0.4, () => FAILURE);
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that gets bad while it is watched is rolled back", async (t) => {
  const play = new RolloutPlay();
  const badFromMs = ORDER_AT_MS + 4_500;
  play.spoil(
    "v2",
    0.3,
    () => play.fleet.time.nowMs >= badFromMs ? FAILURE : undefined,
  );
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that gets bad once everything moves to it is rolled back", async (t) => {
  const play = new RolloutPlay();
  const badFromMs = ORDER_AT_MS + 7_300;
  play.spoil(
    "v2",
    0.5,
    () => play.fleet.time.nowMs >= badFromMs ? FAILURE : undefined,
  );
  // Long answers hold the order up, as they do on old servers.
  await play.playOrder(async () => {
    await play.run(6_800);
    play.fleet.send(0, [], { events: 60 });
  });
  checkRolledBack(t, play);
});

test("a version that is bad under load is rolled back", async (t) => {
  const play = new RolloutPlay();
  // An old server has about 6 requests at a time.
  play.spoil(
    "v2",
    0.6,
    ({ attempts }) => attempts.size >= 4 ? FAILURE : undefined,
  );
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that is bad on one route is rolled back", async (t) => {
  const play = new RolloutPlay();
  play.spoil("v2", 0.5, (_, route) => route === "/count" ? FAILURE : undefined);
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that is only slower is rolled back", async (t) => {
  const play = new RolloutPlay();
  play.spoil("v2", 0.5, () => ({ kind: "slow", byMs: 400 }));
  await play.playOrder();
  checkRolledBack(t, play);
});
