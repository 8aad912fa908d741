/**
 * What the daemon believes of each backend server: its entry in the platform's
 * list, what its answers show, and what peers tell. This is the one place that
 * weighs these against each other.
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
} from "./kept_parts.ts";
import { RecentPlacements } from "./recent_parts.ts";
import { SharedSegmentIds } from "./shared_part_ids.ts";
import type { ListedServer, WeightsVersion } from "./types.ts";

/**
 * A server whose entry lapsed serves a service without any other server for
 * this long; entries that lapsed in an outage of the store come back within
 * 2,000 ms, and the shortest bound on leaving servers is 2,000 ms.
 */
const REMOVED_USE_MS = 1_500;
/** The first avoidance after a failure; later ones double. */
const FIRST_AVOIDANCE_MS = 500;
/** An engine that restarts is back within seconds. */
const MAX_AVOIDANCE_MS = 4_000;
/** A server that others suspect is left aside until they tell again. */
const SUSPICION_MS = 600;
/** A server that was heard this lately is not believed to be silent. */
const RECENTLY_RECEIVED_MS = 300;
/** Weight of the newest outcome in the share of failures. */
const FAILURE_WEIGHT = 0.15;
/** A reported load older than this says nothing; reports lag some 200 ms. */
const LOAD_TTL_MS = 1_000;

/** Work of this daemon that is at a server. */
interface OwnWork {
  /** Tokens that the engine has to prefill before the first event. */
  prefillTokens: number;
}

/** An engine by its id, or a store of prompt parts by its address. */
export type PrefixCacheId =
  | BackendServerId
  | Branded<string, "CacheStoreAddress">;

/** Work at a server. */
export interface ServerWork {
  readonly running: number;
  /** Prompt tokens that the engine has to read before a new request. */
  readonly prefillTokens: number;
}

/** What is believed of one server. */
export interface KnownServer {
  listed: ListedServer;
  /** Work of this daemon, by request. */
  readonly ownWork: Map<RequestId, OwnWork>;
  /** Prompt parts that it keeps. */
  readonly parts: CachedSegments;
  /** Weights that orders or answers show, newer than the list's. */
  readonly knownWeights: Map<ModelName, WeightsVersion>;
  removedAtMs: number | undefined;
  avoidUntilMs: number;
  /** Until when this daemon itself takes the server for silent. */
  silentUntilMs: number;
  failureStreak: number;
  /** Share of recent calls that failed there, 0 to 1. */
  failureRate: number;
  /** When any byte last came from the server. */
  lastReceivedMs: number;
  load: ServerLoad | undefined;
  loadAtMs: number;
  /** Until when the server is known to take new weights. */
  loadingUntilMs: number;
}

