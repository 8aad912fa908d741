import test from "ava";
import { brandId } from "@endivebend/types";
import { CachedSegments, segmentKey } from "./mod.ts";
import type { CacheScope, PromptSegmentId } from "./types.ts";

const SCOPE = "1/" as CacheScope;
const RULEBOOK = brandId<PromptSegmentId>("rulebook");
const PARISH = brandId<PromptSegmentId>("parish");
const SHARED = [{ id: RULEBOOK, tokens: 2_500 }, { id: PARISH, tokens: 3_800 }];
const KEYS = [segmentKey(SCOPE, RULEBOOK), segmentKey(SCOPE, PARISH)];

test("an evicted segment is not expected where it was placed", (t) => {
  const segments = new CachedSegments();
  segments.recordPlacement(KEYS, 0);
  t.is(
    segments.countLeadingTokens(SHARED, { scope: SCOPE, nowMs: 900 }).expected,
    6_300,
  );
  segments.recordReport([[KEYS[1]!, 0]], 1_000);
  const kept = segments.countLeadingTokens(SHARED, {
    scope: SCOPE,
    nowMs: 1_000,
  });
  t.is(kept.expected, 2_500);
});

test("a report that is older than a placement does not undo it", (t) => {
  const segments = new CachedSegments();
  segments.recordReport([[KEYS[0]!, 2_500], [KEYS[1]!, 3_800]], 0);
  segments.recordPlacement(KEYS, 5_000);
  segments.recordReport([[KEYS[1]!, 0]], 5_100);
  const kept = segments.countLeadingTokens(SHARED, {
    scope: SCOPE,
    nowMs: 5_100,
  });
  t.is(kept.expected, 6_300);
  // The segment is being prefilled again, so it cannot be fetched yet.
  t.is(kept.fetchable, 2_500);
});

test("only reported segments of a watched engine can be fetched", (t) => {
  const segments = new CachedSegments();
  segments.recordPlacement(KEYS, 0);
  const at = { scope: SCOPE, nowMs: 1_000 };
  t.is(segments.countLeadingTokens(SHARED, at).fetchable, 6_300);
  segments.recordReport([], 1_000);
  t.is(segments.countLeadingTokens(SHARED, at).fetchable, 0);
  segments.recordReport([[KEYS[0]!, 2_500]], 1_000);
  t.is(segments.countLeadingTokens(SHARED, at).fetchable, 2_500);
});

test("a segment that a watched engine never reports was not prefilled", (t) => {
  const segments = new CachedSegments();
  segments.recordPlacement(KEYS, 0);
  segments.recordReport([], 4_500);
  const kept = segments.countLeadingTokens(SHARED, {
    scope: SCOPE,
    nowMs: 4_500,
  });
  t.is(kept.expected, 0);
});

test("segments of other weights or of an isolated team do not count", (t) => {
  const segments = new CachedSegments();
  segments.recordReport([[KEYS[0]!, 2_500], [KEYS[1]!, 3_800]], 0);
  for (const scope of ["2/", "1/st-mary"] as CacheScope[]) {
    t.is(
      segments.countLeadingTokens(SHARED, { scope, nowMs: 100 }).expected,
      0,
    );
  }
});
