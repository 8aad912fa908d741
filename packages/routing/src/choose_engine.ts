/**
 * Chooses the engine that serves a request, by the expected time to first token
 * and the engine time that the request costs others.
 *
 * @module
 */

import { TOKENS_PER_BLOCK } from "@endivebend/types";
import type { BackendServerId, BlockHash } from "@endivebend/types";
import type { EngineCosts } from "./engine_costs.ts";
import type { EngineTag } from "./engine_tag.ts";
import { rendezvousWeight } from "./rendezvous.ts";

/** The properties of a request that decide where it runs. */
export interface RoutingRequest {
  readonly blocks: readonly BlockHash[];
  readonly promptTokens: number;
}

/** What the router knows about one engine. */
export interface EngineCandidate extends EngineTag {
  /** Only live engines are chosen. Leaving engines may still export blocks. */
  readonly state: "live" | "leaving" | "suspect";
  /** Leading blocks of the request known to be cached under this tag. */
  readonly hitBlocks: number;
  /**
   * Prefill tokens queued ahead of the request: those in the engine's load
   * report and those that this router has placed since.
   */
  readonly queuedPrefillTokens: number;
  /** Other expected waiting time, such as the network round trip. */
  readonly extraWaitMs?: number;
  readonly costs: EngineCosts;
}

/** A cache store that may hold leading blocks of the chain. */
export interface CacheStoreSource {
  readonly id: BackendServerId;
  /** Leading blocks of the request that the store holds; 0 when unknown. */
  readonly depth: number;
}

/** Settings of `chooseEngine`. */
export interface ChooseOptions {
  readonly stores?: readonly CacheStoreSource[];
  /**
   * Weight of the engine time that the request takes from other requests, which
   * is added to its own time to first token; 4 when absent.
   */
  readonly workWeight?: number;
  /**
   * Scores that exceed the least one by at most this many milliseconds count as
   * equal; 2 when absent.
   */
  readonly tieMs?: number;
}

/**
 * Blocks that the engine imports before the prefill, as far as it lacks them
 * and the source holds them.
 */
export interface ImportPlan {
  readonly source: BackendServerId;
  /** Index of the first block that the engine is expected to lack. */
  readonly fromBlock: number;
  /** Index after the last block that the source is expected to hold. */
  readonly toBlock: number;
}

/** Estimates for one engine and the score derived from them; least is best. */
export interface EngineScore {
  readonly engine: BackendServerId;
  readonly hitBlocks: number;
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly importMs: number;
  readonly expectedTtftMs: number;
  readonly scoreMs: number;
  readonly importPlan?: ImportPlan;
}

/** The chosen engine and the estimates behind the choice. */
export interface RoutePlan {
  readonly engine: BackendServerId;
  readonly tag: EngineTag;
  /** Blocks that the engine already holds, without those to import. */
  readonly expectedHitBlocks: number;
  /** Tokens left to prefill after cache hits and the import. */
  readonly prefillTokens: number;
  readonly importPlan?: ImportPlan;
  /**
   * The store to ask for every block that the engine lacks when the request
   * starts, in a plan without `importPlan`. The engine may evict a block
   * between the choice and the start; fetching it costs far less than
   * computing it.
   */
  readonly fallbackStore?: BackendServerId;
  readonly expectedTtftMs: number;
  /**
   * The wait in the engine's queue, in milliseconds, above which another engine
   * is expected to be better; `Infinity` when there is no other.
   */
  readonly maxWaitMs: number;
  readonly weighed: readonly EngineScore[];
}

/**
 * With a weight of 1, a request computed a prefix that another engine was
 * already computing instead of waiting for it, which delayed the requests
 * behind it. Over 16 seeds, 4 gave the lowest tail latency of the worst-served
 * teams; docs/MEASUREMENTS.md has the figures.
 */
const DEFAULT_WORK_WEIGHT = 4;
const DEFAULT_TIE_MS = 2;

/**
 * Returns the plan for a request, or `undefined` when no engine is live.
 *
 * @example
 * ```ts
 * const plan = chooseEngine({ blocks, promptTokens }, candidates, { stores });
 * ```
 */
export function chooseEngine(
  request: RoutingRequest,
  engines: readonly EngineCandidate[],
  options: ChooseOptions = {},
): RoutePlan | undefined {
  const sources = listImportSources(engines, options.stores ?? []);
  const liveEngines = engines.filter((engine) => engine.state === "live");
  const weighed = liveEngines.map((engine) =>
    scoreEngine(request, { engine, sources, options })
  );
  const chosen = pickBest(weighed, {
    key: tieBreakKey(request, sources),
    tieMs: options.tieMs ?? DEFAULT_TIE_MS,
  });
  if (chosen === undefined) {
    return undefined;
  }
  const [store] = options.stores ?? [];
  const { engine, incarnation, weightsVersion } = liveEngines.find(
    (candidate) => candidate.engine === chosen.engine,
  )!;
  const depth = chosen.importPlan?.toBlock ?? chosen.hitBlocks;
  return {
    engine,
    tag: { engine, incarnation, weightsVersion },
    expectedHitBlocks: chosen.hitBlocks,
    prefillTokens: tokensBeyondDepth(request, depth),
    ...(chosen.importPlan && { importPlan: chosen.importPlan }),
    ...(store && !chosen.importPlan && { fallbackStore: store.id }),
    expectedTtftMs: chosen.expectedTtftMs,
    maxWaitMs: chosen.waitMs + marginToNextMs(weighed, chosen),
    weighed,
  };
}

