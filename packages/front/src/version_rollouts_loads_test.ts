import test from "ava";
import {
  checkRolledBack,
  checkSucceeded,
  FAILURE,
  RolloutPlay,
} from "./testing_rollout_play.ts";

test("failures that old servers have too don't stop a good version", async (t) => {
  const play = new RolloutPlay();
  let serial = 7;
  play.fleet.answerFault = () => {
    serial = (serial * 1_103_515_245 + 12_345) % 2_147_483_648;
    return serial / 2_147_483_648 < 0.1 ? FAILURE : undefined;
  };
  await play.playOrder();
  checkSucceeded(t, play);
});

test("servers of three speeds that stall at times don't undo a good version", async (t) => {
  // Work takes 2.5 times as long for a share of 0.15 of the time.
  const play = new RolloutPlay();
  const speeds = [0.6, 1, 1.6];
  play.fleet.answerFault = ({ listed }) => {
    const index = Number(listed.id.replace("e-", ""));
    const phase = (play.fleet.time.nowMs + index * 1_337) % 4_000;
    const stall = phase < 600 ? 2.5 : 1;
    return { kind: "slow", byMs: 150 / speeds[index % 3]! * stall };
  };
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a service with few requests moves to a good version", async (t) => {
  const play = new RolloutPlay({ intervalMs: 400 });
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a bad version of a service with few requests gets no more than the slack", async (t) => {
  const play = new RolloutPlay({ intervalMs: 100 });
  play.spoil("v2", 0.5, () => FAILURE);
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a service of streams that last two seconds moves to a good version", async (t) => {
  // Guards against old streams that are cut off, or that make the new version
  // look slow as they end.
  const play = new RolloutPlay({ events: 66 });
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a version that breaks off streams of two seconds is rolled back", async (t) => {
  const play = new RolloutPlay({ events: 66 });
  play.spoil("v2", 0.4, () => ({ kind: "broken", afterMs: 700 }));
  await play.playOrder();
  checkRolledBack(t, play);
});