/** Beliefs about all backend servers. */
export class ServerRegistry {
  readonly #servers = new Map<BackendServerId, KnownServer>();
  readonly #stores = new Map<PrefixCacheId, CachedSegments>();
  /** What this daemon has placed, for the others. */
  readonly recentPlacements = new RecentPlacements();
  /** Parts that several requests have in common. */
  readonly sharedSegments = new SharedSegmentIds();
  #peerWork: (id: BackendServerId) => ServerWork = () => ({
    running: 0,
    prefillTokens: 0,
  });

  /** Sets where the work of other daemons is looked up. */
  setPeerWorkLookup(lookUp: (id: BackendServerId) => ServerWork): void {
    this.#peerWork = lookUp;
  }

  /** Takes one entry of the list. Returns what changed, for the log. */
  upsert(listed: ListedServer): "new" | "reborn" | "changed" | "same" {
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
    known.removedAtMs = undefined;
    return isSame ? "same" : "changed";
  }

  /** The entry has been removed from the list. */
  remove(id: BackendServerId, nowMs: number): void {
    const known = this.#servers.get(id);
    if (known !== undefined) known.removedAtMs ??= nowMs;
  }

  /** Forgets servers whose entries were removed a while ago. */
  prune(nowMs: number): void {
    for (const [id, server] of this.#servers) {
      const { removedAtMs: removedAtMs } = server;
      const isExpired = removedAtMs !== undefined &&
        server.ownWork.size === 0 &&
        nowMs - removedAtMs > 10 * REMOVED_USE_MS;
      if (isExpired) this.#servers.delete(id);
    }
  }

  get(id: BackendServerId): KnownServer | undefined {
    return this.#servers.get(id);
  }

  all(): Iterable<KnownServer> {
    return this.#servers.values();
  }

  /** Servers that may get new work of the service. */
  usable(service: ServiceName, nowMs: number): KnownServer[] {
    const ofService = [...this.#servers.values()].filter((server) =>
      server.listed.service === service && !server.listed.isLeaving
    );
    const listed = ofService.filter(({ removedAtMs: removedAtMs }) =>
      removedAtMs === undefined
    );
    if (listed.length > 0) return listed;
    return ofService.filter(({ removedAtMs: removedAtMs }) =>
      removedAtMs !== undefined && nowMs - removedAtMs < REMOVED_USE_MS
    );
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

  /** The reported load while it is fresh. */
  freshLoad(server: KnownServer, nowMs: number): ServerLoad | undefined {
    return nowMs - server.loadAtMs < LOAD_TTL_MS ? server.load : undefined;
  }

  weightsOf(server: KnownServer, model: ModelName): WeightsVersion | undefined {
    const listed = server.listed.weights.get(model);
    const known = server.knownWeights.get(model);
    if (listed === undefined || known === undefined) return listed ?? known;
    return known > listed ? known : listed;
  }

  /** An order or an answer shows which weights the server has. */
  recordWeights(
    id: BackendServerId,
    model: ModelName,
    weights: WeightsVersion,
  ): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    const known = this.weightsOf(server, model);
    if (known !== undefined && known >= weights) return;
    server.knownWeights.set(model, weights);
    // New weights discard what the engine has stored.
    server.parts.clear();
    server.loadingUntilMs = 0;
  }

  recordLoading(id: BackendServerId, untilMs: number): void {
    const server = this.#servers.get(id);
    if (server !== undefined) server.loadingUntilMs = untilMs;
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

  recordSuccess(id: BackendServerId): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.failureStreak = 0;
    server.avoidUntilMs = 0;
    server.silentUntilMs = 0;
    server.failureRate *= 1 - FAILURE_WEIGHT;
  }

  /** A call failed in a way that speaks against the server. */
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

  /** The server has fallen silent towards this daemon. */
  recordSilence(id: BackendServerId, nowMs: number): void {
    this.recordFailure(id, nowMs);
    const server = this.#servers.get(id);
    if (server !== undefined) server.silentUntilMs = server.avoidUntilMs;
  }

  /** Another daemon finds the server silent. */
  recordSuspicion(id: BackendServerId, nowMs: number): void {
    const server = this.#servers.get(id);
    if (
      server === undefined ||
      nowMs - server.lastReceivedMs < RECENTLY_RECEIVED_MS
    ) return;
    server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + SUSPICION_MS);
  }

  /** Servers that this daemon itself takes for silent. */
  suspects(nowMs: number): BackendServerId[] {
    return [...this.#servers.values()]
      .filter(({ silentUntilMs }) => nowMs < silentUntilMs)
      .map(({ listed }) => listed.id);
  }

  /** Another server has the address; only a new entry makes it usable again. */
  forgetMoved(id: BackendServerId): void {
    this.#servers.delete(id);
  }

  /** What the engine or the store at the address keeps of prompts. */
  segmentsOf(cache: PrefixCacheId): CachedSegments | undefined {
    return this.#servers.get(cache as BackendServerId)?.parts ??
      this.#stores.get(cache);
  }

  /** What the store of prompt parts at the address keeps. */
  storeSegments(address: string): CachedSegments {
    const cache = address as PrefixCacheId;
    const known = this.#stores.get(cache);
    if (known !== undefined) return known;
    const segments = new CachedSegments();
    this.#stores.set(cache, segments);
    return segments;
  }

  /** The memory has been sent requests with the parts, or the parts. */
  recordPlacement(
    cache: PrefixCacheId,
    segments: readonly SegmentKey[],
    nowMs: number,
  ): void {
    this.sharedSegments.add(segments);
    this.segmentsOf(cache)?.recordPlacement(segments, nowMs);
  }

  /** A memory that is being watched has reported changes. */
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
    knownWeights: new Map(),
    removedAtMs: undefined,
    avoidUntilMs: 0,
    silentUntilMs: 0,
    failureStreak: 0,
    failureRate: 0,
    lastReceivedMs: 0,
    load: undefined,
    loadAtMs: Number.NEGATIVE_INFINITY,
    loadingUntilMs: 0,
  };
}
