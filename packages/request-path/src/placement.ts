/**
 * Places an attempt: collects the state of the servers, chooses one, and plans
 * how the attempt uses prefix caches.
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
  type ScoreListener,
} from "./choose_server.ts";
import {
  type CachedTokens,
  type SegmentKey,
  segmentKey,
} from "./cached_segments.ts";
import { firstNewer, type WeightsHistory } from "./named_weights.ts";
import type { ServerAllowances } from "./server_allowances.ts";
import type {
  KnownServer,
  ServerRegistry,
  ServerWork,
} from "./server_registry.ts";
import { hasOtherProcess } from "./process_check.ts";
import type { VersionChoice, VersionNeed } from "./version_choice.ts";
import type { WeightsProbes } from "./weights_probes.ts";
import { needsPools, poolOf } from "./prompt_pools.ts";
import type { SlotAdmission } from "./slot_admission.ts";
import type { SlotRank } from "./slot_rules.ts";
import { shedRetryMs } from "./load_shedding.ts";
import {
  MAX_LOAD_FACTOR,
  type PaceLookup,
  type ServerPace,
  usualPace,
} from "./server_pace.ts";
import {
  type CacheScope,
  type PromptSegment,
  type RoutedRequest,
  type SoftwareVersion,
  urgencyOf,
  type WeightsVersion,
} from "./types.ts";

/** What a placement depends on besides the request. */
export interface PlacementContext {
  /** Absent where both versions serve alike. */
  readonly versions?: VersionChoice | undefined;
  readonly registry: ServerRegistry;
  readonly allowances: ServerAllowances;
  readonly failureDomain: FailureDomainId;
  readonly namedWeights: (model: ModelName) => WeightsHistory;
  /** Time after naming newer weights when requests may not start on older. */
  readonly weightsBoundMs: number;
  /** Most connections of this daemon to one server of the service. */
  readonly maxOwnConnections: (service: RoutedRequest["service"]) => number;
  /** Tokens per event of the service's streams. */
  readonly tokensPerEvent: (service: RoutedRequest["service"]) => number;
  /** Addresses of the configured cache stores. */
  readonly cacheStores: () => readonly string[];
  /** The pace of servers; without it all have the usual one. */
  readonly pace?: PaceLookup | undefined;
  /** Divides scarce slots; without it, a full engine's queue is the bound. */
  readonly slots?: Pick<SlotAdmission, "select" | "noteSent" | "noteRejected">;
  /** Undefined where the service's slots are not divided. */
  readonly slotRank?: (request: RoutedRequest) => SlotRank | undefined;
  /** Cost of sending requests to another domain; none without it. */
  readonly balance?:
    | { costMs(server: KnownServer, nowMs: number): number }
    | undefined;
}

/** The server chosen for an attempt, or why there is none. */
export type Placement =
  | {
    readonly kind: "placed";
    readonly server: KnownServer;
    readonly choice: Choice;
    readonly cache: CachePlan;
    readonly pace?: ServerPace;
    /** Set when the engine is believed to have weights that are too old. */
    readonly isProbe?: boolean;
  }
  | {
    readonly kind: "refused";
    readonly reason: "no_server" | "overloaded" | "limited" | "stale_weights";
    /**
     * Milliseconds until the queue is short enough for a shed prompt, or until
     * a server with a limit or one that asked for quiet takes another request.
     */
    readonly retryInMs?: number;
  };

/** How an attempt uses the prefix caches of engines and stores. */
export interface CachePlan {
  /** Weights that the engine must have; cached segments depend on them. */
  readonly weights: WeightsVersion | undefined;
  /** Only requests of the same scope share segments. */
  readonly scope: CacheScope;
  /** Shared segments that the engine will have cached. */
  readonly parts: readonly SegmentKey[];
  /** Prompt tokens that the engine neither has cached nor can fetch. */
  readonly tokensToRead: number;
  /** Address from which the engine fetches shared segments that it lacks. */
  readonly fetchFrom: string | undefined;
  /** Address to which the engine saves the shared segments it prefills. */
  readonly saveTo: string | undefined;
}

/** Answers lose value from 1,500 ms after newer weights have been named. */
const STALE_WEIGHTS_AFTER_MS = 1_200;
/** The wait that weighs as much as a fifth of an answer's value. */
const STALE_WEIGHTS_COST_MS = 400;
/** Longest time until a request that is sent to an idle engine starts. */
const START_SLACK_MS = 1_500;
/** A queue takes up to this multiple of the prefill time of its tokens. */
const QUEUE_FACTOR = 2;
/** Prefilling fewer tokens is as fast as saving them in a store. */
const MIN_TOKENS_TO_SAVE = 512;

