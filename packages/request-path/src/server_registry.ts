/**
 * The state of each backend server as this daemon knows it, from its entry in
 * the platform's list, from its answers, and from gossip. This is the only
 * place that reconciles these sources.
 *
 * @module
 */

import type {
  BackendServerId,
  Branded,
  ModelName,
  RequestId,
  ServiceName,
} from "@endivebend/types";
import type { ServerLoad } from "./ports.ts";
import {
  type CacheChange,
  CachedSegments,
  type SegmentKey,
} from "./cached_segments.ts";
import type { StatedProcess } from "./process_check.ts";
import { RecentPlacements } from "./recent_placements.ts";
import { SharedSegmentIds } from "./shared_segment_ids.ts";
import { ServerWeights, type WeightsRefusal } from "./server_weights.ts";
import type { ListedServer, WeightsVersion } from "./types.ts";

/**
 * How long a server stays usable after its entry lapsed in a store outage, if
 * its service has no listed server. Such entries come back within 2,000 ms, and
 * the shortest limit on the use of leaving servers is 2,000 ms.
 */
const REMOVED_USE_MS = 1_500;
/** Time for which a server is avoided after a failure; doubles each time. */
const FIRST_AVOIDANCE_MS = 500;
/** Upper bound, as an engine that restarts is back within seconds. */
const MAX_AVOIDANCE_MS = 4_000;
/** A server that a peer suspects is avoided until the next gossip message. */
const MIN_SUSPICION_MS = 600;
/** In a large fleet the next message takes longer and may be lost. */
const SUSPICION_ROUNDS = 1.5;
/**
 * A silent server stays avoided while the daemon that watches its cache hears
 * nothing either: a poll takes 1,400 ms, and gossip brings its result later.
 */
const WATCH_SILENCE_MS = 2_400;
/** A server that was silent may be tried again after this time at last. */
const MAX_DARK_MS = 15_000;
/** A server that sent data this recently is not taken as silent. */
const RECENTLY_RECEIVED_MS = 300;
/** A server counts as heard if it sent data this recently. */
const HEARD_MS = 2_000;
/** Weight of the newest outcome in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** An older reported load is ignored; reports lag by about 200 ms. */
const LOAD_TTL_MS = 1_000;

/**
 * Peers are told of a limit for this long after an answer that named it. A
 * daemon gets at least one in 16 s from a server that it sends to.
 */
const SEEN_LIMIT_TTL_MS = 30_000;

/** Incarnations whose leaving is remembered; a fleet has some 1,000 servers. */
const MAX_LEAVING = 4_000;

/** Work of one of this daemon's requests at a server. */
interface OwnWork {
  /** Tokens that the engine has to prefill before the first event. */
  prefillTokens: number;
}

/** The prefix cache of an engine, by its id, or of a store, by its address. */
export type PrefixCacheId =
  | BackendServerId
  | Branded<string, "CacheStoreAddress">;

/** Work at a server. */
export interface ServerWork {
  readonly running: number;
  /** Prompt tokens that the engine has to prefill before a new request. */
  readonly prefillTokens: number;
}

/** The known state of one server. */
export interface KnownServer {
  listed: ListedServer;
  /** Work of this daemon, by request. */
  readonly ownWork: Map<RequestId, OwnWork>;
  /** Prompt segments in its prefix cache. */
  readonly parts: CachedSegments;
  readonly weights: ServerWeights;
  removedAtMs: number | undefined;
  /** Whether the removed entry may have lapsed in an outage of the store. */
  mayBeBack: boolean;
  avoidUntilMs: number;
  /** Until when this daemon itself regards the server as silent. */
  silentUntilMs: number;
  failureStreak: number;
  /** Share of recent requests that failed there, 0 to 1. */
  failureRate: number;
  /** When any byte last came from the server. */
  lastReceivedMs: number;
  /** When this daemon or a peer last found the server silent. */
  silentAtMs: number;
  /** When the daemon that watches its cache last heard from it. */
  watchedAtMs: number;
  load: ServerLoad | undefined;
  loadAtMs: number;
  /** Until when it wants nothing from this daemon. */
  quietUntilMs: number;
  /** Until when the server is expected to be loading weights. */
  loadingUntilMs: number;
  /** The limit that its newest answer names. */
  limit: ServerLimit | undefined;
  /** What its process last stated of its start, and when. */
  stated: (StatedProcess & { readonly atMs: number }) | undefined;
  /** When an answer last named the limit, or first named none. */
  limitAsOfMs: number;
  /** When this daemon itself last saw it name a limit, or end one. */
  ownLimitAsOfMs: number;
}

