import test from "ava";
import { brandId, type VmId } from "@endivebend/types";
import {
  assignCaches,
  type CacheEventBatch,
  CacheWatch,
  segmentKey,
  ServerRegistry,
  type WatchedCache,
} from "./mod.ts";
import { listedServer, TestTime } from "./testing.ts";
import type { CacheScope, PromptSegmentId } from "./types.ts";

const SCOPE = "1/" as CacheScope;
const SEGMENT = brandId<PromptSegmentId>("parish");
const KEY = segmentKey(SCOPE, SEGMENT);
const CACHE: WatchedCache = { id: brandId("one"), address: "10.0.0.1:1" };

function watchCache(answers: (CacheEventBatch | undefined)[]) {
  const time = new TestTime();
  const registry = new ServerRegistry();
  registry.upsert(listedServer("one"));
  registry.recordPlacement(CACHE.id, [KEY], time.nowMs);
  const requestedAfter: number[] = [];
  const watch = new CacheWatch({
    self: brandId<VmId>("vm-1"),
    clock: time,
    scheduler: time,
    registry,
    client: {
      fetchEvents(_cache, after) {
        requestedAfter.push(after);
        return Promise.resolve(answers.shift());
      },
    },
    caches: () => [CACHE],
    peers: () => [],
    gossipRoundMs: () => 200,
    decision() {},
  });
  const expected = () =>
    registry.segmentsOf(CACHE.id)!.countLeadingTokens(
      [{ id: SEGMENT, tokens: 800 }],
      { scope: SCOPE, nowMs: time.nowMs },
    ).expected;
  async function advance(durationMs: number) {
    for (let elapsed = 0; elapsed < durationMs; elapsed += 100) {
      time.advance(100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  return { watch, requestedAfter, expected, advance };
}

function eventBatch(fields: Partial<CacheEventBatch>): CacheEventBatch {
  return { bootId: "1", next: 1, hasGap: false, changes: [], ...fields };
}

test("each cache is watched by exactly one reachable daemon", (t) => {
  const members = ["vm-1", "vm-2", "vm-3"].map((id) => brandId<VmId>(id));
  const caches = Array.from({ length: 30 }, (_, index) => ({
    id: brandId<WatchedCache["id"] & string>(`e-${index}`),
    address: "10.0.0.1:1",
  })) as WatchedCache[];
  const watched = members.flatMap((self) =>
    assignCaches(caches, {
      self,
      peers: members.filter((peer) => peer !== self),
    })
  );
  t.is(watched.length, 30);
  t.is(new Set(watched.map(({ id }) => id)).size, 30);
});

test("an engine's eviction is applied locally and gossiped", async (t) => {
  const { watch, requestedAfter, expected, advance } = watchCache([
    eventBatch({ next: 4, changes: [[KEY, 800]] }),
    eventBatch({ next: 5, changes: [[KEY, 0]] }),
    eventBatch({ next: 5 }),
  ]);
  watch.start();
  await advance(100);
  t.is(expected(), 800);
  t.deepEqual(watch.recentEvents(), { [CACHE.id]: [[KEY, 800]] });
  await advance(600);
  t.is(expected(), 0);
  t.deepEqual(watch.recentEvents(), { [CACHE.id]: [[KEY, 0]] });
  t.deepEqual(requestedAfter.slice(0, 2), [0, 4]);
  watch.stop();
});

test("a restarted engine is polled from its first event", async (t) => {
  const { watch, requestedAfter, expected, advance } = watchCache([
    eventBatch({ next: 90, changes: [[KEY, 800]] }),
    eventBatch({ bootId: "2", next: 2 }),
    eventBatch({ bootId: "2", next: 2 }),
  ]);
  watch.start();
  await advance(1_200);
  t.is(expected(), 0);
  t.deepEqual(requestedAfter.slice(0, 3), [0, 90, 0]);
  watch.stop();
});

test("a silent engine is not gossiped as watched", async (t) => {
  const { watch, advance } = watchCache([eventBatch({})]);
  watch.start();
  await advance(500);
  t.deepEqual(watch.recentEvents(), { [CACHE.id]: [] });
  await advance(4_000);
  t.deepEqual(watch.recentEvents(), {});
  watch.stop();
});
