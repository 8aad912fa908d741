/**
 * Chooses the engine with the least expected time to first token.
 *
 * @module
 */

import { BLOCK_TOKENS } from "@endivebend/types";
import type { BackendServerId, BlockHash } from "@endivebend/types";
import type { EngineCosts } from "./engine_costs.ts";
import type { EngineTag } from "./engine_tag.ts";
import { rendezvousWeight } from "./rendezvous.ts";

/** The part of a request that decides where it runs. */
export interface RoutingRequest {
  readonly blocks: readonly BlockHash[];
  readonly promptTokens: number;
}

/** What the router knows of one engine. */
export interface EngineCandidate extends EngineTag {
  /** Only live engines are chosen; leaving ones may still export blocks. */
  readonly state: "live" | "leaving" | "suspect";
  /** Blocks of the request known to be cached there under this tag. */
  readonly hitBlocks: number;
  /** Prefill tokens ahead: the load report plus own placements since. */
  readonly queuedPrefillTokens: number;
  /** Other waiting known to lie ahead, such as the network round trip. */
  readonly extraWaitMs?: number;
  readonly costs: EngineCosts;
}

/** A cache store that may hold a part of the chain. */
export interface CacheStoreSource {
  readonly id: BackendServerId;
  /** Blocks of the request that the store is known to hold; 0 when unknown. */
  readonly depth: number;
}

/** Settings of `chooseEngine`. */
export interface ChooseOptions {
  readonly stores?: readonly CacheStoreSource[];
  /**
   * Weight of the engine time that the request takes from others, in addition
   * to its own time to first token; 4 when absent.
   */
  readonly workWeight?: number;
  /** Scores closer than this count as equal; 2 ms when absent. */
  readonly tieMs?: number;
}

/**
 * Blocks that the engine fetches before the prefill, as far as it lacks them
 * and the source holds them.
 */
export interface ImportPlan {
  readonly source: BackendServerId;
  /** Index of the first block that the engine is thought to lack. */
  readonly fromBlock: number;
  /** Index after the last block that the source is thought to hold. */
  readonly toBlock: number;
}

/** One engine as it was weighed. */
export interface WeighedEngine {
  readonly engine: BackendServerId;
  readonly hitBlocks: number;
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly importMs: number;
  readonly expectedTtftMs: number;
  readonly scoreMs: number;
  readonly importFrom?: ImportPlan;
}

/** Where the request goes and why. */
export interface RoutePlan {
  readonly engine: BackendServerId;
  readonly tag: EngineTag;
  /** Blocks that the engine holds already; imported ones are not included. */
  readonly expectedHitBlocks: number;
  /** Tokens left to prefill after hits and import. */
  readonly prefillTokens: number;
  readonly importFrom?: ImportPlan;
  /**
   * The store to ask for every block that the engine lacks when it starts,
   * in a plan without `importFrom`. Between choice and start the engine may
   * have evicted a block; fetching it costs far less than computing it.
   */
  readonly fallbackStore?: BackendServerId;
  readonly expectedTtftMs: number;
  /**
   * The wait at the engine's queue above which another engine was expected to
   * be better; `Infinity` when there is no other.
   */
  readonly maxWaitMs: number;
  readonly weighed: readonly WeighedEngine[];
}

/**
 * With 1 a request computed a prefix that another engine was just computing
 * rather than wait for it, which delayed the requests behind it. Over 16 seeds
 * 4 gave the least tails of the worst-served teams; docs/MEASUREMENTS.md has
 * the figures.
 */
const DEFAULT_WORK_WEIGHT = 4;
const DEFAULT_TIE_MS = 2;