/** Callers refused for want of a slot come back after this part of the target. */
const SLOT_RETRY_SHARE = 0.4;
const MIN_SLOT_RETRY_MS = 100;

/** Callers' ids may have thousands of characters. */
const MAX_SCOPE_ID_LENGTH = 64;

/** A server that has named no limit for this long may take more by now. */
const LIMIT_RECHECK_MS = 2_000;
/** Another daemon may have a server for the caller by then. */
const MAX_LIMITED_RETRY_MS = 2_000;

/** What leaves servers out of a placement, in the order of the steps. */
export type PlacementStep =
  | "listed"
  | "version"
  | "weights"
  | "room"
  | "slots"
  | "quiet"
  | "limit";

/** Told of the steps of a placement, to explain it. */
export interface PlacementTrace {
  /** The servers that a step has left. */
  left(step: PlacementStep, servers: readonly KnownServer[]): void;
  readonly scored: ScoreListener;
}

type AttemptContext = PlacementContext & {
  readonly exclude: ReadonlySet<BackendServerId>;
  /** Whether part of the answer has reached the caller. */
  readonly hasBegun: boolean;
  /**
   * Only servers of this software version may run the request. Without one any
   * server may, unless the answer has begun: then its version is unknown, and
   * no server may go on with it.
   */
  readonly softwareVersion?: SoftwareVersion | undefined;
  readonly trace?: PlacementTrace | undefined;
  readonly nowMs: number;
};

/** The state of one server that matters to one request. */
interface ServerView {
  readonly server: KnownServer;
  readonly scope: CacheScope;
  readonly kept: CachedTokens;
  /** Work that all daemons together have there. */
  readonly work: ServerWork;
  /** Time since weights newer than the server's were named; 0 for none. */
  readonly staleForMs: number;
  readonly isStaleAgeKnown: boolean;
  readonly pace: ServerPace;
}

/**
 * Chooses a server for the next attempt.
 *
 * @example
 * ```ts
 * const placement = placeRequest(request, { ...context, exclude, nowMs });
 * ```
 */
export function placeRequest(
  request: RoutedRequest,
  context: AttemptContext,
): Placement {
  const placement = placeAtVersion(request, context);
  if (placement.kind === "placed") return placement;
  const need = versionNeedOf(context);
  return context.versions?.fallsBack(request, placement.reason, need) === true
    ? placeAtVersion(request, context)
    : placement;
}

function placeAtVersion(
  request: RoutedRequest,
  context: AttemptContext,
): Placement {
  const { registry, exclude, nowMs, trace } = context;
  const usable = registry.usable(request.service, nowMs);
  trace?.left("listed", usable);
  const views = usable.filter(({ listed }) => !exclude.has(listed.id))
    .filter((server) => mayRunAt(server, request, context))
    .map((server) => describeServer(request, { server, context }));
  traceLeft("version", views, trace);
  if (views.length === 0) return { kind: "refused", reason: "no_server" };
  const current = excludeStale(views, context.weightsBoundMs);
  traceLeft("weights", current, trace);
  if (current.length === 0) return { kind: "refused", reason: "stale_weights" };
  const maxOwnConnections = context.maxOwnConnections(request.service);
  const withRoom = current.filter(({ server, work }) =>
    hasCapacity(server, work, maxOwnConnections)
  );
  traceLeft("room", withRoom, trace);
  if (withRoom.length === 0) return { kind: "refused", reason: "overloaded" };
  const admitted = admitToSlots(request, withRoom, context);
  traceLeft("slots", admitted, trace);
  if (admitted.length === 0) {
    const retryInMs = slotRetryMs(request);
    return { kind: "refused", reason: "overloaded", retryInMs };
  }
  const asking = admitted.filter(({ server }) => nowMs >= server.quietUntilMs);
  traceLeft("quiet", asking, trace);
  if (asking.length === 0) {
    const untilMs = admitted.map(({ server }) => server.quietUntilMs);
    const retryInMs = Math.min(...untilMs) - nowMs;
    return { kind: "refused", reason: "overloaded", retryInMs };
  }
  const available = excludeLimited(asking, context);
  traceLeft("limit", available, trace);
  if (available.length === 0) {
    const retryInMs = untilAllowedMs(asking, context);
    return { kind: "refused", reason: "limited", retryInMs };
  }
  return placeAt(request, available, context);
}

