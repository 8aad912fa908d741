/**
 * Gathers what the choice of a server depends on.
 *
 * @module
 */

import { rankByRendezvous } from "@endivebend/routing";
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
  type CachedTokens,
  type SegmentKey,
  segmentKey,
} from "./kept_parts.ts";
import type { WeightsHistory } from "./named_weights.ts";
import type {
  KnownServer,
  ServerRegistry,
  ServerWork,
} from "./server_registry.ts";
import { needsPools } from "./prompt_pools.ts";
import { shedRetryMs } from "./turn_away.ts";
import {
  type CacheScope,
  type PromptSegment,
  type RoutedRequest,
  urgencyOf,
  type WeightsVersion,
} from "./types.ts";

/** What a placement depends on besides the call. */
export interface PlacementContext {
  readonly registry: ServerRegistry;
  readonly failureDomain: FailureDomainId;
  readonly namedWeights: (model: ModelName) => WeightsHistory;
  /** After this time no request may begin on older weights. */
  readonly weightsBoundMs: number;
  /** Connections of this daemon to one server, by service. */
  readonly maxOwnConnections: (service: RoutedRequest["service"]) => number;
  /** Tokens in one event of a service's streams. */
  readonly tokensPerEvent: (service: RoutedRequest["service"]) => number;
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
    /** When the queue will be short enough, if that is what it waits for. */
    readonly retryInMs?: number;
  };

