/**
 * Cache events at a watcher and at a prefix home, and look-ups.
 *
 * @module
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { ReportBlocksRequestSchema } from "@endivebend/peers";
import {
  type CacheEventBatch,
  EngineCacheView,
  firstByRendezvous,
  ownerKeyOf,
  PrefixIndex,
} from "@endivebend/routing";
import type { BlockHash } from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import {
  blockAt,
  blocksAt,
  engineId,
  entryVmId,
  incarnationAt,
  WEIGHTS,
} from "../samples.ts";

const BLOCKS_PER_ENGINE = 30_000;
/** Engines that a home hears of: blocks of all engines hash to it. */
const ENGINES_AT_HOME = 12_000;
const BLOCKS_AT_HOME = 878_000;
const EVENTS_PER_BATCH = 20;
const EVENT_SIZES = [5_000, 10_000, 20_000, 40_000];

function tagOf(engine: number) {
  return {
    engine: engineId(engine),
    incarnation: incarnationAt(engine),
    weightsVersion: WEIGHTS,
  };
}

/** Events of one block each, stored and evicted in turn. */
function eventsAt(firstSeq: number, count: number): CacheEventBatch {
  const events = Array.from({ length: count }, (_, index) => {
    const seq = firstSeq + index;
    const isStored = seq % 2 === 0;
    const block = blockAt(isStored ? BLOCKS_PER_ENGINE + seq : seq);
    const kind = isStored ? "stored" as const : "evicted" as const;
    return { seq, kind, blocks: [block] };
  });
  const { incarnation, weightsVersion } = tagOf(0);
  return { incarnation, weightsVersion, events, nextSeq: firstSeq + count };
}

function viewWith(blocks: number): EngineCacheView {
  const { engine, incarnation, weightsVersion } = tagOf(0);
  const view = new EngineCacheView(engine);
  const set = blocksAt(0, blocks);
  view.replaceAll({ incarnation, weightsVersion, seq: 0, blocks: set });
  return view;
}

function applyBatches(events: number) {
  const view = viewWith(BLOCKS_PER_ENGINE);
  const batches: CacheEventBatch[] = [];
  for (let seq = 1; seq <= events; seq += EVENTS_PER_BATCH) {
    batches.push(eventsAt(seq, EVENTS_PER_BATCH));
  }
  return () => {
    for (const batch of batches) view.applyEvents(batch);
  };
}

function indexWith(blocks: number, engines: number): PrefixIndex {
  const index = new PrefixIndex();
  const perEngine = Math.ceil(blocks / engines);
  for (let engine = 0; engine < engines; engine++) {
    const start = engine * perEngine;
    const count = Math.min(perEngine, blocks - start);
    if (count <= 0) break;
    const stored = blocksAt(start, count);
    index.apply({ ...tagOf(engine), stored, evicted: [] });
  }
  return index;
}

let sharedIndex: PrefixIndex | undefined;

/** One index for all runs: a home works on a full one, and filling it is slow. */
function fullIndex(): PrefixIndex {
  sharedIndex ??= indexWith(BLOCKS_AT_HOME, ENGINES_AT_HOME);
  return sharedIndex;
}

let nextBlock = BLOCKS_AT_HOME + ENGINES_AT_HOME;

function applyReports(events: number) {
  const index = fullIndex();
  const blocks = blocksAt(nextBlock, events / 2);
  nextBlock += events / 2;
  const reports = blocks.flatMap((block, at) => {
    const tag = tagOf(at % ENGINES_AT_HOME);
    const stored = { ...tag, stored: [block], evicted: [] };
    return [stored, { ...tag, stored: [], evicted: [block] }];
  });
  return () => {
    for (const report of reports) index.apply(report);
  };
}

function locateChains(blocks: number) {
  const index = indexWith(100_000, 100);
  const chain = blocksAt(90_000_000, blocks);
  for (let engine = 0; engine < 4; engine++) {
    index.apply({ ...tagOf(engine), stored: chain, evicted: [] });
  }
  return () => index.locate(chain);
}

/** The choice of a home as the router makes it for each block of a report. */
function chooseHome(members: number) {
  const entries = Array.from({ length: members }, (_, index) => ({
    vmId: entryVmId(index),
  }));
  const block: BlockHash = blockAt(77);
  return () => {
    const ids = entries.map((entry) => entry.vmId);
    const chosen = firstByRendezvous(ownerKeyOf(block), ids);
    return entries.find((entry) => entry.vmId === chosen);
  };
}

function reportOf(blocks: number) {
  const { engine, incarnation, weightsVersion } = tagOf(7);
  const stored = Buffer.from(blocksAt(0, blocks).join(""), "hex");
  return create(ReportBlocksRequestSchema, {
    backendServerId: engine,
    incarnation,
    weightsVersion,
    stored,
  });
}

/** The series of this module. */
export const cacheSeries: readonly Series[] = [
  timeSeries({
    name: "cache_view.event_us",
    per: "event",
    sizes: EVENT_SIZES,
    prepare: applyBatches,
  }),
  heapSeries({
    name: "cache_view.block_bytes",
    per: "block",
    sizes: [10_000, 30_000, 60_000, 120_000],
    make: viewWith,
  }),
  sizeSeries({
    name: "cache_events.json_bytes",
    per: "event",
    sizes: [1, 20, 100],
    encode: (size) => JSON.stringify(eventsAt(1_000_000, size)),
  }),
  timeSeries({
    name: "cache_events.parse_us",
    per: "event",
    sizes: [1, 20, 100],
    repeatable: true,
    prepare: (size) => {
      const text = JSON.stringify(eventsAt(1_000_000, size));
      return () => JSON.parse(text);
    },
  }),
  timeSeries({
    name: "prefix_index.event_us",
    per: "event",
    sizes: EVENT_SIZES,
    prepare: applyReports,
  }),
  heapSeries({
    name: "prefix_index.block_bytes",
    per: "block",
    sizes: [110_000, 220_000, 439_000, 878_000],
    make: (size) => indexWith(size, 1_000),
  }),
  heapSeries({
    name: "prefix_index.engine_bytes",
    per: "engine",
    sizes: [3_000, 6_000, 12_000],
    make: (size) => indexWith(size, size),
  }),
  timeSeries({
    name: "prefix_index.locate_us",
    per: "block looked up",
    sizes: [1, 8, 16, 32],
    repeatable: true,
    prepare: locateChains,
  }),
  timeSeries({
    name: "prefix_home.choose_us",
    per: "member",
    sizes: [32, 82, 205, 410],
    repeatable: true,
    prepare: chooseHome,
  }),
  sizeSeries({
    name: "report_blocks.message_bytes",
    per: "block",
    sizes: [1, 20, 1_000],
    encode: (size) => toBinary(ReportBlocksRequestSchema, reportOf(size)),
  }),
  timeSeries({
    name: "report_blocks.codec_us",
    per: "block",
    sizes: [1, 20, 1_000],
    repeatable: true,
    prepare: (size) => () =>
      fromBinary(
        ReportBlocksRequestSchema,
        toBinary(ReportBlocksRequestSchema, reportOf(size)),
      ),
  }),
];
