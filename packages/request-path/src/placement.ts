/**
 * Gathers what the choice of a server depends on.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type {
  BackendServerId,
  FailureDomainId,
  ModelName,
} from "@endivebend/types";
import {
  type Candidate,
  type Choice,
  chooseServer,
  PREFILL_TOKENS_PER_MS,
} from "./choose_server.ts";
import {
  type KnownServer,
  PART_LIFE_MS,
  type PlacedPart,
  type ServerRegistry,
} from "./server_registry.ts";
import type { WeightsHistory } from "./named_weights.ts";
import type { Call, PromptPart, WeightsNumber } from "./types.ts";

/** What a placement depends on besides the call. */
export interface PlacementContext {
  readonly registry: ServerRegistry;
  readonly failureDomain: FailureDomainId;
  readonly namedWeights: (model: ModelName) => WeightsHistory;
  /** After this time no request may begin on older weights. */
  readonly weightsBoundMs: number;
  /** Connections of this daemon to one server, by service. */
  readonly maxOwnAt: (service: Call["service"]) => number;
  /** Addresses of the stores of prompt parts that answer. */
  readonly cacheStores: () => readonly string[];
}

/** Where an attempt goes, or why it goes nowhere. */
export type Placement =
  | {
    readonly kind: "placed";
    readonly server: KnownServer;
    readonly choice: Choice;
    readonly cache: CachePlan;
  }
  | {
    readonly kind: "refused";
    readonly reason: "no_server" | "overloaded" | "stale_weights";
  };

/** How an attempt uses what engines and stores keep of its prompt. */
export interface CachePlan {
  /** Weights that the engine must have; parts are kept by weights. */
  readonly weights: WeightsNumber | undefined;
  /** Where the engine fetches shared parts that it lacks. */
  readonly fetchFrom: string | undefined;
  /** Where the engine sends shared parts that it has read. */
  readonly saveTo: string | undefined;
}

/** The benefit of an answer falls from 1,500 ms after newer weights are named. */
const STALE_WEIGHTS_AFTER_MS = 1_200;
/** A fifth of an answer's benefit weighs as much as this wait. */
const STALE_WEIGHTS_COST_MS = 400;
/** Time in which a request that is sent to an idle engine begins, at most. */
const BEGIN_SLACK_MS = 1_500;
/** A queue takes up to this many times the time that its tokens need. */
const QUEUE_FACTOR = 2;
/** An engine under pressure evicts parts within seconds. */
const FRESH_MS = 2_000;
/** A part can be fetched once the first request with it has been read. */
const READ_MS = 500;
/** One request in this many sends parts to the store again. */
const SAVED_AGAIN = 8;
/** A full queue of an engine: as many waiting as running. */
const MAX_FILL = 2;

/**
 * Chooses a server for the next attempt.
 *
 * @example
 * ```ts
 * const placement = placeCall(call, { ...context, exclude, nowMs });
 * ```
 */
export function placeCall(
  call: Call,
  context: PlacementContext & {
    readonly exclude: ReadonlySet<BackendServerId>;
    readonly nowMs: number;
  },
): Placement {
  const { registry, exclude, nowMs } = context;
  const usable = registry.usable(call.service, nowMs)
    .filter(({ listed }) => !exclude.has(listed.id));
  if (usable.length === 0) return { kind: "refused", reason: "no_server" };
  const fresh = withoutStale(call, usable, context);
  if (fresh.length === 0) return { kind: "refused", reason: "stale_weights" };
  const open = fresh.filter((server) => hasRoom(call, server, context));
  if (open.length === 0) return { kind: "refused", reason: "overloaded" };
  const shared = sharedParts(call);
  const sharedTokens = sumTokens(shared);
  const affinityKey = shared.at(-1)?.id ?? call.requestId;
  const [cacheStore] = call.work === undefined ? [] : context.cacheStores();
  const holders = open.map((server) => holderOf(server, shared, nowMs));
  const readTokens = Math.max(0, ...holders.map((holder) => holder.readTokens));
  const choice = chooseServer({
    promptTokens: call.work?.promptTokens,
    sharedTokens,
    fetchableTokens: readTokens,
    affinityKey,
    failureDomain: context.failureDomain,
  }, open.map((server) => candidateOf(call, { server, shared, context })));
  const server = choice && registry.get(choice.id);
  if (choice === undefined || server === undefined) {
    return { kind: "refused", reason: "no_server" };
  }
  const cache = planCache(call, {
    server,
    sharedTokens,
    holders,
    cacheStore,
    context,
  });
  return { kind: "placed", server, choice, cache };
}

interface Holder {
  readonly server: KnownServer;
  /** Shared tokens that it is thought to hold. */
  readonly tokens: number;
  /** Those of them that it has read and that others can fetch. */
  readonly readTokens: number;
  /** Those that were used so lately that they are hardly evicted. */
  readonly freshTokens: number;
}

function holderOf(
  server: KnownServer,
  shared: readonly PromptPart[],
  nowMs: number,
): Holder {
  const tokensWhere = (test: (part: PlacedPart) => boolean) =>
    chainTokens(
      server,
      shared,
      (part) => nowMs - part.lastMs <= PART_LIFE_MS && test(part),
    );
  const isRead = (part: PlacedPart) => nowMs - part.firstMs >= READ_MS;
  return {
    server,
    tokens: tokensWhere(() => true),
    readTokens: tokensWhere(isRead),
    freshTokens: tokensWhere((part) =>
      isRead(part) && nowMs - part.lastMs <= FRESH_MS
    ),
  };
}

