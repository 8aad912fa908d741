import test from "ava";
import { estimateStartMs } from "./mod.ts";

/** Slots of engines and age of gossip on sites with so many engines. */
const SITES = [
  { engines: 8, slots: 24, maxAgeMs: 1_000 },
  { engines: 48, slots: 48, maxAgeMs: 1_000 },
  { engines: 82, slots: 16, maxAgeMs: 1_200 },
];

for (const { engines, ...site } of SITES) {
  const estimate = (requests: number, tokensAhead = 0) =>
    estimateStartMs({ ...site, requests, tokensAhead });

  test(`an idle engine begins within the slack whatever the age of gossip, ${engines} engines`, (t) => {
    t.is(estimate(0), 1_500);
  });

  test(`the estimate grows with prompts, requests and slots taken, ${engines} engines`, (t) => {
    const { slots } = site;
    t.true(estimate(0, 9_000) > estimate(0));
    t.true(estimate(slots / 2) > estimate(0));
    t.true(estimate(slots) > estimate(slots - 1));
    t.true(estimate(2 * slots) >= estimate(slots) + 3_000);
  });

  test(`a full engine is left as early as its queue may hold a request, ${engines} engines`, (t) => {
    // As many wait as run, and each of them has a prompt of 628 tokens.
    const { slots, maxAgeMs } = site;
    const waitingMs = estimate(2 * slots, slots * 628);
    t.true(waitingMs >= 1_500 + maxAgeMs + 3_000);
    t.true(waitingMs < 8_000, "it serves for a while after a name");
  });
}
