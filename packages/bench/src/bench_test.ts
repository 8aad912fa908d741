import test from "ava";
import { readFile } from "node:fs/promises";
import { brandId } from "@endivebend/types";
import type { BlockHash } from "@endivebend/types";
import { loadHasher } from "@endivebend/routing";
import { BlockCache } from "./block_cache.ts";
import { DEPLOYMENTS } from "./deployments.ts";
import { EngineModel } from "./engine_model.ts";
import type { EngineJob } from "./engine_model.ts";
import { generateTrace } from "./generate_trace.ts";
import { POLICIES } from "./policies.ts";
import { ReferenceLimits } from "./reference_limits.ts";
import { hashTrace, runTrace } from "./run_trace.ts";
import { formatTrace, parseTrace } from "./trace.ts";
import type { Trace } from "./trace.ts";
import { VirtualTime } from "./virtual_time.ts";

const SEED = 3;

test.before(loadHasher);

function smallTrace(name = "tollhaven"): Trace {
  return generateTrace(DEPLOYMENTS[name]!, { seed: SEED, requests: 300 });
}

function policy(name: string) {
  return POLICIES.find((one) => one.name === name)!;
}

function makeEngine(time: VirtualTime, events: string[]): EngineModel {
  const { header } = smallTrace();
  const spec = { ...header.engines[0]!, cacheBlocks: 3 };
  return new EngineModel(spec, {
    time,
    network: header.network,
    observer: {
      onStored: (block, how) => events.push(`${how} ${block}`),
      onEvicted: (block) => events.push(`evicted ${block}`),
      onRecompute: (block) => events.push(`computes ${block}`),
      onPrefilled: (job, cached) =>
        events.push(`${job.requestId} had ${cached}`),
    },
  });
}

function job(id: string, fields: Partial<EngineJob> = {}): EngineJob {
  return {
    requestId: id,
    team: "t",
    blocks: [],
    promptTokens: 500,
    outputTokens: 1,
    priority: 0,
    deadlineMs: 1e9,
    onFirstToken: () => {},
    onEnd: () => {},
    ...fields,
  };
}

function blocks(...names: string[]): BlockHash[] {
  return names.map((name) => brandId<BlockHash>(name));
}

// Guards against results that depend on the machine or on the order of runs.
test("a replay gives the same row twice", (t) => {
  const trace = smallTrace("siegelwerk");
  const hashes = hashTrace(trace);
  for (const one of POLICIES) {
    const first = runTrace(trace, { policy: one, blocks: hashes });
    const second = runTrace(parseTrace(formatTrace(trace)), {
      policy: one,
      blocks: hashes,
    });
    t.deepEqual(first.row, second.row);
    t.is(first.row.limit_excess_tokens, 0);
    t.is(first.details.refused.get("lost"), undefined);
  }
});

// Guards against a generator that ignores its seed.
test("a seed gives one trace and another seed another", (t) => {
  const trace = smallTrace();
  t.is(formatTrace(trace), formatTrace(smallTrace()));
  const other = generateTrace(DEPLOYMENTS["tollhaven"]!, {
    seed: SEED + 1,
    requests: 300,
  });
  t.not(formatTrace(other), formatTrace(trace));
});

// Guards against a changed model, metric or policy that goes unnoticed. The
// trace has six requests of one prefix and a crash of the engine that has it.
test("the tiny trace has the outcomes that are worked out beside it", async (t) => {
  const file = new URL("./testdata/tiny_trace.jsonl", import.meta.url);
  const trace = parseTrace(await readFile(file, "utf8"));
  const hashes = hashTrace(trace);
  const run = (name: string) =>
    runTrace(trace, { policy: policy(name), blocks: hashes }).row;
  // Requests 1 to 6 have 4 full blocks each, of which 3 are shared. In turn
  // over two engines, 1 and 2 compute them, 3 and 4 find them, and 5 and 6,
  // after the crash of e1, find them only at e2.
  const robin = run("round_robin");
  t.is(robin.requests, 6);
  t.is(robin.prefix_hit_rate, 0.375);
  t.is(robin.wrongful_refusal_rate, 0);
  // Only request 1 has to compute the shared blocks: 5 x 3 of 24 are found.
  const own = run("endivebend");
  t.is(own.prefix_hit_rate, 0.625);
  t.is(own.wasted_recompute_tokens, 0);
  t.is(run("oracle").prefix_hit_rate, 0.625);
});

