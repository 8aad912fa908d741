import test from "ava";
import { RepeatWindow } from "./mod.ts";
import { SERVICE } from "./testing.ts";

const BOUND = { windowMs: 10_000, share: 0.2, slack: 58 };

test("in an outage repetitions stay within the fleet's bound", (t) => {
  const fleetSize = 9;
  let repeats = 0;
  for (let daemon = 0; daemon < fleetSize; daemon++) {
    const window = new RepeatWindow(BOUND);
    for (let nowMs = 0; nowMs < 10_000; nowMs += 200) {
      window.recordRequest(SERVICE, nowMs);
      if (window.tryRepeat(SERVICE, { nowMs, fleetSize })) repeats += 1;
    }
  }
  const requests = fleetSize * 50;
  t.true(repeats > requests * 0.2);
  t.true(repeats <= requests * 0.2 + 58);
});

test("repetitions of a window long past no longer count", (t) => {
  const window = new RepeatWindow({ ...BOUND, slack: 2 });
  const at = { nowMs: 0, fleetSize: 1 };
  t.true(window.tryRepeat(SERVICE, at));
  t.false(window.tryRepeat(SERVICE, at));
  t.true(window.tryRepeat(SERVICE, { ...at, nowMs: 11_000 }));
});