/** What a server names in its answers about the load that it bears. */
export interface ServerLimit {
  /** Requests a second that it takes from all daemons together. */
  readonly perS?: number | undefined;
  /**
   * Requests a second that it can turn away; with more it falls over. A server
   * that names none bears any number.
   */
  readonly bearsPerS?: number | undefined;
}

/** Weights that a server says that it has. */
export interface StatedWeights {
  readonly model: ModelName;
  readonly weights: WeightsVersion;
  readonly nowMs: number;
}

/** What taught a daemon that a server has other weights than it believed. */
export type WeightsSource =
  /** The server's entry in the list. */
  | "entry"
  /** A daemon that the server has reported to. */
  | "peer"
  /** The version that an answer to this daemon states. */
  | "answer"
  /** An answer that states none, but refuses the version. */
  | "refusal"
  /** Nothing: what was learned earlier has lapsed unconfirmed. */
  | "lapse";

/** A change of the weights that a server is believed to have. */
export interface WeightsChange {
  readonly server: BackendServerId;
  readonly model: ModelName;
  readonly by: WeightsSource;
  readonly before: WeightsVersion | undefined;
  readonly after: WeightsVersion | undefined;
}

/** Settings of a {@link ServerRegistry}. */
export interface ServerRegistryOptions {
  /**
   * The Unix time at 0 of the steady clock. It stays what it was at the start
   * of the daemon, whatever steps the wall clock makes.
   */
  readonly wallOffsetMs?: number;
  readonly weightsChanged?: (change: WeightsChange) => void;
}

/** What this daemon has seen of a server's limit, for its peers. */
export interface SeenLimit extends ServerLimit {
  readonly id: BackendServerId;
  readonly atMs: number;
}

