import test from "ava";
import {
  checkRolledBack,
  checkSucceeded,
  FAILURE,
  ORDER_AT_MS,
  RolloutPlay,
} from "./testing_rollout_play.ts";
import type { AnswerFault } from "./testing_version_rollouts.ts";

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

for (
  const [name, atMs, share, fault] of [
    ["fails", 7_300, 0.5, FAILURE],
    ["is slower", 7_300, 0.6, { kind: "slow", byMs: 600 }],
  ] as const
) {
  test(`a version that ${name} once a large fleet has moved to it is rolled back`, async (t) => {
    const play = new RolloutPlay({ daemons: 40, engines: 24 });
    play.spoil(
      "v2",
      share,
      () =>
        play.fleet.time.nowMs >= ORDER_AT_MS + atMs
          ? fault as AnswerFault
          : undefined,
    );
    await play.playOrder();
    checkRolledBack(t, play);
  });
}
