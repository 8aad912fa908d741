import fc from "fast-check";
import test from "ava";
import { SharedBucket } from "./mod.ts";

const TOLERANCE = { overshootShare: 0.1, slackUnits: 800, windowMs: 8_000 };
const TERMS = { ratePerS: 1_000, burst: 1_000 };

function bucket(share: number): SharedBucket {
  return new SharedBucket(TERMS, { tolerance: TOLERANCE, nowMs: 0, share });
}

/** What a side of a partition spends when it is asked for all it gives. */
function spendAll(side: SharedBucket, untilMs: number): number {
  let spent = 0;
  for (let nowMs = 0; nowMs <= untilMs; nowMs += 10) {
    while (side.take(10, nowMs)) spent += 10;
  }
  return spent;
}

test("two sides of a partition together stay within the team's limit", (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 8 }), (members) => {
      const spent = [members / 9, (9 - members) / 9]
        .map((share) => {
          const side = bucket(1);
          side.setShare(share, 0);
          return spendAll(side, 8_000);
        })
        .reduce((sum, units) => sum + units, 0);
      const bound = (TERMS.ratePerS * 8 + TERMS.burst) * 1.1 + 800;
      return spent <= bound;
    }),
    { seed: 1 },
  );
  t.pass();
});

test("what other daemons spend leaves less to spend here", (t) => {
  const one = bucket(1);
  one.spentElsewhere(500, 0);
  t.true(spendAll(one, 0) <= 100);
});

test("a request that has not run gives its units back", (t) => {
  const one = bucket(1);
  t.true(one.take(400, 0));
  one.giveBack(400);
  t.true(one.take(400, 0));
});

test("a lower limit binds at once", (t) => {
  const one = bucket(1);
  one.setTerms({ ratePerS: 10, burst: 10 }, { ...TOLERANCE, slackUnits: 0 });
  t.true(spendAll(one, 0) <= 11);
});

test("a team without a limit is never refused", (t) => {
  const free = new SharedBucket({ ratePerS: 0, burst: 0 }, {
    tolerance: TOLERANCE,
    nowMs: 0,
    share: 1,
  });
  t.true(free.take(1_000_000, 0));
});

test("a request larger than the bucket runs once the bucket is full", (t) => {
  const one = bucket(1);
  t.false(one.take(5_000, 0));
  t.true(one.take(5_000, 2_000));
  t.false(one.take(5_000, 2_100));
});