/** The known state of all backend servers. */
export class ServerRegistry {
  readonly #servers = new Map<BackendServerId, KnownServer>();
  readonly #stores = new Map<PrefixCacheId, CachedSegments>();
  /** Segments that this daemon has recently placed, for gossip. */
  readonly recentPlacements = new RecentPlacements();
  /** Segments that several requests have in common. */
  readonly sharedSegments = new SharedSegmentIds();
  #peerWork: (id: BackendServerId) => ServerWork = () => ({
    running: 0,
    prefillTokens: 0,
  });

  /**
   * Servers that said that they leave, with the start, in Unix milliseconds, up
   * to which it holds for their processes. The list may name another process
   * than the one that answered: a former one, or a later one by and by.
   */
  readonly #leavingUntilStartMs = new Map<BackendServerId, number>();
  readonly #wallOffsetMs: number;
  readonly #weightsChanged: (change: WeightsChange) => void;

  constructor(
    { wallOffsetMs = 0, weightsChanged = () => {} }: ServerRegistryOptions = {},
  ) {
    this.#wallOffsetMs = wallOffsetMs;
    this.#weightsChanged = weightsChanged;
  }

  /** Sets the function that looks up the work of other daemons. */
  setPeerWorkLookup(lookUp: (id: BackendServerId) => ServerWork): void {
    this.#peerWork = lookUp;
  }

  /**
   * Adds or updates an entry of the list, read at `nowMs`. Returns the change,
   * for the log.
   */
  upsert(
    listed: ListedServer,
    nowMs = 0,
  ): "new" | "reborn" | "changed" | "same" {
    const { id, isLeaving, startedAtMs } = listed;
    // A process that leaves doesn't come back, whatever is listed later. A start
    // of 0 is unknown and may be that of several processes.
    if (isLeaving && startedAtMs > 0) this.recordLeaving(id, startedAtMs);
    const known = this.#servers.get(listed.id);
    if (known === undefined) {
      this.#servers.set(listed.id, newServer(listed));
      return "new";
    }
    if (
      known.listed.startedAtMs !== listed.startedAtMs ||
      known.listed.address !== listed.address
    ) {
      this.#servers.set(listed.id, newServer(listed));
      return "reborn";
    }
    const isSame = known.listed.isLeaving === listed.isLeaving &&
      known.removedAtMs === undefined;
    known.listed = listed;
    for (
      const { isLapse, ...update } of known.weights.list(listed.weights, nowMs)
    ) {
      const by = isLapse ? "lapse" : "entry";
      this.#weightsChanged({ server: id, by, ...update });
    }
    known.removedAtMs = undefined;
    return isSame ? "same" : "changed";
  }

  /**
   * Records that the entry has been removed from the list. It may be back soon
   * when it has lapsed in an outage of the store; otherwise the server is gone.
   */
  remove(
    id: BackendServerId,
    at: { readonly nowMs: number; readonly mayBeBack: boolean },
  ): void {
    const known = this.#servers.get(id);
    if (known === undefined || known.removedAtMs !== undefined) return;
    known.removedAtMs = at.nowMs;
    known.mayBeBack = at.mayBeBack;
  }

  /** Forgets servers whose entries were removed a while ago. */
  prune(nowMs: number): void {
    for (const [id, server] of this.#servers) {
      const { removedAtMs } = server;
      const isExpired = removedAtMs !== undefined &&
        server.ownWork.size === 0 &&
        nowMs - removedAtMs > 10 * REMOVED_USE_MS;
      if (isExpired) this.#servers.delete(id);
    }
  }

  get(id: BackendServerId): KnownServer | undefined {
    return this.#servers.get(id);
  }

  /** Whether the server has said that it leaves, in the list or an answer. */
  isLeaving({ listed }: KnownServer): boolean {
    return listed.isLeaving || this.#hasSaidLeaving(listed);
  }

  /**
   * Records that a server has said in an answer that it leaves. Returns whether
   * that is news. Only a process that starts later ends it.
   */
  recordLeavingAnswer(
    { id, startedAtMs }: Pick<ListedServer, "id" | "startedAtMs">,
    nowMs: number,
  ): boolean {
    const untilStartMs = Math.max(startedAtMs, this.#wallOffsetMs + nowMs);
    return this.recordLeaving(id, Math.round(untilStartMs));
  }

  /** The same for all processes that started up to the Unix time. */
  recordLeaving(id: BackendServerId, untilStartMs: number): boolean {
    const listed = this.#servers.get(id)?.listed;
    const known = this.#leavingUntilStartMs.get(id);
    if (known !== undefined && known >= untilStartMs) return false;
    const isNews = known === undefined ||
      (listed !== undefined && listed.startedAtMs > known);
    this.#leavingUntilStartMs.delete(id);
    this.#leavingUntilStartMs.set(id, untilStartMs);
    const [oldest] = this.#leavingUntilStartMs.keys();
    if (this.#leavingUntilStartMs.size > MAX_LEAVING) {
      this.#leavingUntilStartMs.delete(oldest!);
    }
    return isNews;
  }

  /** Listed servers that have said that they leave, for peers. */
  saidLeaving(): {
    readonly id: BackendServerId;
    readonly startedAtMs: number;
    readonly untilStartMs: number;
  }[] {
    return [...this.#leavingUntilStartMs].flatMap(([id, untilStartMs]) => {
      const listed = this.#servers.get(id)?.listed;
      if (listed === undefined || !this.#hasSaidLeaving(listed)) return [];
      return [{ id, startedAtMs: listed.startedAtMs, untilStartMs }];
    });
  }

  #hasSaidLeaving({ id, startedAtMs }: ListedServer): boolean {
    const untilStartMs = this.#leavingUntilStartMs.get(id);
    return untilStartMs !== undefined && startedAtMs <= untilStartMs;
  }

  all(): Iterable<KnownServer> {
    return this.#servers.values();
  }

  /** Services that have a listed server. */
  services(): ReadonlySet<ServiceName> {
    return new Set(
      [...this.#servers.values()]
        .filter(({ removedAtMs }) => removedAtMs === undefined)
        .map(({ listed }) => listed.service),
    );
  }

  /** How many servers are listed, were lately heard, and are avoided. */
  contactCounts(nowMs: number): {
    readonly servers: number;
    readonly serversHeard: number;
    readonly serversAvoided: number;
  } {
    const listed = [...this.#servers.values()].filter(({ removedAtMs }) =>
      removedAtMs === undefined
    );
    const heard = listed.filter(({ lastReceivedMs }) =>
      lastReceivedMs > 0 && nowMs - lastReceivedMs < HEARD_MS
    );
    const avoided = listed.filter((server) => this.isAvoided(server, nowMs));
    return {
      servers: listed.length,
      serversHeard: heard.length,
      serversAvoided: avoided.length,
    };
  }

  /** Servers that may get new requests of the service. */
  usable(service: ServiceName, nowMs: number): KnownServer[] {
    const ofService = [...this.#servers.values()].filter((server) =>
      server.listed.service === service && !this.isLeaving(server)
    );
    const listed = ofService.filter(({ removedAtMs }) =>
      removedAtMs === undefined
    );
    if (listed.length > 0) return listed;
    return ofService.filter(({ removedAtMs, mayBeBack }) =>
      mayBeBack && removedAtMs !== undefined &&
      nowMs - removedAtMs < REMOVED_USE_MS
    );
  }

  /** Whether listed servers of the service have different software versions. */
  hasSeveralVersions(service: ServiceName): boolean {
    let first: KnownServer | undefined;
    for (const server of this.#servers.values()) {
      if (server.listed.service !== service) continue;
      first ??= server;
      const { softwareVersion } = server.listed;
      if (softwareVersion !== first.listed.softwareVersion) return true;
    }
    return false;
  }

  /** Work that all daemons together have at the server. */
  workAt(server: KnownServer): ServerWork {
    const peers = this.#peerWork(server.listed.id);
    let { prefillTokens } = peers;
    for (const work of server.ownWork.values()) {
      prefillTokens += work.prefillTokens;
    }
    return { running: server.ownWork.size + peers.running, prefillTokens };
  }

  /** The reported load, if it is recent. */
  freshLoad(server: KnownServer, nowMs: number): ServerLoad | undefined {
    return nowMs - server.loadAtMs < LOAD_TTL_MS ? server.load : undefined;
  }

  weightsOf(server: KnownServer, model: ModelName): WeightsVersion | undefined {
    return server.weights.of(model);
  }

  /** Records weights that the server has reported to a daemon. */
  recordWeights(id: BackendServerId, reported: StatedWeights): void {
    const { model, weights, nowMs } = reported;
    this.#changeWeights({ server: id, model, by: "peer" }, (known) => {
      known.report(model, weights, nowMs);
    });
  }

  /** Records weights that the server states in an answer to this daemon. */
  recordStatedWeights(id: BackendServerId, stated: StatedWeights): void {
    const { model, weights, nowMs } = stated;
    this.#changeWeights({ server: id, model, by: "answer" }, (known) => {
      known.state(model, weights, nowMs);
    });
  }

  /**
   * Records that the server has refused a request because it has other weights.
   * A server that has refused all that it may have is avoided for a while.
   */
  recordOtherWeights(
    id: BackendServerId,
    model: ModelName,
    refusal: WeightsRefusal,
  ): void {
    let isExplained = true;
    this.#changeWeights({ server: id, model, by: "refusal" }, (known) => {
      isExplained = known.refuse(model, refusal);
    });
    if (!isExplained) this.recordFailure(id, refusal.nowMs);
  }

  #changeWeights(
    source: Pick<WeightsChange, "server" | "model" | "by">,
    change: (weights: ServerWeights) => void,
  ): void {
    const { model } = source;
    const server = this.#servers.get(source.server);
    if (server === undefined) return;
    const before = server.weights.of(model);
    change(server.weights);
    const after = server.weights.of(model);
    if (after === before) return;
    this.#weightsChanged({ ...source, before, after });
    // An engine clears its prefix cache when it loads new weights.
    server.parts.clear();
    server.loadingUntilMs = 0;
  }

  recordLoading(id: BackendServerId, untilMs: number): void {
    const server = this.#servers.get(id);
    if (server !== undefined) server.loadingUntilMs = untilMs;
  }

  /** Records until when the server wants nothing from this daemon. */
  recordQuiet(id: BackendServerId, untilMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.quietUntilMs = Math.max(server.quietUntilMs, untilMs);
  }

  recordActivity(id: BackendServerId, nowMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.lastReceivedMs = nowMs;
    if (server.silentUntilMs === 0) return;
    server.silentUntilMs = 0;
    server.avoidUntilMs = 0;
  }

  recordLoad(id: BackendServerId, load: ServerLoad, nowMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.load = load;
    server.loadAtMs = nowMs;
  }

  /**
   * Records the limit that an answer named at the time, or that it named none.
   * Returns whether that is news.
   */
  recordLimit(id: BackendServerId, limit: ServerLimit, atMs: number): boolean {
    const server = this.#servers.get(id);
    if (server === undefined || atMs <= server.limitAsOfMs) return false;
    const { perS, bearsPerS } = limit;
    const isNone = perS === undefined && bearsPerS === undefined;
    const hasChanged = server.limit?.perS !== perS ||
      server.limit?.bearsPerS !== bearsPerS;
    // Without a limit, the time stays that of its end, which peers are told.
    if (!hasChanged && isNone) return false;
    server.limitAsOfMs = atMs;
    server.limit = isNone ? undefined : { perS, bearsPerS };
    return hasChanged;
  }

  /** The same for an answer to this daemon, which it tells its peers of. */
  recordOwnLimit(
    id: BackendServerId,
    limit: ServerLimit,
    atMs: number,
  ): boolean {
    const hasChanged = this.recordLimit(id, limit, atMs);
    const server = this.#servers.get(id);
    if (server !== undefined && (hasChanged || server.limit !== undefined)) {
      server.ownLimitAsOfMs = atMs;
    }
    return hasChanged;
  }

  /** Limits and ends of limits that this daemon has seen lately. */
  seenLimits(nowMs: number): SeenLimit[] {
    return [...this.#servers.values()]
      .filter(({ ownLimitAsOfMs, limitAsOfMs }) =>
        nowMs - ownLimitAsOfMs < SEEN_LIMIT_TTL_MS &&
        // A peer that has seen a newer answer tells of it.
        limitAsOfMs === ownLimitAsOfMs
      )
      .map(({ listed, limit, ownLimitAsOfMs: atMs }) => ({
        id: listed.id,
        perS: limit?.perS,
        bearsPerS: limit?.bearsPerS,
        atMs,
      }));
  }

  recordSuccess(id: BackendServerId): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.failureStreak = 0;
    server.avoidUntilMs = 0;
    server.silentUntilMs = 0;
    server.failureRate *= 1 - FAILURE_WEIGHT;
  }

  /** Records a request that failed through the server's fault. */
  recordFailure(id: BackendServerId, nowMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.failureRate += FAILURE_WEIGHT * (1 - server.failureRate);
    const avoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      FIRST_AVOIDANCE_MS * 2 ** server.failureStreak,
    );
    server.failureStreak += 1;
    server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + avoidanceMs);
  }

  /** Records that the server does not answer this daemon. */
  recordSilence(id: BackendServerId, nowMs: number): void {
    this.recordFailure(id, nowMs);
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.silentUntilMs = server.avoidUntilMs;
    server.silentAtMs = nowMs;
  }

  /** Takes back what this daemon holds against a server for its silence. */
  forgive(id: BackendServerId): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.failureStreak = 0;
    server.avoidUntilMs = 0;
    server.silentUntilMs = 0;
    server.silentAtMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records that another daemon suspects the server to be silent; it tells so
   * again after `roundMs`.
   */
  recordSuspicion(
    id: BackendServerId,
    { nowMs, roundMs }: { readonly nowMs: number; readonly roundMs: number },
  ): void {
    const server = this.#servers.get(id);
    if (
      server === undefined ||
      nowMs - server.lastReceivedMs < RECENTLY_RECEIVED_MS
    ) return;
    const suspicionMs = Math.max(MIN_SUSPICION_MS, SUSPICION_ROUNDS * roundMs);
    server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + suspicionMs);
    server.silentAtMs = nowMs;
  }

  /** Records when the daemon that watches the server's cache heard from it. */
  recordWatched(id: BackendServerId, atMs: number): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.watchedAtMs = Math.max(server.watchedAtMs, atMs);
  }

  /**
   * Whether new requests should go elsewhere: after failures, and after a
   * silence until a daemon hears from the server. Each request that tries a
   * dark server out is late or lost, and every daemon of a fleet would try.
   */
  isAvoided(server: KnownServer, nowMs: number): boolean {
    if (nowMs < server.avoidUntilMs) return true;
    const { silentAtMs, watchedAtMs, lastReceivedMs } = server;
    const isWatched = Number.isFinite(watchedAtMs);
    const heardAtMs = Math.max(watchedAtMs, lastReceivedMs);
    return isWatched && nowMs - silentAtMs < MAX_DARK_MS &&
      nowMs - heardAtMs > WATCH_SILENCE_MS;
  }

  /** Servers that this daemon itself regards as silent. */
  suspects(nowMs: number): BackendServerId[] {
    return [...this.#servers.values()]
      .filter(({ silentUntilMs }) => nowMs < silentUntilMs)
      .map(({ listed }) => listed.id);
  }

  /** Removes a server whose address another has, until a new entry arrives. */
  forgetMoved(id: BackendServerId): void {
    this.#servers.delete(id);
  }

  /** The cached segments of an engine or a store; undefined when unknown. */
  segmentsOf(cache: PrefixCacheId): CachedSegments | undefined {
    return this.#servers.get(cache as BackendServerId)?.parts ??
      this.#stores.get(cache);
  }

  /** The cached segments of the store at the address, created on first use. */
  storeSegments(address: string): CachedSegments {
    const cache = address as PrefixCacheId;
    const known = this.#stores.get(cache);
    if (known !== undefined) return known;
    const segments = new CachedSegments();
    this.#stores.set(cache, segments);
    return segments;
  }

  /** Records that requests with the segments, or segments, were sent there. */
  recordPlacement(
    cache: PrefixCacheId,
    segments: readonly SegmentKey[],
    nowMs: number,
  ): void {
    this.sharedSegments.add(segments);
    this.segmentsOf(cache)?.recordPlacement(segments, nowMs);
  }

  /** Records changes that a watched cache has reported. */
  recordReport(
    cache: PrefixCacheId,
    changes: readonly CacheChange[],
    nowMs: number,
  ): void {
    this.segmentsOf(cache)?.recordReport(changes, nowMs);
  }
}

function newServer(listed: ListedServer): KnownServer {
  return {
    listed,
    ownWork: new Map(),
    parts: new CachedSegments(),
    weights: new ServerWeights(listed.weights),
    removedAtMs: undefined,
    mayBeBack: false,
    avoidUntilMs: 0,
    silentUntilMs: 0,
    failureStreak: 0,
    failureRate: 0,
    lastReceivedMs: 0,
    silentAtMs: Number.NEGATIVE_INFINITY,
    watchedAtMs: Number.NEGATIVE_INFINITY,
    load: undefined,
    loadAtMs: Number.NEGATIVE_INFINITY,
    loadingUntilMs: 0,
    quietUntilMs: 0,
    limit: undefined,
    stated: undefined,
    limitAsOfMs: Number.NEGATIVE_INFINITY,
    ownLimitAsOfMs: Number.NEGATIVE_INFINITY,
  };
}
