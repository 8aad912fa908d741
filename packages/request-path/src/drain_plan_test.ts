import test from "ava";
import { planDrain } from "./mod.ts";

const GRACE_MS = 8_000;

test("a drain refuses connections whose requests could be cut off", (t) => {
  const early = planDrain({
    sinceMs: 2_000,
    openCount: 1,
    graceMs: GRACE_MS,
  });
  t.deepEqual(early, { refusesConnections: false, mayEnd: false });
  const late = planDrain({ sinceMs: 2_900, openCount: 1, graceMs: GRACE_MS });
  t.deepEqual(late, { refusesConnections: true, mayEnd: false });
});

test("a drain ends once its requests have ended", (t) => {
  const state = { sinceMs: 3_100, openCount: 0, graceMs: GRACE_MS };
  t.true(planDrain(state).mayEnd);
  t.false(planDrain({ ...state, openCount: 1 }).mayEnd);
});

test("a drain ends before the process is killed", (t) => {
  const state = { sinceMs: 7_700, openCount: 3, graceMs: GRACE_MS };
  t.true(planDrain(state).mayEnd);
});
