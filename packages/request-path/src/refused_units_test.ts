import test from "ava";
import { brandId, type RequestId } from "@endivebend/types";
import { RefusedUnits } from "./mod.ts";

function refuse(
  refused: RefusedUnits,
  index: number,
  fields: { readonly nowMs?: number; readonly timeLeftMs?: number } = {},
): number {
  return refused.retryAfterMs({
    requestId: brandId<RequestId>(`q-${index}`),
    units: 1_000,
    waitMs: 100,
    unitsPerMs: 10,
    timeLeftMs: 6_000,
    nowMs: 1_000,
    ...fields,
  });
}

// Ten callers of a team were told the same moment, at which its bucket has the
// units of one request.
test("callers that wait for the same bucket come back one after the other", (t) => {
  const refused = new RefusedUnits();
  const delays = Array.from({ length: 10 }, (_, at) => refuse(refused, at));
  t.deepEqual(
    delays,
    [200, 300, 400, 500, 600, 700, 800, 900, 1_000, 1_100],
  );
});

test("callers are told no later time than they honour, and not all the same", (t) => {
  const refused = new RefusedUnits();
  const delays = Array.from({ length: 200 }, (_, at) => refuse(refused, at));
  t.true(delays.every((delayMs) => delayMs >= 200 && delayMs <= 2_000));
  const last = delays.slice(100).sort((a, b) => a - b);
  t.true(last[90]! - last[10]! > 500);
});

test("a refused request no longer counts once the bucket could serve it", (t) => {
  const refused = new RefusedUnits();
  for (let index = 0; index < 5; index++) refuse(refused, index);
  t.is(refuse(refused, 6, { nowMs: 1_600 }), 200);
});

test("a caller with little time left is told the least delay", (t) => {
  t.is(refuse(new RefusedUnits(), 1, { timeLeftMs: 300 }), 200);
});
