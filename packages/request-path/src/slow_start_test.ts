import test from "ava";
import {
  beginSlowStart,
  growWithPeers,
  ownPlaces,
  recordStartAnswer,
} from "./slow_start.ts";

test("a server that starts gets a few requests of all daemons together", (t) => {
  const start = beginSlowStart(0);
  const parts = Array.from(
    { length: 60 },
    (_, rank) => ownPlaces(start, { rank, daemons: 60 }),
  );
  t.is(parts.reduce((sum, part) => sum + part, 0), start.maxRunning);
  t.is(Math.max(...parts), 1);
});

test("parts of few daemons add up to all places as well", (t) => {
  const start = { maxRunning: 11, asOfMs: 0 };
  const parts = [0, 1, 2].map((rank) => ownPlaces(start, { rank, daemons: 3 }));
  t.deepEqual(parts, [4, 4, 3]);
});

// A large fleet has its answers elsewhere: this daemon gets one in 15 s.
test("places double with the time that peers' requests take there", (t) => {
  let start = beginSlowStart(0);
  for (let nowMs = 100; nowMs <= 2_000; nowMs += 100) {
    start = growWithPeers(start, {
      running: start.maxRunning,
      answerMs: 400,
      nowMs,
    });
  }
  t.true(start.maxRunning >= 48, `${start.maxRunning}`);
});

test("places don't grow without requests there, or for a long gap", (t) => {
  const idle = growWithPeers(beginSlowStart(0), {
    running: 0,
    answerMs: 400,
    nowMs: 60_000,
  });
  t.is(idle.maxRunning, beginSlowStart(0).maxRunning);
  const gap = growWithPeers(beginSlowStart(0), {
    running: 4,
    answerMs: 400,
    nowMs: 60_000,
  });
  t.true(gap.maxRunning <= 14, `${gap.maxRunning}`);
});

test("slow answers take places away, down to the first few", (t) => {
  let start = { maxRunning: 30, asOfMs: 0 };
  start = recordStartAnswer(start, { isSlow: true });
  t.is(start.maxRunning, 20);
  for (let count = 0; count < 9; count++) {
    start = recordStartAnswer(start, { isSlow: true });
  }
  t.is(start.maxRunning, beginSlowStart(0).maxRunning);
  t.is(
    recordStartAnswer(start, { isSlow: false }).maxRunning,
    start.maxRunning + 1,
  );
});
