import test from "ava";
import { RetryBudget } from "./mod.ts";
import { SERVICE } from "./testing.ts";

const LIMITS = { windowMs: 10_000, share: 0.2, slack: 58 };

test("in an outage retries stay within the fleet's limit", (t) => {
  const fleetSize = 9;
  let repeats = 0;
  for (let daemon = 0; daemon < fleetSize; daemon++) {
    const budget = new RetryBudget(LIMITS);
    for (let nowMs = 0; nowMs < 10_000; nowMs += 200) {
      budget.recordRequest(SERVICE, nowMs);
      if (budget.tryRetry(SERVICE, { nowMs, fleetSize })) repeats += 1;
    }
  }
  const requests = fleetSize * 50;
  t.true(repeats > requests * 0.2);
  t.true(repeats <= requests * 0.2 + 58);
});

test("retries of past windows no longer count", (t) => {
  const budget = new RetryBudget({ ...LIMITS, slack: 2 });
  const at = { nowMs: 0, fleetSize: 1 };
  t.true(budget.tryRetry(SERVICE, at));
  t.false(budget.tryRetry(SERVICE, at));
  t.true(budget.tryRetry(SERVICE, { ...at, nowMs: 11_000 }));
});
