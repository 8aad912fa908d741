import test from "ava";
import { brandId } from "@endivebend/types";
import type { SegmentKey } from "./cached_segments.ts";
import { RecentPlacements } from "./recent_placements.ts";
import type { PrefixCacheId } from "./server_registry.ts";

const CACHE = brandId<PrefixCacheId>("e-1");

function segments(from: number, count: number): SegmentKey[] {
  return Array.from(
    { length: count },
    (_, index) => brandId<SegmentKey>(`scope|${from + index}`),
  );
}

test("a placement is pending until its time is over, once for a segment", (t) => {
  const placements = new RecentPlacements();
  placements.add(CACHE, segments(0, 2), 0);
  placements.add(CACHE, segments(1, 2), 500);
  const pending = placements.pending(600)[CACHE];
  t.deepEqual(pending?.toSorted(), segments(0, 3));
  t.deepEqual(placements.pending(700)[CACHE], segments(1, 2));
  t.deepEqual(placements.pending(1_200), {});
});

// Guards against messages that don't fit into a datagram.
test("prompts with many segments leave the newest ones pending", (t) => {
  const placements = new RecentPlacements();
  for (let at = 0; at < 100_000; at += 1_000) {
    placements.add(CACHE, segments(at, 1_000), 0);
  }
  t.deepEqual(placements.pending(0)[CACHE], segments(99_744, 256));
});
