import test from "ava";
import type { Arrival, SentRequest } from "./ledger.ts";
import { findWorstBudget } from "./retry_count.ts";

function sent(id: string, sentAtMs: number): SentRequest {
  return {
    id,
    kind: "safe",
    service: "plain",
    daemon: 0,
    sentAtMs,
    stream: undefined,
    lastEvent: 0,
    isFirstTry: true,
    resumeAfter: 0,
    resumes: undefined,
    servedVersions: [],
    answer: undefined,
  };
}

function arrival(id: string, atMs: number): Arrival {
  return {
    id,
    server: "i-1",
    service: "plain",
    atMs,
    via: 0,
    leavingSinceMs: undefined,
    copy: undefined,
    run: undefined,
  };
}

test("arrivals beyond the first of each request are counted in the worst window", (t) => {
  const requests = [sent("a", 0), sent("b", 9_000)];
  const arrivals = [
    arrival("a", 1),
    arrival("a", 2),
    arrival("b", 9_001),
    arrival("b", 9_002),
    arrival("b", 9_003),
    arrival("b", 20_000),
  ];
  const [worst] = findWorstBudget(requests, arrivals);
  t.is(worst?.repeats, 3);
  t.is(worst?.untilMs, 9_003);
  t.is(worst?.allowed, 2 * 0.2 + 56);
});

test("a repeat leaves the window after its length", (t) => {
  const arrivals = [arrival("a", 0), arrival("a", 1), arrival("a", 10_002)];
  const [worst] = findWorstBudget([sent("a", 0)], arrivals);
  t.is(worst?.repeats, 1);
});
