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

/** Steps of an order at which something may happen, in ms after the order. */
const STEPS_MS = [100, 1_500, 5_600, 6_500, 7_050, 7_400];

for (const atMs of STEPS_MS) {
  test(`a good version succeeds although the holder is killed ${atMs} ms after the order`, async (t) => {
    const play = new RolloutPlay();
    await play.playOrder(async () => {
      await play.run(atMs);
      const holder = holderOf(play);
      play.fleet.killDaemon(holder);
      play.fleet.time.after(1_000, () => play.fleet.startDaemon(holder));
    });
    checkSucceeded(t, play);
  });

  test(`a holder that is paused ${atMs} ms after the order ends nothing that its successor drives`, async (t) => {
    const play = new RolloutPlay();
    await play.playOrder(async () => {
      await play.run(atMs);
      play.fleet.freezeDaemon(holderOf(play), 4_000);
    });
    checkSucceeded(t, play);
    t.is(play.phases.filter((phase) => phase !== "running").length, 1);
  });

  test(`a holder that is cut off from all daemons ${atMs} ms after the order leaves it to another one`, async (t) => {
    const play = new RolloutPlay();
    await play.playOrder(async () => {
      await play.run(atMs);
      const holder = holderOf(play);
      play.fleet.cutOffGossip([holder], { together: true });
      await play.run(2_500);
      play.fleet.healGossip([holder]);
    });
    t.log({ endedAfterMs: play.endedAfterMs, lost: play.lost().length });
    t.is(play.phases.filter((phase) => phase !== "running").length, 1);
    t.true(play.endedAfterMs < DURATION_MS);
    t.deepEqual(play.lost(), []);
    t.is(play.phases.at(-1), "succeeded");
  });

  test(`a holder that is cut off from the store ${atMs} ms after the order does no harm`, async (t) => {
    const play = new RolloutPlay();
    await play.playOrder(async () => {
      await play.run(atMs);
      const holder = holderOf(play);
      play.fleet.cutOffFromStore([holder], "silent");
      await play.run(3_000);
      play.fleet.healStore([holder]);
    });
    checkSucceeded(t, play);
    t.deepEqual(play.lost(), []);
  });

  test(`a version that gets bad as the holder is killed ${atMs} ms after the order is stopped by all daemons`, async (t) => {
    const play = new RolloutPlay();
    play.spoil(
      "v2",
      0.5,
      () => play.fleet.time.nowMs >= ORDER_AT_MS + atMs ? FAILURE : undefined,
    );
    await play.playOrder(async () => {
      await play.run(atMs);
      play.fleet.killDaemon(holderOf(play));
    });
    checkRolledBack(t, play);
  });
}
