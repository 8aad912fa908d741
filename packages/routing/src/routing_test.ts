import test from "ava";
import fc from "fast-check";
import { brandId } from "@endivebend/types";
import type {
  BackendServerId,
  BlockHash,
  ModelName,
  RequestId,
  TeamId,
  WeightsVersion,
} from "@endivebend/types";
import {
  assertHitIsCurrent,
  BLOCK_BYTES,
  cacheSalt,
  chooseEngine,
  DEFAULT_ENGINE_COSTS,
  EngineCacheView,
  hashBlocks,
  loadHasher,
  ownerKeyOf,
  PrefixIndex,
  rankByRendezvous,
  RecentPlacements,
  RetryBudget,
  StaleHitError,
} from "./mod.ts";
import type { EngineCandidate, EngineTag } from "./mod.ts";

const SEED = 20261204;
const PROPERTY_OPTIONS = { seed: SEED, numRuns: 200 };
const WEIGHTS = brandId<WeightsVersion>("w1");
const SALT_INPUT = {
  team: brandId<TeamId>("st-mary"),
  model: brandId<ModelName>("chime-1"),
  weightsVersion: WEIGHTS,
};

test.before(loadHasher);

function tagOf(engine: string, incarnation = "i1"): EngineTag {
  return {
    engine: brandId<BackendServerId>(engine),
    incarnation,
    weightsVersion: WEIGHTS,
  };
}

function candidate(
  engine: string,
  fields: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    ...tagOf(engine),
    state: "live",
    hitBlocks: 0,
    queuedPrefillTokens: 0,
    costs: DEFAULT_ENGINE_COSTS,
    ...fields,
  };
}

function chainOf(length: number): BlockHash[] {
  return hashBlocks("x".repeat(length * BLOCK_BYTES), SALT_INPUT);
}

// Guards against one team getting hits on another team's cached blocks.
test("blocks of one text differ for another team, model or weights version", (t) => {
  const text = "rulebook ".repeat(2000);
  const variants = [
    SALT_INPUT,
    { ...SALT_INPUT, team: brandId<TeamId>("st-john") },
    { ...SALT_INPUT, model: brandId<ModelName>("chime-2") },
    { ...SALT_INPUT, weightsVersion: brandId<WeightsVersion>("w2") },
    { ...SALT_INPUT, secret: "fleet" },
  ];
  const first = variants.map((input) => hashBlocks(text, input)[0]);
  t.is(new Set(first).size, variants.length);
});

// Guards against ids with a separator that give two inputs the same salt.
test("salts do not depend on how ids are joined", (t) => {
  const a = cacheSalt({ ...SALT_INPUT, team: brandId<TeamId>('a","b') });
  const b = cacheSalt({ ...SALT_INPUT, team: brandId<TeamId>("a") });
  t.not(a, b);
});

// Guards against a hash that ignores earlier blocks or a partial block.
test("hashes are chained, cover full blocks only and share the owner key", (t) => {
  const text = "é".repeat(BLOCK_BYTES);
  const blocks = hashBlocks(text, SALT_INPUT);
  const changed = hashBlocks("e" + text.slice(1), SALT_INPUT);
  t.is(blocks.length, 2);
  t.is(hashBlocks(text + "tail", SALT_INPUT).length, 2);
  t.not(blocks[1], changed[1]);
  t.true(blocks.every((block) => ownerKeyOf(block) === ownerKeyOf(blocks[0]!)));
  t.regex(blocks[1]!, /^[0-9a-f]{16}$/);
});

// Guards against a change of one member that reorders the others.
test("removing a member keeps the rendezvous order of the others", (t) => {
  fc.assert(
    fc.property(
      fc.string(),
      fc.uniqueArray(fc.string(), { minLength: 1, maxLength: 9 }),
      (key, members) => {
        const ranked = rankByRendezvous(key, members);
        const rest = rankByRendezvous(key, members.slice(1));
        t.deepEqual(ranked.filter((id) => id !== members[0]), rest);
      },
    ),
    PROPERTY_OPTIONS,
  );
});

