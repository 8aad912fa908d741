/**
 * What a request costs besides its sockets: hashing, choice of an engine, fair
 * queue.
 *
 * @module
 */

import { FairQueue } from "@endivebend/queueing";
import {
  chooseEngine,
  DEFAULT_ENGINE_COSTS,
  type EngineCandidate,
  type EngineTag,
  hashBlocksWithSalt,
  isSameTag,
  RecentPlacements,
} from "@endivebend/routing";
import { brandId, type RequestId } from "@endivebend/types";
import { heapSeries, type Series, timeSeries } from "../measure.ts";
import {
  blocksAt,
  engineId,
  incarnationAt,
  teamId,
  WEIGHTS,
} from "../samples.ts";

const BLOCK_BYTES = 8_000;
const SALT = "5a".repeat(32);
const FEW_CANDIDATES = 20;
/** Engines that hold a part of the chain. */
const HOLDERS = 4;
/** 21.7 requests a second over the 30 s for which a placement counts. */
const PLACEMENTS = 650;

function tagOf(index: number): EngineTag {
  return {
    engine: engineId(index),
    incarnation: incarnationAt(index),
    weightsVersion: WEIGHTS,
  };
}

/** What this router placed in the last 30 s, over some of the engines. */
function placementsOn(engines: number): RecentPlacements {
  const placements = new RecentPlacements();
  for (let index = 0; index < PLACEMENTS; index++) {
    placements.add({
      ...tagOf((index * 7919) % engines),
      requestId: brandId<RequestId>(incarnationAt(index)),
      blocks: blocksAt(1_000 + index * 16, 16),
      prefillTokens: 1_500,
      placedAtMs: index,
      deadlineMs: 1_000_000,
    });
  }
  return placements;
}

/**
 * The choice with its candidates, as the router's selector makes it: that part
 * of the router is written again here, the calls are the packages' own.
 */
function route(candidates: number, blockCount: number) {
  const tags = Array.from({ length: candidates }, (_, index) => tagOf(index));
  const blocks = blocksAt(0, blockCount);
  const depth = Math.ceil(blockCount / 2);
  const locations = tags.slice(0, HOLDERS).map((tag) => ({ ...tag, depth }));
  const placements = placementsOn(candidates);
  const now = { sinceMs: 0, nowMs: 500_000 };
  const candidateOf = (tag: EngineTag, index: number): EngineCandidate => {
    const located = locations.find((location) => isSameTag(location, tag));
    const placed = placements.depth(tag, { blocks, nowMs: now.nowMs });
    return {
      ...tag,
      state: "live",
      hitBlocks: Math.max(located?.depth ?? 0, placed),
      queuedPrefillTokens: (index * 7919) % 20_000 +
        placements.prefillTokensSince(tag, now),
      costs: DEFAULT_ENGINE_COSTS,
    };
  };
  const request = { blocks, promptTokens: blockCount * 2_000 + 300 };
  return () => chooseEngine(request, tags.map(candidateOf));
}

function entryOf(index: number) {
  return {
    requestId: brandId<RequestId>(incarnationAt(index)),
    team: teamId(index % 50),
    costTokens: 2_300,
    prefillTokens: 1_500,
    deadlineMs: 1_000_000,
  };
}

function filledQueue(entries: number): FairQueue {
  const queue = new FairQueue({ maxEntries: 10_000 });
  for (let index = 0; index < entries; index++) {
    queue.enqueue(entryOf(index), 0);
  }
  return queue;
}

/** Each request is queued, permitted, prefilled and released. */
function passThrough(requests: number) {
  const queue = new FairQueue();
  const entries = Array.from({ length: requests }, (_, at) => entryOf(at));
  return () => {
    let nowMs = 0;
    for (const entry of entries) {
      nowMs += 200;
      queue.enqueue(entry, nowMs);
      queue.grantPermits(nowMs, { takesNewWork: true });
      queue.markPrefilled(entry.requestId, nowMs + 150);
      queue.release(entry.requestId);
    }
  };
}

/**
 * The choice alone, over candidates with their properties written out. An
 * object spread with further properties took 2.6 us in Node 20.20, the same
 * object written out 0.01 us.
 */
function chooseOnly(candidates: number, blockCount: number) {
  const engines = Array.from({ length: candidates }, (_, index) => {
    const { engine, incarnation, weightsVersion } = tagOf(index);
    const candidate: EngineCandidate = {
      engine,
      incarnation,
      weightsVersion,
      state: "live",
      hitBlocks: index < HOLDERS ? Math.ceil(blockCount / 2) : 0,
      queuedPrefillTokens: (index * 7919) % 20_000,
      costs: DEFAULT_ENGINE_COSTS,
    };
    return candidate;
  });
  const blocks = blocksAt(0, blockCount);
  const request = { blocks, promptTokens: blockCount * 2_000 + 300 };
  return () => chooseEngine(request, engines);
}

const PLANS = 20;

/** Several plans at once, as one is lost in the noise of the heap. */
const manyPlans = heapSeries({
  name: "route.explained_bytes",
  per: "candidate engine of a kept plan",
  sizes: [333, 667, 1_333],
  make: (size) => Array.from({ length: PLANS }, () => chooseOnly(size, 16)()),
});

const keptPlanSeries: Series = {
  ...manyPlans,
  run: async (size) => await manyPlans.run(size) / PLANS,
};

/** The series of this module. */
export const requestSeries: readonly Series[] = [
  timeSeries({
    name: "route.hash_us",
    per: "block",
    sizes: [1, 8, 16, 32],
    repeatable: true,
    prepare: (size) => {
      const text = "x".repeat(size * BLOCK_BYTES);
      return () => hashBlocksWithSalt(text, SALT);
    },
  }),
  timeSeries({
    name: "route.candidate_us",
    per: "candidate engine",
    sizes: [100, 400, 1_333, 4_000],
    repeatable: true,
    prepare: (size) => route(size, 16),
  }),
  timeSeries({
    name: "route.choose_us",
    per: "candidate engine",
    sizes: [100, 400, 1_333, 4_000],
    repeatable: true,
    prepare: (size) => chooseOnly(size, 16),
  }),
  timeSeries({
    name: "route.block_us",
    per: "block",
    sizes: [1, 8, 16, 32],
    repeatable: true,
    prepare: (size) => route(FEW_CANDIDATES, size),
  }),
  keptPlanSeries,
  timeSeries({
    name: "queue.request_us",
    per: "request",
    sizes: [1_000, 2_000, 4_000],
    prepare: passThrough,
  }),
  heapSeries({
    name: "queue.request_bytes",
    per: "queued request",
    sizes: [500, 1_000, 2_000],
    make: filledQueue,
  }),
  timeSeries({
    name: "queue.dispatch_us",
    per: "queued request",
    sizes: [100, 500, 2_000],
    repeatable: true,
    prepare: (size) => {
      const queue = filledQueue(size);
      return () => queue.grantPermits(1, { takesNewWork: false });
    },
  }),
];
