import test from "ava";
import { UnfinishedBodies } from "./unfinished_bodies.ts";

/** Bodies with 10,000 bytes each, and the names of those given up. */
function startBodies() {
  let nowMs = 0;
  const clock = { wallMs: () => nowMs, elapsedMs: () => nowMs };
  const bodies = new UnfinishedBodies(clock);
  const givenUp: string[] = [];
  const add = (name: string, heldBytes = 10_000) => {
    const body = { heldBytes, giveUp: () => void givenUp.push(name) };
    bodies.noteProgress(body);
    return body;
  };
  return { bodies, givenUp, add, setNow: (ms: number) => nowMs = ms };
}

test("the body that has been silent for the longest gives way first", (t) => {
  const { bodies, givenUp, add, setNow } = startBodies();
  const goesOn = add("goes on");
  add("first");
  add("small", 1_000);
  setNow(100);
  add("second");
  setNow(1_100);
  bodies.noteProgress(goesOn);
  while (bodies.giveUpStopped(2_048));
  t.deepEqual(givenUp, ["first", "second"]);
});

// Guards against bodies that go on by a byte now and then, for ever.
test("a body that never stops and never ends gives way after 15 s", (t) => {
  const { bodies, givenUp, add, setNow } = startBodies();
  const trickle = add("trickle");
  for (let nowMs = 500; nowMs <= 15_000; nowMs += 500) {
    setNow(nowMs);
    t.false(nowMs < 15_000 && bodies.giveUpStopped(2_048));
    bodies.noteProgress(trickle);
  }
  add("new");
  t.true(bodies.giveUpStopped(2_048));
  t.false(bodies.giveUpStopped(2_048));
  t.deepEqual(givenUp, ["trickle"]);
});

test("a body that has come whole gives nothing up", (t) => {
  const { bodies, givenUp, add, setNow } = startBodies();
  bodies.forget(add("whole"));
  setNow(20_000);
  t.false(bodies.giveUpStopped(2_048));
  t.deepEqual(givenUp, []);
});
