import test from "ava";
import { RetryBudget } from "./mod.ts";
import { SERVICE } from "./testing.ts";

const LIMITS = { windowMs: 10_000, share: 0.2, slack: 58 };
/** The process has run for long. */
const LONG_AGO = { startedAtMs: -60_000 };

test("in an outage retries stay within the fleet's limit", (t) => {
  const sharers = 9;
  let repeats = 0;
  for (let daemon = 0; daemon < sharers; daemon++) {
    const budget = new RetryBudget(LIMITS, LONG_AGO);
    for (let nowMs = 0; nowMs < 10_000; nowMs += 200) {
      budget.recordRequest(SERVICE, nowMs);
      if (budget.tryRetry(SERVICE, { nowMs, sharers })) repeats += 1;
    }
  }
  const requests = sharers * 50;
  t.true(repeats > requests * 0.2);
  t.true(repeats <= requests * 0.2 + 58);
});

test("retries of past windows no longer count", (t) => {
  const budget = new RetryBudget({ ...LIMITS, slack: 2 }, LONG_AGO);
  const at = { nowMs: 0, sharers: 1 };
  t.true(budget.tryRetry(SERVICE, at));
  t.false(budget.tryRetry(SERVICE, at));
  budget.settleRetry(SERVICE, at.nowMs);
  t.false(budget.tryRetry(SERVICE, { ...at, nowMs: 10_400 }));
  t.true(budget.tryRetry(SERVICE, { ...at, nowMs: 11_000 }));
});

test("a retry that waits on its way counts for a window from its arrival", (t) => {
  const budget = new RetryBudget({ ...LIMITS, slack: 2 }, LONG_AGO);
  const at = (nowMs: number) => ({ nowMs, sharers: 1 });
  t.true(budget.tryRetry(SERVICE, at(0)));
  t.false(budget.tryRetry(SERVICE, at(30_000)));
  budget.settleRetry(SERVICE, 30_000);
  t.false(budget.tryRetry(SERVICE, at(40_000)));
  t.true(budget.tryRetry(SERVICE, at(41_000)));
});

test("a new process uses no slack until what its predecessor used has passed", (t) => {
  const budget = new RetryBudget(LIMITS, { startedAtMs: 0 });
  t.false(budget.tryRetry(SERVICE, { nowMs: 10_000, sharers: 1 }));
  t.true(budget.tryRetry(SERVICE, { nowMs: 10_500, sharers: 1 }));
});

test("a new process retries a share of its own requests", (t) => {
  const budget = new RetryBudget(LIMITS, { startedAtMs: 0 });
  let repeats = 0;
  for (let nowMs = 0; nowMs < 4_000; nowMs += 100) {
    budget.recordRequest(SERVICE, nowMs);
    if (budget.tryRetry(SERVICE, { nowMs, sharers: 1 })) repeats += 1;
  }
  t.true(repeats >= 5);
  t.true(repeats <= 8);
});

test("a daemon that does not know the fleet uses no slack", (t) => {
  const budget = new RetryBudget(LIMITS, LONG_AGO);
  t.false(budget.tryRetry(SERVICE, { nowMs: 0, sharers: undefined }));
});

test("requests that waited and come at once allow few retries", (t) => {
  const budget = new RetryBudget({ ...LIMITS, slack: 0 }, LONG_AGO);
  const at = (nowMs: number) => ({ nowMs, sharers: 1 });
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    budget.recordRequest(SERVICE, nowMs);
  }
  // Nothing comes for 8 s, and then what was sent meanwhile.
  for (let late = 0; late < 80; late++) budget.recordRequest(SERVICE, 18_000);
  let repeats = 0;
  for (let nowMs = 18_000; nowMs < 28_000; nowMs += 100) {
    budget.recordRequest(SERVICE, nowMs);
    while (budget.tryRetry(SERVICE, at(nowMs))) repeats += 1;
  }
  t.true(repeats >= 15);
  t.true(repeats <= 20);
});

test("more requests than before allow more retries", (t) => {
  const budget = new RetryBudget({ ...LIMITS, slack: 0 }, LONG_AGO);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
    budget.recordRequest(SERVICE, nowMs);
  }
  let repeats = 0;
  for (let nowMs = 10_000; nowMs < 20_000; nowMs += 50) {
    budget.recordRequest(SERVICE, nowMs);
    if (budget.tryRetry(SERVICE, { nowMs, sharers: 1 })) repeats += 1;
  }
  t.true(repeats >= 30);
});

test("retries that were not needed are not saved up for an outage", (t) => {
  const budget = new RetryBudget({ ...LIMITS, slack: 0 }, LONG_AGO);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
    budget.recordRequest(SERVICE, nowMs);
  }
  let repeats = 0;
  while (budget.tryRetry(SERVICE, { nowMs: 9_999, sharers: 1 })) repeats += 1;
  t.true(repeats >= 1);
  t.true(repeats <= 0.2 * 40, "the share of the requests of two seconds");
});