/**
 * Chooses among servers that may all have the request. Where the choice would
 * be shed, all servers are asked and places of a slow start don't count: a few
 * may be full while others are free, and a slow start refuses nothing.
 */
function placeAt(
  request: RoutedRequest,
  available: readonly ServerView[],
  context: AttemptContext,
): Placement {
  const candidates = available.map((view) =>
    candidateOf(view, { request, context })
  );
  const isInUse = context.pace?.isInUse(request.service) ?? false;
  const spreadKey = isInUse ? request.requestId : undefined;
  const views = { available, context };
  const placement = placeAtBest(request, { ...views, candidates, spreadKey });
  if (placement.kind === "placed" || !isInUse) return placement;
  const started = candidates.map((candidate) => ({
    ...candidate,
    ...(candidate.pace && { pace: { ...candidate.pace, startingExcess: 0 } }),
  }));
  return placeAtBest(request, {
    ...views,
    candidates: started,
    spreadKey: undefined,
  });
}

function placeAtBest(
  request: RoutedRequest,
  { available, candidates, context, spreadKey }: {
    readonly available: readonly ServerView[];
    readonly candidates: readonly Candidate[];
    readonly context: AttemptContext;
    readonly spreadKey: string | undefined;
  },
): Placement {
  const sharedTokens = sumTokens(sharedSegments(request));
  const choice = chooseServer(
    {
      promptTokens: request.work?.promptTokens,
      sharedTokens,
      fetchableTokens: Math.max(0, ...available.map(({ kept }) => kept.read)),
      affinityKey: sharedSegments(request).at(-1)?.id ?? request.requestId,
      failureDomain: context.failureDomain,
      usesPools: needsPools({
        tokensPerEvent: context.tokensPerEvent(request.service),
        maxGapMs: request.route.maxGapMs,
      }),
      spreadKey,
    },
    candidates,
    {
      scored: context.trace?.scored,
    },
  );
  const view = available.find(({ server }) => server.listed.id === choice?.id);
  if (choice === undefined || view === undefined) {
    return { kind: "refused", reason: "no_server" };
  }
  const cache = planCache(request, { view, all: available, context });
  const { pace } = view;
  const retryInMs = request.work && shedRetryMs({
    tokensAhead: view.work.prefillTokens,
    tokensToRead: cache.tokensToRead,
    targetMs: request.route.targetMs,
    urgency: urgencyOf(request),
    hasBegun: context.hasBegun || request.resumeAfter !== undefined,
    tokensPerMs: pace.queueTokensPerMs,
  });
  if (retryInMs !== undefined) {
    return { kind: "refused", reason: "overloaded", retryInMs };
  }
  return { kind: "placed", server: view.server, choice, cache, pace };
}

/**
 * Places a request at an engine that is believed to have weights that are too
 * old, with the newest expected: where the belief is right, the engine refuses
 * the request and does not run it. Undefined when no engine may be probed now.
 *
 * @example
 * ```ts
 * const probe = placeProbe(request, { ...context, exclude, nowMs });
 * ```
 */
export function placeProbe(
  request: RoutedRequest,
  context: AttemptContext & { readonly weightsProbes: WeightsProbes },
): Placement & { readonly kind: "placed" } | undefined {
  const { registry, allowances, exclude, weightsProbes, nowMs } = context;
  const { work, requestId, service } = request;
  const newest = work && context.namedWeights(work.model).at(-1)?.weights;
  if (work === undefined || newest === undefined) return undefined;
  const maxOwnConnections = context.maxOwnConnections(service);
  const candidates = registry.usable(service, nowMs).filter((server) => {
    const believed = registry.weightsOf(server, work.model);
    const mayProbe = believed !== undefined && believed < newest &&
      !exclude.has(server.listed.id) && mayRunAt(server, request, context) &&
      nowMs >= server.loadingUntilMs &&
      !registry.isAvoided(server, nowMs) && nowMs >= server.quietUntilMs;
    return mayProbe && allowances.waitMs(server, nowMs) === 0 &&
      hasCapacity(server, registry.workAt(server), maxOwnConnections);
  });
  const id = weightsProbes.choose(
    candidates.map(({ listed }) => listed.id),
    { key: requestId, nowMs },
  );
  const server = candidates.find(({ listed }) => listed.id === id);
  if (server === undefined) return undefined;
  return {
    kind: "placed",
    server,
    choice: {
      id: server.listed.id,
      scoreMs: 0,
      waitMs: 0,
      cachedTokens: 0,
      candidateCount: candidates.length,
    },
    cache: {
      weights: newest,
      scope: sharedScope(request, newest),
      parts: [],
      tokensToRead: work.promptTokens,
      fetchFrom: undefined,
      saveTo: undefined,
    },
    isProbe: true,
  };
}