// Guards against hits on blocks that the engine has evicted or lost.
test("the engine model computes, finds, evicts and forgets blocks", (t) => {
  const time = new VirtualTime();
  const events: string[] = [];
  const engine = makeEngine(time, events);
  const submit = (id: string, chain: BlockHash[]) => {
    const promptTokens = chain.length * 2_000 + 100;
    engine.submit(job(id, { blocks: chain, promptTokens }));
    time.runUntil(time.nowMs + 10_000);
  };
  submit("r1", blocks("a", "b"));
  submit("r2", blocks("a", "c"));
  submit("r3", blocks("d", "e"));
  t.deepEqual(
    events,
    [
      "computes a",
      "computes b",
      "computed a",
      "computed b",
      "r1 had 0",
      "computes c",
      "computed c",
      "r2 had 1",
      "computes d",
      "evicted b",
      "computed d",
      "computes e",
      "evicted a",
      "computed e",
      "r3 had 0",
    ].toSorted((x, y) => events.indexOf(x) - events.indexOf(y)),
  );
  engine.crash();
  engine.restart();
  t.is(engine.depth(blocks("d")), 0);
});

// Guards against jobs that a crash loses without a word.
test("a crash ends each job once and expired jobs end as expired", (t) => {
  const time = new VirtualTime();
  const engine = makeEngine(time, []);
  const ends: string[] = [];
  const withEnd = (id: string, deadlineMs: number) =>
    job(id, { deadlineMs, onEnd: (reason) => ends.push(`${id} ${reason}`) });
  engine.submit(withEnd("r1", 1e9));
  engine.submit(withEnd("r2", 1e9));
  engine.crash();
  time.runUntil(1_000);
  engine.submit(withEnd("r3", 1e9));
  engine.restart();
  engine.submit(withEnd("r4", 500));
  time.runUntil(2_000);
  t.deepEqual(ends, ["r1 crashed", "r2 crashed", "r3 crashed", "r4 expired"]);
});

// Guards against eviction of blocks that running requests use.
test("pinned blocks stay in the cache", (t) => {
  const evicted: string[] = [];
  const cache = new BlockCache(1, (block) => evicted.push(block));
  const [a, b] = blocks("a", "b") as [BlockHash, BlockHash];
  cache.pin(a);
  cache.add(a);
  cache.add(b);
  t.deepEqual(evicted, ["b"]);
  cache.unpin(a);
  cache.add(b);
  t.deepEqual(evicted, ["b", "a"]);
});

// Guards against a measure that hides an excess or blames a rightful refusal.
test("excess and wrongful refusals are measured against rate and burst", (t) => {
  const { header } = smallTrace();
  const team = {
    id: "t",
    rateTokensPerSecond: 1_000,
    burstTokens: 100,
    heavy: false,
  };
  const limits = new ReferenceLimits({ ...header, teams: [team] });
  const request = (id: string, costTokens: number) => ({
    id,
    team: "t",
    costTokens,
  });
  limits.arrive(request("r1", 100), 0);
  limits.grant(request("r1", 100), 0);
  limits.arrive(request("r2", 60), 50);
  t.true(limits.withinLimits.has("r1"));
  t.false(limits.withinLimits.has("r2"));
  t.is(limits.excessTokens, 0);
  limits.grant(request("r2", 60), 50);
  t.is(limits.excessTokens, 10);
});
