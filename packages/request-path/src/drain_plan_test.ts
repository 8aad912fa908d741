import test from "ava";
import { mayTakeRequest, planDrain } from "./mod.ts";

const GRACE_MS = 8_000;

test("a drain refuses connections whose requests could be cut off", (t) => {
  const early = planDrain({
    sinceMs: 2_000,
    openCount: 1,
    graceMs: GRACE_MS,
  });
  t.deepEqual(early, {
    refusesConnections: false,
    endsRequests: false,
    mayEnd: false,
  });
  const late = planDrain({ sinceMs: 2_900, openCount: 1, graceMs: GRACE_MS });
  t.deepEqual(late, {
    refusesConnections: true,
    endsRequests: false,
    mayEnd: false,
  });
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

test("open requests get a last answer before the process ends", (t) => {
  const state = { openCount: 3, graceMs: GRACE_MS };
  t.false(planDrain({ ...state, sinceMs: 7_300 }).endsRequests);
  t.like(planDrain({ ...state, sinceMs: 7_450 }), {
    endsRequests: true,
    mayEnd: false,
  });
});

test("a late request is taken only if it has its answer before the end", (t) => {
  const take = (sinceMs: number, timeLeftMs: number) =>
    mayTakeRequest({ sinceMs, graceMs: GRACE_MS, timeLeftMs });
  t.true(take(1_000, 15_000));
  t.true(take(2_900, 15_000));
  t.false(take(3_100, 15_000));
  t.true(take(3_100, 4_000));
  t.false(take(5_000, 4_000));
  t.false(take(7_390, 50));
});
