import test from "ava";
import {
  checkRolledBack,
  checkSucceeded,
  FAILURE,
  ORDER_AT_MS,
  RolloutPlay,
} from "./testing_rollout_play.ts";

test("a large fleet that gossips through relays rolls a bad version back", async (t) => {
  const play = new RolloutPlay({ daemons: 40, engines: 24 });
  play.spoil(
    "v2",
    0.4,
    () => play.fleet.time.nowMs >= ORDER_AT_MS + 3_000 ? FAILURE : undefined,
  );
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a large fleet that gossips through relays moves to a good version", async (t) => {
  const play = new RolloutPlay({ daemons: 40, engines: 24 });
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});