/** How an attempt uses what engines and stores keep of its prompt. */
export interface CachePlan {
  /** Weights that the engine must have; parts are kept by weights. */
  readonly weights: WeightsVersion | undefined;
  /** Only requests of the same scope share parts. */
  readonly scope: CacheScope;
  /** Shared parts that the engine will keep. */
  readonly parts: readonly SegmentKey[];
  /** Prompt tokens that the engine neither keeps nor can fetch. */
  readonly tokensToRead: number;
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
const START_SLACK_MS = 1_500;
/** A queue takes up to this many times the time that its tokens need. */
const QUEUE_FACTOR = 2;
/** Reading fewer tokens is as quick as saving them in a store. */
const MIN_TOKENS_TO_SAVE = 512;
/** A full queue of an engine: as many waiting as running. */
const MAX_LOAD_FACTOR = 2;

type AttemptContext = PlacementContext & {
  readonly exclude: ReadonlySet<BackendServerId>;
  /** Whether part of the answer has reached the caller. */
  readonly hasBegun: boolean;
  readonly nowMs: number;
};

/** What matters of one server to one call. */
interface ServerView {
  readonly server: KnownServer;
  readonly scope: CacheScope;
  readonly kept: CachedTokens;
  /** What all daemons together have there. */
  readonly work: ServerWork;
  /** How long newer weights than the server's have been named. */
  readonly staleForMs: number;
  readonly isStaleAgeKnown: boolean;
}

/**
 * Chooses a server for the next attempt.
 *
 * @example
 * ```ts
 * const placement = placeCall(call, { ...context, exclude, nowMs });
 * ```
 */
export function placeRequest(
  request: RoutedRequest,
  context: AttemptContext,
): Placement {
  const { registry, exclude, nowMs } = context;
  const views = registry.usable(request.service, nowMs)
    .filter(({ listed }) => !exclude.has(listed.id))
    .map((server) => describeServer(request, { server, context }));
  if (views.length === 0) return { kind: "refused", reason: "no_server" };
  const current = excludeStale(views, context.weightsBoundMs);
  if (current.length === 0) return { kind: "refused", reason: "stale_weights" };
  const maxOwnConnections = context.maxOwnConnections(request.service);
  const available = current.filter((view) =>
    hasCapacity(view, maxOwnConnections)
  );
  if (available.length === 0) return { kind: "refused", reason: "overloaded" };
  const sharedTokens = sumTokens(sharedSegments(request));
  const choice = chooseServer({
    promptTokens: request.work?.promptTokens,
    sharedTokens,
    fetchableTokens: Math.max(0, ...available.map(({ kept }) => kept.read)),
    affinityKey: sharedSegments(request).at(-1)?.id ?? request.requestId,
    failureDomain: context.failureDomain,
    usesPools: needsPools({
      tokensPerEvent: context.tokensPerEvent(request.service),
      maxGapMs: request.route.maxGapMs,
    }),
  }, available.map((view) => candidateOf(view, context)));
  const view = available.find(({ server }) => server.listed.id === choice?.id);
  if (choice === undefined || view === undefined) {
    return { kind: "refused", reason: "no_server" };
  }
  const cache = planCache(request, { view, all: available, context });
  const retryInMs = request.work && shedRetryMs({
    tokensAhead: view.work.prefillTokens,
    tokensToRead: cache.tokensToRead,
    targetMs: request.route.targetMs,
    urgency: urgencyOf(request),
    hasBegun: context.hasBegun || request.resumeAfter !== undefined,
  });
  if (retryInMs !== undefined) {
    return { kind: "refused", reason: "overloaded", retryInMs: retryInMs };
  }
  return { kind: "placed", server: view.server, choice, cache };
}

function describeServer(
  request: RoutedRequest,
  at: { readonly server: KnownServer; readonly context: AttemptContext },
): ServerView {
  const { server, context } = at;
  const { nowMs } = context;
  const scope = scopeAt(request, server, context);
  const kept = server.parts.countLeadingTokens(sharedSegments(request), {
    scope,
    nowMs,
  });
  const newer = newerWeights(request, server, context);
  return {
    server,
    scope,
    kept,
    work: context.registry.workAt(server),
    staleForMs: newer === undefined ? 0 : nowMs - newer.firstSeenAtMs,
    isStaleAgeKnown: newer?.isAgeKnown ?? true,
  };
}

/** Parts are shared by weights, and by team where the team is isolated. */
function scopeAt(
  request: RoutedRequest,
  server: KnownServer,
  { registry }: PlacementContext,
): CacheScope {
  const model = request.work?.model;
  const weights = model && registry.weightsOf(server, model);
  const team = request.team?.isIsolated ? request.team.id : "";
  return `${weights ?? "any"}/${team}` as CacheScope;
}

/** The first weights named after those that the server has. */
function newerWeights(
  request: RoutedRequest,
  server: KnownServer,
  { registry, namedWeights }: PlacementContext,
) {
  const model = request.work?.model;
  const weights = model && registry.weightsOf(server, model);
  if (model === undefined || weights === undefined) return undefined;
  return namedWeights(model).find((named) => named.weights > weights);
}

/**
 * Fetching a part from another engine takes a hundredth of the time of reading
 * it, from the store a third; a miss costs 1 ms. So a source is always named:
 * the engine that keeps most, else the store.
 */
function planCache(
  request: RoutedRequest,
  at: {
    readonly view: ServerView;
    readonly all: readonly ServerView[];
    readonly context: AttemptContext;
  },
): CachePlan {
  const { view, all, context } = at;
  const { scope, kept } = view;
  const promptTokens = request.work?.promptTokens ?? 0;
  const noTransfer = { fetchFrom: undefined, saveTo: undefined };
  if (request.work === undefined) {
    return {
      weights: undefined,
      scope,
      parts: [],
      tokensToRead: 0,
      ...noTransfer,
    };
  }
  const segments = sharedSegments(request);
  const store = selectStore(segments, context);
  const stored = store === undefined
    ? undefined
    : context.registry.storeSegments(store)
      .countLeadingTokens(segments, { scope, nowMs: context.nowMs });
  const source = selectSource(view, all, context);
  const storedTokens = stored?.fetchable ?? 0;
  const sourceTokens = source?.kept.fetchable ?? 0;
  const prefersStore = source === undefined || storedTokens > sourceTokens;
  const sharedTokens = sumTokens(segments);
  const isSaved = stored !== undefined && stored.expected >= sharedTokens;
  const availableTokens = Math.max(kept.expected, sourceTokens, storedTokens);
  return {
    weights: context.registry.weightsOf(view.server, request.work.model),
    scope,
    parts: segments.map(({ id }) => segmentKey(scope, id)),
    tokensToRead: Math.max(0, promptTokens - availableTokens),
    // The engine may have evicted what it is thought to keep.
    fetchFrom: prefersStore ? store : source.server.listed.address,
    saveTo: isSaved || sharedTokens < MIN_TOKENS_TO_SAVE ? undefined : store,
  };
}

/** Each store keeps the prompts of its own share of the last shared parts. */
function selectStore(
  segments: readonly PromptSegment[],
  { cacheStores }: PlacementContext,
): string | undefined {
  return rankByRendezvous(segments.at(-1)?.id ?? "", cacheStores())[0];
}

/** The other engine that surely keeps most, if it keeps enough. */
function selectSource(
  view: ServerView,
  all: readonly ServerView[],
  { nowMs }: AttemptContext,
): ServerView | undefined {
  let best: ServerView | undefined;
  for (const other of all) {
    const { server, scope, kept } = other;
    const canExport = other !== view && scope === view.scope &&
      nowMs >= server.avoidUntilMs && nowMs >= server.loadingUntilMs;
    const isEnough = kept.fetchable > 0 &&
      kept.fetchable >= view.kept.expected;
    if (!canExport || !isEnough) continue;
    if (kept.fetchable > (best?.kept.fetchable ?? 0)) best = other;
  }
  return best;
}

function sumTokens(parts: readonly PromptSegment[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** The parts that other requests may share: all but the last. */
function sharedSegments(request: RoutedRequest): readonly PromptSegment[] {
  return request.work?.prompt.slice(0, -1) ?? [];
}

/**
 * Leaves out servers whose weights were replaced too long ago. Where it is not
 * known how long ago, servers with newer weights show that it is some time.
 */
function excludeStale(
  views: readonly ServerView[],
  weightsBoundMs: number,
): ServerView[] {
  const limitMs = weightsBoundMs - START_SLACK_MS;
  const timely = views.filter(({ work, staleForMs }) => {
    if (staleForMs === 0) return true;
    const queueMs = work.prefillTokens / PREFILL_TOKENS_PER_MS;
    return staleForMs + queueMs * QUEUE_FACTOR <= limitMs;
  });
  const current = timely.filter(({ isStaleAgeKnown }) => isStaleAgeKnown);
  return current.length > 0 ? current : timely;
}

function hasCapacity(
  { server, work }: ServerView,
  maxOwnConnections: number,
): boolean {
  if (server.ownWork.size >= maxOwnConnections) return false;
  const slots = Math.max(1, server.listed.slots);
  return work.running < slots * MAX_LOAD_FACTOR;
}

function candidateOf(
  { server, kept, work, staleForMs }: ServerView,
  { registry, nowMs }: AttemptContext,
): Candidate {
  return {
    id: server.listed.id,
    failureDomain: server.listed.failureDomain,
    running: Math.max(
      work.running,
      registry.freshLoad(server, nowMs)?.waiting ?? 0,
    ),
    slots: server.listed.slots,
    prefillTokens: work.prefillTokens,
    cachedTokens: kept.expected,
    failureRate: server.failureRate,
    isAvoided: nowMs < server.avoidUntilMs,
    isLoading: nowMs < server.loadingUntilMs,
    staleWeightsCostMs: staleForMs > STALE_WEIGHTS_AFTER_MS
      ? STALE_WEIGHTS_COST_MS
      : 0,
  };
}
