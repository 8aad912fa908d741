import test from "ava";
import { BEFORE_FIRST, eraOf, logPosition, offsetOf } from "./mod.ts";

test("positions order records by era first, then by offset", (t) => {
  const ordered = [
    BEFORE_FIRST,
    logPosition(0, 0),
    logPosition(0, 2 ** 32 - 1),
    logPosition(1, 0),
    logPosition(2 ** 20, 7),
  ];
  t.deepEqual(ordered, ordered.toSorted((a, b) => a - b));
  t.is(eraOf(ordered[4]!), 2 ** 20);
  t.is(offsetOf(ordered[4]!), 7);
  t.is(eraOf(ordered[2]!), 0);
});