interface ImportSource {
  readonly id: BackendServerId;
  readonly depth: number;
}

function listImportSources(
  engines: readonly EngineCandidate[],
  stores: readonly CacheStoreSource[],
): ImportSource[] {
  const engineSources = engines
    .filter((engine) => engine.state !== "suspect")
    .map((engine) => ({ id: engine.engine, depth: engine.hitBlocks }));
  // Stores come first: an export from a store takes no engine time.
  return [...stores, ...engineSources].filter((source) => source.depth > 0);
}

function scoreEngine(
  request: RoutingRequest,
  context: {
    readonly engine: EngineCandidate;
    readonly sources: readonly ImportSource[];
    readonly options: ChooseOptions;
  },
): EngineScore {
  const { engine, sources, options } = context;
  const { costs } = engine;
  const hitBlocks = Math.min(engine.hitBlocks, request.blocks.length);
  const waitMs = engine.queuedPrefillTokens * costs.prefillMsPerToken +
    (engine.extraWaitMs ?? 0);
  const importPlan = planImport(request, { engine, hitBlocks, sources });
  const depth = importPlan?.toBlock ?? hitBlocks;
  const importMs = importPlan ? importTimeMs(costs, importPlan) : 0;
  const prefillMs = tokensBeyondDepth(request, depth) * costs.prefillMsPerToken;
  // The engine imports blocks while earlier prefills run.
  const expectedTtftMs = Math.max(waitMs, importMs) + prefillMs;
  const workWeight = options.workWeight ?? DEFAULT_WORK_WEIGHT;
  return {
    engine: engine.engine,
    hitBlocks,
    waitMs,
    prefillMs,
    importMs,
    expectedTtftMs,
    scoreMs: expectedTtftMs + workWeight * (prefillMs + importMs),
    ...(importPlan && { importPlan }),
  };
}

function planImport(
  request: RoutingRequest,
  context: {
    readonly engine: EngineCandidate;
    readonly hitBlocks: number;
    readonly sources: readonly ImportSource[];
  },
): ImportPlan | undefined {
  const { engine, hitBlocks, sources } = context;
  let best: ImportPlan | undefined;
  for (const source of sources) {
    const toBlock = Math.min(source.depth, request.blocks.length);
    const isDeeper = toBlock > (best?.toBlock ?? hitBlocks);
    if (source.id !== engine.engine && isDeeper) {
      best = { source: source.id, fromBlock: hitBlocks, toBlock };
    }
  }
  if (best === undefined) {
    return undefined;
  }
  const savedTokens = (best.toBlock - best.fromBlock) * TOKENS_PER_BLOCK;
  const savedMs = savedTokens * engine.costs.prefillMsPerToken;
  return importTimeMs(engine.costs, best) < savedMs ? best : undefined;
}

function importTimeMs(costs: EngineCosts, plan: ImportPlan): number {
  const blocks = plan.toBlock - plan.fromBlock;
  return costs.importSetupMs + blocks * costs.importMsPerBlock;
}

function tokensBeyondDepth(request: RoutingRequest, depth: number): number {
  return Math.max(0, request.promptTokens - depth * TOKENS_PER_BLOCK);
}

/**
 * Returns the first block that is cached nowhere, or the last block. Routers
 * that place the same uncached prefix at the same time then choose the same
 * engine, and requests that differ only after the cached prefix spread over
 * the engines.
 */
function tieBreakKey(
  request: RoutingRequest,
  sources: readonly ImportSource[],
): string {
  const depth = Math.max(0, ...sources.map((source) => source.depth));
  const last = request.blocks.length - 1;
  return request.blocks[Math.min(depth, last)] ?? "";
}

function marginToNextMs(
  weighed: readonly EngineScore[],
  chosen: EngineScore,
): number {
  const others = weighed.filter((score) => score !== chosen);
  const next = Math.min(...others.map((score) => score.scoreMs));
  return Math.max(0, next - chosen.scoreMs);
}

function pickBest(
  weighed: readonly EngineScore[],
  tie: { readonly key: string; readonly tieMs: number },
): EngineScore | undefined {
  const leastScoreMs = Math.min(...weighed.map((score) => score.scoreMs));
  let best: EngineScore | undefined;
  let bestWeight = -1;
  for (const score of weighed) {
    if (score.scoreMs > leastScoreMs + tie.tieMs) {
      continue;
    }
    const weight = rendezvousWeight(tie.key, score.engine);
    if (weight > bestWeight) {
      best = score;
      bestWeight = weight;
    }
  }
  return best;
}