// Guards against cached blocks that stay known after a restart or reload of
// the engine, and against lost or repeated events that leave wrong blocks.
test("an engine's view equals its cache after any loss, delay and restart", (t) => {
  const step = fc.record({
    kind: fc.constantFrom("stored", "evicted", "lost", "restart", "reload"),
    block: fc.integer({ min: 0, max: 7 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const view = new EngineCacheView(brandId("e1"));
      const index = new PrefixIndex();
      const chain = chainOf(8);
      let run = { incarnation: 0, weights: 0 };
      let cache = new Set<BlockHash>();
      let seq = 0;
      for (const { kind, block } of steps) {
        const blocks = [chain[block]!];
        const tag = () => ({
          incarnation: `i${run.incarnation}`,
          weightsVersion: brandId<WeightsVersion>(`w${run.weights}`),
        });
        if (kind === "restart" || kind === "reload") {
          run = kind === "restart"
            ? { ...run, incarnation: run.incarnation + 1 }
            : { ...run, weights: run.weights + 1 };
          cache = new Set();
          seq = 0;
        } else {
          seq++;
          if (kind === "evicted") {
            cache.delete(blocks[0]!);
          } else {
            cache.add(blocks[0]!);
          }
        }
        const events = kind === "stored" || kind === "evicted"
          ? [{ seq, kind, blocks } as const]
          : [];
        const batch = { ...tag(), events, nextSeq: seq + 1 };
        let change = view.applyEvents(batch);
        index.apply({ ...view.tag, ...change });
        view.applyEvents(batch);
        if (change.needsSnapshot) {
          change = view.replaceAll({ ...tag(), seq, blocks: [...cache] });
          index.apply({ ...view.tag, ...change });
        }
        t.deepEqual([...view.blocks()].sort(), [...cache].sort());
        const found = chain.filter((name) => index.locate([name]).length > 0);
        t.deepEqual(found.sort(), [...cache].sort());
        for (const location of index.locate(chain)) {
          t.is(location.incarnation, `i${run.incarnation}`);
          t.is(
            location.weightsVersion,
            brandId<WeightsVersion>(`w${run.weights}`),
          );
        }
      }
    }),
    PROPERTY_OPTIONS,
  );
});

// Guards against blocks that are lost or come back when tables grow and reuse
// slots.
test("the prefix index agrees with a plain map under random changes", (t) => {
  const step = fc.record({
    kind: fc.constantFrom("stored", "stored", "evicted", "drop"),
    engine: fc.integer({ min: 0, max: 3 }),
    from: fc.integer({ min: 0, max: 3000 }),
    count: fc.integer({ min: 1, max: 400 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const index = new PrefixIndex();
      const model = new Map<string, Set<string>>();
      for (const { kind, engine, from, count } of steps) {
        const tag = tagOf(`e${engine}`);
        const heldBlocks = model.get(tag.engine) ?? new Set();
        model.set(tag.engine, heldBlocks);
        const blocks = Array.from({ length: count }, (_, offset) => {
          const text = ((from + offset) * 2654435761).toString(16);
          return brandId<BlockHash>(text.padStart(16, "0"));
        });
        if (kind === "drop") {
          index.dropEngine(tag.engine);
          heldBlocks.clear();
          continue;
        }
        const isStored = kind === "stored";
        blocks.forEach((block) =>
          isStored ? heldBlocks.add(block) : heldBlocks.delete(block)
        );
        index.apply({
          ...tag,
          stored: isStored ? blocks : [],
          evicted: isStored ? [] : blocks,
        });
        const holders = [...model].filter(([, set]) => set.has(blocks[0]!));
        const located = index.locate([blocks[0]!]).map(({ engine }) => engine);
        t.deepEqual(
          located.sort(),
          holders.map(([id]) => brandId<BackendServerId>(id)).sort(),
        );
      }
    }),
    { ...PROPERTY_OPTIONS, numRuns: 50 },
  );
});

// Guards against relying on a cache hit for an earlier incarnation, other
// weights or another team.
test("a hit of another incarnation, weights version or salt is refused", (t) => {
  const salt = cacheSalt(SALT_INPUT);
  const current = { tag: tagOf("e1"), salt };
  t.notThrows(() => assertHitIsCurrent({ ...tagOf("e1"), salt }, current));
  const stale = [
    { ...tagOf("e1", "i2"), salt },
    { ...tagOf("e1"), weightsVersion: brandId<WeightsVersion>("w2"), salt },
    { ...tagOf("e1"), salt: cacheSalt({ ...SALT_INPUT, secret: "x" }) },
  ];
  for (const hit of stale) {
    t.throws(() => assertHitIsCurrent(hit, current), {
      instanceOf: StaleHitError,
    });
  }
});

// Guards against placements that count for a restarted engine or never expire.
test("own placements count until their deadline and for their incarnation only", (t) => {
  const placements = new RecentPlacements();
  const blocks = chainOf(3);
  placements.add({
    ...tagOf("e1"),
    requestId: brandId<RequestId>("r1"),
    blocks,
    prefillTokens: 6000,
    placedAtMs: 10,
    deadlineMs: 100,
  });
  const at = { sinceMs: 5, nowMs: 20 };
  t.is(placements.prefillTokensSince(tagOf("e1"), at), 6000);
  t.is(placements.prefillTokensSince(tagOf("e1"), { ...at, sinceMs: 10 }), 0);
  t.is(placements.depth(tagOf("e1"), { blocks: chainOf(5), nowMs: 20 }), 3);
  placements.markPrefilled(brandId("e1"), brandId("r1"));
  t.is(placements.prefillTokensSince(tagOf("e1"), at), 0);
  t.is(placements.depth(tagOf("e1"), { blocks, nowMs: 100 }), 0);
  t.is(placements.depth(tagOf("e1", "i2"), { blocks, nowMs: 20 }), 0);
});

// Guards against waiting for a busy engine when another is faster, and against
// leaving the engine with the cached prefix too early.
test("an engine with a hit is chosen until its queue costs more than the prefill or the import", (t) => {
  const request = { blocks: chainOf(10), promptTokens: 20_500 };
  const plan = (queuedPrefillTokens: number, stores: number[] = []) =>
    chooseEngine(request, [
      candidate("hot", { hitBlocks: 10, queuedPrefillTokens }),
      candidate("cold"),
    ], {
      stores: stores.map((depth) => ({ id: brandId("store"), depth })),
      workWeight: 0,
    });
  t.is(plan(1_000)?.engine, brandId<BackendServerId>("hot"));
  const replicated = plan(30_000);
  t.is(replicated?.engine, brandId<BackendServerId>("cold"));
  t.is(replicated?.importPlan?.source, brandId<BackendServerId>("hot"));
  t.is(
    plan(30_000, [10])?.importPlan?.source,
    brandId<BackendServerId>("store"),
  );
});

// Guards against computing blocks that were evicted after the choice and that
// the store holds, and against an unbounded wait.
test("a plan names the store as a fallback and the wait that it allows", (t) => {
  const request = { blocks: chainOf(4), promptTokens: 8_500 };
  const stores = [{ id: brandId<BackendServerId>("store"), depth: 0 }];
  const plan = chooseEngine(request, [
    candidate("a", { hitBlocks: 4, queuedPrefillTokens: 100 }),
    candidate("b", { hitBlocks: 4, queuedPrefillTokens: 600 }),
  ], { stores });
  t.is(plan?.engine, brandId<BackendServerId>("a"));
  t.is(plan?.fallbackStore, brandId<BackendServerId>("store"));
  t.is(plan?.maxWaitMs, 60);
  const only = chooseEngine(request, [candidate("a")], { stores });
  t.is(only?.maxWaitMs, Infinity);
});

// Guards against new work for an engine that is leaving or suspect, and against
// an import from a suspect engine, which may not answer.
test("leaving and suspect engines get no work and suspect engines export nothing", (t) => {
  const request = { blocks: chainOf(4), promptTokens: 8_100 };
  const leaving = candidate("a", { hitBlocks: 4, state: "leaving" });
  const suspect = candidate("b", { hitBlocks: 4, state: "suspect" });
  t.is(chooseEngine(request, [leaving, suspect]), undefined);
  const plan = chooseEngine(request, [suspect, candidate("c")]);
  t.is(plan?.engine, brandId<BackendServerId>("c"));
  t.is(plan?.importPlan, undefined);
  const exported = chooseEngine(request, [leaving, candidate("c")]);
  t.is(exported?.importPlan?.source, brandId<BackendServerId>("a"));
});

// Guards against retries that multiply the load of an outage.
test("retries stay within a tenth of the requests and the reserve", (t) => {
  const budget = new RetryBudget({ ratio: 0.1, reserve: 3 });
  const use = {
    team: SALT_INPUT.team,
    server: brandId<BackendServerId>("e1"),
    nowMs: 0,
  };
  let retries = 0;
  for (let request = 0; request < 1000; request++) {
    budget.recordRequest(use);
    while (budget.tryRetry(use)) {
      retries++;
    }
  }
  t.true(retries <= 103);
  t.true(retries >= 102);
});