/** A request goes on if a version has begun its stream; a trace sends nothing. */
function versionNeedOf(
  { hasBegun, softwareVersion, trace }: AttemptContext,
): VersionNeed {
  const goesOn = hasBegun || softwareVersion !== undefined;
  return { goesOn, ...(trace === undefined ? {} : { isTrial: true }) };
}

function mayRunAt(
  server: KnownServer,
  request: RoutedRequest,
  context: AttemptContext,
): boolean {
  if (!isOfVersion(server, context)) return false;
  const { versions } = context;
  return versions === undefined ||
    versions.allows(server, request, versionNeedOf(context));
}

function traceLeft(
  step: PlacementStep,
  views: readonly ServerView[],
  trace: PlacementTrace | undefined,
): void {
  trace?.left(step, views.map(({ server }) => server));
}

function isOfVersion(
  server: KnownServer,
  { hasBegun, softwareVersion }: AttemptContext,
): boolean {
  if (softwareVersion === undefined) return !hasBegun;
  return server.listed.softwareVersion === softwareVersion &&
    !hasOtherProcess(server);
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
    pace: context.pace?.of(server, nowMs) ?? usualPace(server.listed),
  };
}

/**
 * Segments are shared by weights, and by team where the team is isolated. Where
 * the weights are unknown, the request shares none.
 */
function scopeAt(
  request: RoutedRequest,
  server: KnownServer,
  { registry }: PlacementContext,
): CacheScope {
  const model = request.work?.model;
  const weights = model && registry.weightsOf(server, model);
  return weights === undefined
    ? privateScope(request)
    : sharedScope(request, weights);
}

function sharedScope(
  { team }: RoutedRequest,
  weights: WeightsVersion,
): CacheScope {
  const teamId = team?.isIsolated ? team.id : "";
  return `${weights}/${teamId}` as CacheScope;
}

/** Callers choose request ids; the digest tells requests of teams apart. */
function privateScope({ requestId, digest }: RoutedRequest): CacheScope {
  const id = requestId.slice(0, MAX_SCOPE_ID_LENGTH);
  return `private/${digest}/${id}` as CacheScope;
}

/** The first version that was named after the server's. */
function newerWeights(
  request: RoutedRequest,
  server: KnownServer,
  { registry, namedWeights }: PlacementContext,
) {
  const model = request.work?.model;
  const weights = model && registry.weightsOf(server, model);
  if (model === undefined || weights === undefined) return undefined;
  return firstNewer(namedWeights(model), weights);
}

/**
 * Plans the use of prefix caches. Fetching a segment from another engine takes
 * a hundredth of the time of prefilling it, from a store a third; a miss costs
 * 1 ms. So the plan names a source wherever there is one: the engine or the
 * store, whichever has more cached.
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
  const model = request.work?.model;
  const weights = model && context.registry.weightsOf(view.server, model);
  if (weights === undefined) {
    return {
      weights,
      scope,
      parts: [],
      tokensToRead: promptTokens,
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
    weights,
    scope,
    parts: segments.map(({ id }) => segmentKey(scope, id)),
    tokensToRead: Math.max(0, promptTokens - availableTokens),
    // Set also when the engine should have all, as it may have evicted some.
    fetchFrom: prefersStore ? store : source.server.listed.address,
    saveTo: isSaved || sharedTokens < MIN_TOKENS_TO_SAVE ? undefined : store,
  };
}

/** The store that owns the prompt's last shared segment, by its id. */
function selectStore(
  segments: readonly PromptSegment[],
  { cacheStores }: PlacementContext,
): string | undefined {
  return rankByRendezvous(segments.at(-1)?.id ?? "", cacheStores())[0];
}