/**
 * Gives the plan for a request, or `undefined` when no engine is live.
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
  const sources = listSources(engines, options.stores ?? []);
  const live = engines.filter((engine) => engine.state === "live");
  const weighed = live.map((engine) =>
    weigh(request, { engine, sources, options })
  );
  const chosen = pickBest(weighed, {
    key: tieKey(request, sources),
    tieMs: options.tieMs ?? DEFAULT_TIE_MS,
  });
  if (chosen === undefined) {
    return undefined;
  }
  const [store] = options.stores ?? [];
  const { engine, incarnation, weightsVersion } = live.find((candidate) =>
    candidate.engine === chosen.engine
  )!;
  const depth = chosen.importFrom?.toBlock ?? chosen.hitBlocks;
  return {
    engine,
    tag: { engine, incarnation, weightsVersion },
    expectedHitBlocks: chosen.hitBlocks,
    prefillTokens: tokensAfter(request, depth),
    ...(chosen.importFrom && { importFrom: chosen.importFrom }),
    ...(store && !chosen.importFrom && { fallbackStore: store.id }),
    expectedTtftMs: chosen.expectedTtftMs,
    maxWaitMs: chosen.waitMs + leadOver(weighed, chosen),
    weighed,
  };
}

interface Source {
  readonly id: BackendServerId;
  readonly depth: number;
}

function listSources(
  engines: readonly EngineCandidate[],
  stores: readonly CacheStoreSource[],
): Source[] {
  const peers = engines
    .filter((engine) => engine.state !== "suspect")
    .map((engine) => ({ id: engine.engine, depth: engine.hitBlocks }));
  // Stores first: an export from a store takes no time from an engine.
  return [...stores, ...peers].filter((source) => source.depth > 0);
}

function weigh(
  request: RoutingRequest,
  context: {
    readonly engine: EngineCandidate;
    readonly sources: readonly Source[];
    readonly options: ChooseOptions;
  },
): WeighedEngine {
  const { engine, sources, options } = context;
  const { costs } = engine;
  const hitBlocks = Math.min(engine.hitBlocks, request.blocks.length);
  const waitMs = engine.queuedPrefillTokens * costs.prefillMsPerToken +
    (engine.extraWaitMs ?? 0);
  const importFrom = cheapestImport(request, { engine, hitBlocks, sources });
  const depth = importFrom?.toBlock ?? hitBlocks;
  const importMs = importFrom ? importTime(costs, importFrom) : 0;
  const prefillMs = tokensAfter(request, depth) * costs.prefillMsPerToken;
  // The engine fetches blocks while earlier prefills run.
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
    ...(importFrom && { importFrom }),
  };
}

function cheapestImport(
  request: RoutingRequest,
  context: {
    readonly engine: EngineCandidate;
    readonly hitBlocks: number;
    readonly sources: readonly Source[];
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
  const savedTokens = (best.toBlock - best.fromBlock) * BLOCK_TOKENS;
  const savedMs = savedTokens * engine.costs.prefillMsPerToken;
  return importTime(engine.costs, best) < savedMs ? best : undefined;
}

function importTime(costs: EngineCosts, plan: ImportPlan): number {
  const blocks = plan.toBlock - plan.fromBlock;
  return costs.importSetupMs + blocks * costs.importMsPerBlock;
}

function tokensAfter(request: RoutingRequest, depth: number): number {
  return Math.max(0, request.promptTokens - depth * BLOCK_TOKENS);
}

/**
 * The first block that is cached nowhere. Routers that place the same cold
 * prefix at the same time agree on it, and requests that differ only below
 * what is cached everywhere spread out.
 */
function tieKey(request: RoutingRequest, sources: readonly Source[]): string {
  const depth = Math.max(0, ...sources.map((source) => source.depth));
  const last = request.blocks.length - 1;
  return request.blocks[Math.min(depth, last)] ?? "";
}

function leadOver(
  weighed: readonly WeighedEngine[],
  chosen: WeighedEngine,
): number {
  const others = weighed.filter((entry) => entry !== chosen);
  const next = Math.min(...others.map((entry) => entry.scoreMs));
  return Math.max(0, next - chosen.scoreMs);
}

function pickBest(
  weighed: readonly WeighedEngine[],
  tie: { readonly key: string; readonly tieMs: number },
): WeighedEngine | undefined {
  const least = Math.min(...weighed.map((entry) => entry.scoreMs));
  let best: WeighedEngine | undefined;
  let bestWeight = -1;
  for (const entry of weighed) {
    if (entry.scoreMs > least + tie.tieMs) {
      continue;
    }
    const weight = rendezvousWeight(tie.key, entry.engine);
    if (weight > bestWeight) {
      best = entry;
      bestWeight = weight;
    }
  }
  return best;
}