/**
 * Fetching a part takes a hundredth of the time of reading it. The source is
 * an engine that is known to hold more than the chosen one, else the store,
 * which was sent whatever was read and where a miss costs 1 ms.
 */
function planCache(
  call: Call,
  at: {
    readonly server: KnownServer;
    readonly sharedTokens: number;
    readonly holders: readonly Holder[];
    readonly cacheStore: string | undefined;
    readonly context: PlacementContext & { readonly nowMs: number };
  },
): CachePlan {
  const { server, sharedTokens, holders, cacheStore, context } = at;
  const { registry, nowMs } = context;
  const model = call.work?.model;
  if (model === undefined) {
    return { weights: undefined, fetchFrom: undefined, saveTo: undefined };
  }
  const weights = registry.weightsOf(server, model);
  const own = holders.find((holder) => holder.server === server)?.tokens ?? 0;
  const canExport = (other: KnownServer) =>
    other !== server && nowMs >= other.avoidUntilMs &&
    nowMs >= other.loadingUntilMs &&
    registry.weightsOf(other, model) === weights;
  const best = holders.find((holder) =>
    holder.freshTokens > own && canExport(holder.server)
  );
  const isKnown = holders.some(({ tokens }) => tokens >= sharedTokens);
  const isSaved = isKnown && !isSavedAgain(call);
  return {
    weights,
    // The engine may have evicted what it is thought to hold; it fetches only
    // what it lacks.
    fetchFrom: best?.server.listed.address ?? cacheStore,
    saveTo: isSaved ? undefined : cacheStore,
  };
}

/**
 * Sending parts that were sent before fills the store's link, but the store
 * may have dropped them.
 */
function isSavedAgain(call: Call): boolean {
  return rendezvousWeight(call.requestId, "") % SAVED_AGAIN === 0;
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** The parts that other requests may share: all but the last. */
export function sharedParts(call: Call): readonly PromptPart[] {
  return call.work?.prompt.slice(0, -1) ?? [];
}

/** How long newer weights than the server's have been named. */
function staleness(
  call: Call,
  server: KnownServer,
  context: PlacementContext & { readonly nowMs: number },
): { readonly forMs: number; readonly isAgeKnown: boolean } {
  const fresh = { forMs: 0, isAgeKnown: true };
  const model = call.work?.model;
  if (model === undefined) return fresh;
  const weights = context.registry.weightsOf(server, model);
  if (weights === undefined) return fresh;
  const newer = context.namedWeights(model)
    .find((named) => named.weights > weights);
  if (newer === undefined) return fresh;
  const { heardAtMs, isAgeKnown } = newer;
  return { forMs: context.nowMs - heardAtMs, isAgeKnown };
}

/**
 * Leaves out servers whose weights were replaced too long ago. Where it is not
 * known how long ago, servers with newer weights show that it is some time.
 */
function withoutStale(
  call: Call,
  servers: readonly KnownServer[],
  context: PlacementContext & { readonly nowMs: number },
): KnownServer[] {
  const limitMs = context.weightsBoundMs - BEGIN_SLACK_MS;
  const timely = servers.filter((server) => {
    const { forMs } = staleness(call, server, context);
    if (forMs === 0) return true;
    const queueMs = context.registry.prefillAt(server) / PREFILL_TOKENS_PER_MS;
    return forMs + queueMs * QUEUE_FACTOR <= limitMs;
  });
  const current = timely.filter((server) =>
    staleness(call, server, context).isAgeKnown
  );
  return current.length > 0 ? current : timely;
}

function hasRoom(
  call: Call,
  server: KnownServer,
  context: PlacementContext,
): boolean {
  if (server.own.size >= context.maxOwnAt(call.service)) return false;
  const slots = Math.max(1, server.listed.slots);
  return context.registry.runningAt(server) < slots * MAX_FILL;
}

function candidateOf(
  call: Call,
  at: {
    readonly server: KnownServer;
    readonly shared: readonly PromptPart[];
    readonly context: PlacementContext & { readonly nowMs: number };
  },
): Candidate {
  const { server, shared, context } = at;
  const { registry, nowMs } = context;
  const staleMs = staleness(call, server, context).forMs;
  return {
    id: server.listed.id,
    failureDomain: server.listed.failureDomain,
    running: Math.max(
      registry.runningAt(server),
      registry.freshLoad(server, nowMs)?.waiting ?? 0,
    ),
    slots: server.listed.slots,
    prefillTokens: registry.prefillAt(server),
    cachedTokens: holderOf(server, shared, nowMs).tokens,
    failureShare: server.failureShare,
    isAvoided: nowMs < server.avoidUntilMs,
    isLoading: nowMs < server.loadingUntilMs,
    staleWeightsMs: staleMs > STALE_WEIGHTS_AFTER_MS
      ? STALE_WEIGHTS_COST_MS
      : 0,
  };
}

/** A part is of use only when all parts before it are there too. */
function chainTokens(
  server: KnownServer,
  shared: readonly PromptPart[],
  isUsable: (part: PlacedPart) => boolean,
): number {
  let tokens = 0;
  for (const part of shared) {
    const placed = server.parts.get(part.id);
    if (placed === undefined || !isUsable(placed)) break;
    tokens += part.tokens;
  }
  return tokens;
}
