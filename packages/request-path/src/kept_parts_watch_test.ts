import test from "ava";
import { brandId, type VmId } from "@endivebend/types";
import {
  assignMemories,
  KeptPartsWatch,
  type MemoryNews,
  partKey,
  ServerRegistry,
  type WatchedMemory,
} from "./mod.ts";
import { listed, TestTime } from "./testing.ts";
import type { CacheScope, PromptPartId } from "./types.ts";

const SCOPE = "1/" as CacheScope;
const PART = brandId<PromptPartId>("parish");
const KEY = partKey(SCOPE, PART);
const MEMORY: WatchedMemory = { id: brandId("one"), address: "10.0.0.1:1" };

function watchOver(answers: (MemoryNews | undefined)[]) {
  const time = new TestTime();
  const registry = new ServerRegistry();
  registry.upsert(listed("one"));
  registry.notePlaced(MEMORY.id, [KEY], time.nowMs);
  const asked: number[] = [];
  const watch = new KeptPartsWatch({
    self: brandId<VmId>("vm-1"),
    clock: time,
    scheduler: time,
    registry,
    client: {
      news(_memory, after) {
        asked.push(after);
        return Promise.resolve(answers.shift());
      },
    },
    memories: () => [MEMORY],
    peers: () => [],
    roundMs: () => 200,
    decision() {},
  });
  const expected = () =>
    registry.partsOf(MEMORY.id)!.tokensOf(
      [{ id: PART, tokens: 800 }],
      { scope: SCOPE, nowMs: time.nowMs },
    ).expected;
  async function pass(durationMs: number) {
    for (let elapsed = 0; elapsed < durationMs; elapsed += 100) {
      time.advance(100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  return { watch, asked, expected, pass };
}

function news(fields: Partial<MemoryNews>): MemoryNews {
  return { run: "1", next: 1, hasGap: false, changes: [], ...fields };
}

test("each memory is watched by one daemon of those in reach", (t) => {
  const members = ["vm-1", "vm-2", "vm-3"].map((id) => brandId<VmId>(id));
  const memories = Array.from({ length: 30 }, (_, index) => ({
    id: brandId<WatchedMemory["id"] & string>(`e-${index}`),
    address: "10.0.0.1:1",
  })) as WatchedMemory[];
  const watched = members.flatMap((self) =>
    assignMemories(memories, {
      self,
      peers: members.filter((peer) => peer !== self),
    })
  );
  t.is(watched.length, 30);
  t.is(new Set(watched.map(({ id }) => id)).size, 30);
});

test("what an engine drops is known here and told to the others", async (t) => {
  const { watch, asked, expected, pass } = watchOver([
    news({ next: 4, changes: [[KEY, 800]] }),
    news({ next: 5, changes: [[KEY, 0]] }),
    news({ next: 5 }),
  ]);
  watch.start();
  await pass(100);
  t.is(expected(), 800);
  t.deepEqual(watch.news(), { [MEMORY.id]: [[KEY, 800]] });
  await pass(600);
  t.is(expected(), 0);
  t.deepEqual(watch.news(), { [MEMORY.id]: [[KEY, 0]] });
  t.deepEqual(asked.slice(0, 2), [0, 4]);
  watch.stop();
});

test("a restarted engine is asked from its beginning", async (t) => {
  const { watch, asked, expected, pass } = watchOver([
    news({ next: 90, changes: [[KEY, 800]] }),
    news({ run: "2", next: 2 }),
    news({ run: "2", next: 2 }),
  ]);
  watch.start();
  await pass(1_200);
  t.is(expected(), 0);
  t.deepEqual(asked.slice(0, 3), [0, 90, 0]);
  watch.stop();
});

test("a silent engine is not told of as watched", async (t) => {
  const { watch, pass } = watchOver([news({})]);
  watch.start();
  await pass(500);
  t.deepEqual(watch.news(), { [MEMORY.id]: [] });
  await pass(4_000);
  t.deepEqual(watch.news(), {});
  watch.stop();
});
