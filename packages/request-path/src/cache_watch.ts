/**
 * Watches the prefix caches of engines and stores. This is needed when the
 * shared segments do not all fit into the engines: an engine that is wrongly
 * assumed to have a segment cached prefills it again, which delays every
 * request queued behind it.
 *
 * One daemon watches each cache and gossips the changes to the others.
 *
 * @module
 */

import { type Clock, delay, type Scheduler, steadyMs } from "@endivebend/clock";
import { rendezvousWeight } from "@endivebend/routing";
import type { BackendServerId, VmId } from "@endivebend/types";
import type { CacheChange, SegmentKey } from "./cached_segments.ts";
import type { PrefixCacheId, ServerRegistry } from "./server_registry.ts";

/** The prefix cache of an engine or of a cache store that can be polled. */
export interface WatchedCache {
  readonly id: PrefixCacheId;
  readonly address: string;
}

/** What a cache has stored and evicted since the last poll. */
export interface CacheEventBatch {
  /** Another value means that the cache has restarted and is empty. */
  readonly bootId: string;
  /** Event number to pass as `after` in the next poll. */
  readonly next: number;
  /** Whether events before these were lost. */
  readonly hasGap: boolean;
  readonly changes: readonly CacheChange[];
}

/** Polls caches for their events. */
export interface CacheEventClient {
  /** Undefined when the cache does not answer. */
  fetchEvents(
    cache: WatchedCache,
    after: number,
  ): Promise<CacheEventBatch | undefined>;
}

/** Dependencies of the watch. */
export interface CacheWatchOptions {
  readonly self: VmId;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: CacheEventClient;
  readonly registry: ServerRegistry;
  /** All caches that should be watched by some daemon. */
  caches(): readonly WatchedCache[];
  /** The other reachable daemons. */
  peers(): readonly VmId[];
  /** Time in milliseconds until gossip has been sent to every daemon. */
  gossipRoundMs(): number;
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Interval at which caches are reassigned to daemons. */
const ASSIGN_INTERVAL_MS = 500;
/** Minimum time between two polls, so that one poll carries many changes. */
const MIN_POLL_INTERVAL_MS = 400;
/** Wait after a poll without an answer. */
const UNANSWERED_DELAY_MS = 1_000;
/** Long enough for three gossip messages in a small fleet. */
const MIN_GOSSIP_MS = 650;

/**
 * The caches that a daemon watches, by rendezvous hashing over the reachable
 * daemons. After a change of members two daemons may briefly watch the same
 * cache, which costs only an extra poll.
 *
 * @example
 * ```ts
 * const assigned = assignCaches(caches, { self, peers });
 * ```
 */
export function assignCaches(
  caches: readonly WatchedCache[],
  members: { readonly self: VmId; readonly peers: readonly VmId[] },
): WatchedCache[] {
  const { self, peers } = members;
  return caches.filter(({ id }) => {
    const ownWeight = rendezvousWeight(id, self);
    return peers.every((peer) => rendezvousWeight(id, peer) < ownWeight);
  });
}

/** The running watch. */
export class CacheWatch {
  readonly #options: CacheWatchOptions;
  readonly #watched = new Map<PrefixCacheId, WatchedCache>();
  readonly #running = new Set<PrefixCacheId>();
  /** The newest change of each segment that is still gossiped, by cache. */
  readonly #gossiped = new Map<
    PrefixCacheId,
    Map<SegmentKey, { readonly change: CacheChange; readonly untilMs: number }>
  >();
  readonly #answeredAtMs = new Map<PrefixCacheId, number>();
  #hasStopped = false;

  constructor(options: CacheWatchOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#hasStopped) return;
    this.#options.scheduler.after(ASSIGN_INTERVAL_MS, () => this.start());
    this.#assign();
  }

  stop(): void {
    this.#hasStopped = true;
    this.#watched.clear();
  }

  /**
   * Recent changes by cache, for gossip. A cache that answers has an entry even
   * without changes, which shows the peers that it is watched.
   */
  recentEvents(): Record<PrefixCacheId, CacheChange[]> {
    const nowMs = this.#nowMs();
    const changesByCache: Record<PrefixCacheId, CacheChange[]> = {};
    for (const [cache, atMs] of this.#answeredAtMs) {
      if (nowMs - atMs > 2 * UNANSWERED_DELAY_MS) {
        this.#answeredAtMs.delete(cache);
        this.#gossiped.delete(cache);
        continue;
      }
      const gossiped = this.#gossiped.get(cache);
      for (const [segment, { untilMs }] of gossiped ?? []) {
        if (untilMs <= nowMs) gossiped?.delete(segment);
      }
      changesByCache[cache] = [...gossiped?.values() ?? []].map(({ change }) =>
        change
      );
    }
    return changesByCache;
  }

  /** Milliseconds since each watched cache last answered, for gossip. */
  answerAgesMs(): Record<PrefixCacheId, number> {
    const nowMs = this.#nowMs();
    return Object.fromEntries(
      [...this.#answeredAtMs].map(([cache, atMs]) =>
        [cache, Math.round(nowMs - atMs)] as const
      ),
    );
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  #assign(): void {
    const { self, peers, caches } = this.#options;
    const assigned = assignCaches(caches(), { self, peers: peers() });
    this.#watched.clear();
    for (const cache of assigned) {
      this.#watched.set(cache.id, cache);
      if (!this.#running.has(cache.id)) void this.#watch(cache);
    }
  }

  async #watch(cache: WatchedCache): Promise<void> {
    const { client, registry, scheduler } = this.#options;
    this.#running.add(cache.id);
    let after = 0;
    let bootId: string | undefined;
    while (this.#watched.get(cache.id)?.address === cache.address) {
      const startedAtMs = this.#nowMs();
      const recentEvents = await client.fetchEvents(cache, after);
      if (recentEvents === undefined) {
        await delay(scheduler, UNANSWERED_DELAY_MS);
        continue;
      }
      if (bootId !== undefined && bootId !== recentEvents.bootId) {
        // Event numbers from before the restart are no longer valid.
        registry.segmentsOf(cache.id)?.clear();
        after = 0;
      } else {
        this.#applyEvents(cache, recentEvents);
        after = recentEvents.next;
      }
      bootId = recentEvents.bootId;
      await delay(
        scheduler,
        Math.max(0, startedAtMs + MIN_POLL_INTERVAL_MS - this.#nowMs()),
      );
    }
    this.#running.delete(cache.id);
  }

  #applyEvents(cache: WatchedCache, recentEvents: CacheEventBatch): void {
    const { registry, decision } = this.#options;
    const nowMs = this.#nowMs();
    if (recentEvents.hasGap) decision("kept_parts_gap", { memory: cache.id });
    const newest = new Map<SegmentKey, CacheChange>();
    for (const change of recentEvents.changes) {
      if (registry.sharedSegments.has(change[0])) newest.set(change[0], change);
    }
    const changes = [...newest.values()];
    registry.recordReport(cache.id, changes, nowMs);
    this.#answeredAtMs.set(cache.id, nowMs);
    registry.recordWatched(cache.id as BackendServerId, nowMs);
    const untilMs = nowMs +
      Math.max(MIN_GOSSIP_MS, this.#options.gossipRoundMs());
    const gossiped = this.#gossiped.get(cache.id) ?? new Map();
    this.#gossiped.set(cache.id, gossiped);
    for (const change of changes) {
      gossiped.set(change[0], { change, untilMs });
    }
  }
}