/** The other engine with most fetchable tokens, if it has enough. */
function selectSource(
  view: ServerView,
  all: readonly ServerView[],
  { nowMs, registry }: AttemptContext,
): ServerView | undefined {
  let best: ServerView | undefined;
  for (const other of all) {
    const { server, scope, kept } = other;
    const canExport = other !== view && scope === view.scope &&
      !registry.isAvoided(server, nowMs) && nowMs >= server.loadingUntilMs;
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

/**
 * The servers at which scarce slots are left to the request. What has begun, or
 * goes on, is never refused for want of a slot.
 */
function admitToSlots(
  request: RoutedRequest,
  views: readonly ServerView[],
  { slots, slotRank, hasBegun, nowMs }: AttemptContext,
): readonly ServerView[] {
  const rank = slotRank?.(request);
  const isNew = !hasBegun && request.resumeAfter === undefined;
  if (slots === undefined || rank === undefined || !isNew) return views;
  const isShort = poolOf(request.work?.promptTokens ?? 0) === "short";
  const urgency = urgencyOf(request);
  return slots.select({ rank, urgency, isShort }, views, nowMs);
}

/** Slots become free all the time; a caller can still be in time by then. */
function slotRetryMs({ route }: RoutedRequest): number {
  return Math.max(MIN_SLOT_RETRY_MS, route.targetMs * SLOT_RETRY_SHARE);
}

/** The segments that other requests may share: all but the last. */
function sharedSegments(request: RoutedRequest): readonly PromptSegment[] {
  return request.work?.prompt.slice(0, -1) ?? [];
}

/**
 * Leaves out servers whose weights were replaced too long ago. Servers whose
 * weights were replaced at an unknown time are used only if there are no
 * others: newer weights elsewhere show that it was some time ago.
 */
function excludeStale(
  views: readonly ServerView[],
  weightsBoundMs: number,
): ServerView[] {
  const limitMs = weightsBoundMs - START_SLACK_MS;
  const timely = views.filter(({ work, staleForMs, pace }) => {
    if (staleForMs === 0) return true;
    const queueMs = work.prefillTokens / pace.tokensPerMs;
    return staleForMs + queueMs * QUEUE_FACTOR <= limitMs;
  });
  const current = timely.filter(({ isStaleAgeKnown }) => isStaleAgeKnown);
  return current.length > 0 ? current : timely;
}

/**
 * Leaves out servers with a limit that take no further request of this daemon
 * now. A stream that has begun may be ahead of time at one of them rather than
 * break off; the next request waits for longer instead.
 */
function excludeLimited(
  views: readonly ServerView[],
  { allowances, hasBegun, nowMs }: AttemptContext,
): readonly ServerView[] {
  const allowed = views.filter(({ server }) =>
    allowances.waitMs(server, nowMs) === 0
  );
  if (allowed.length > 0 || !hasBegun) return allowed;
  return views.filter(({ server }) => allowances.mayAdvance(server, nowMs));
}

function untilAllowedMs(
  views: readonly ServerView[],
  { allowances, nowMs }: AttemptContext,
): number {
  const waitsMs = views.map(({ server }) => allowances.waitMs(server, nowMs));
  return Math.min(MAX_LIMITED_RETRY_MS, ...waitsMs);
}

function hasCapacity(
  server: KnownServer,
  work: ServerWork,
  maxOwnConnections: number,
): boolean {
  if (server.ownWork.size >= maxOwnConnections) return false;
  const slots = Math.max(1, server.listed.slots);
  return work.running < slots * MAX_LOAD_FACTOR;
}

function candidateOf(
  { server, kept, work, staleForMs, pace }: ServerView,
  { request, context }: {
    readonly request: RoutedRequest;
    readonly context: AttemptContext;
  },
): Candidate {
  const { registry, allowances, nowMs } = context;
  // Plain calls stay in their domain by themselves, and have few bytes.
  const balance = request.work && context.balance;
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
    isAvoided: registry.isAvoided(server, nowMs),
    isLoading: nowMs < server.loadingUntilMs,
    staleWeightsCostMs: staleForMs > STALE_WEIGHTS_AFTER_MS
      ? STALE_WEIGHTS_COST_MS
      : 0,
    scarcity: nowMs - server.limitAsOfMs < LIMIT_RECHECK_MS
      ? allowances.scarcity(server, nowMs)
      : 0,
    pace: {
      tokensPerMs: pace.tokensPerMs,
      callMs: pace.callMs(request.route.name),
      startingExcess: Math.max(
        0,
        work.running + 1 - pace.maxRunning,
        server.ownWork.size + 1 - pace.maxOwnRunning,
      ),
    },
    balanceMs: balance?.costMs(server, nowMs) ?? 0,
  };
}
