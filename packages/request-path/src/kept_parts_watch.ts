/**
 * Watches what engines and stores keep of prompts. Answers a load whose shared
 * parts do not all fit into the engines: an engine that is wrongly believed to
 * keep a part reads it again, which slows everything behind it.
 *
 * One daemon watches each memory and tells the others.
 *
 * @module
 */

import { type Clock, pause, type Scheduler, steadyMs } from "@endivebend/clock";
import { rankByRendezvous } from "@endivebend/routing";
import type { VmId } from "@endivebend/types";
import type { CacheChange, SegmentKey } from "./kept_parts.ts";
import type { PrefixCacheId, ServerRegistry } from "./server_registry.ts";

/** An engine, or a store of prompt parts, that can be asked. */
export interface WatchedCache {
  readonly id: PrefixCacheId;
  readonly address: string;
}

/** What a memory has stored and dropped since it was last asked. */
export interface CacheEventBatch {
  /** Another value means that it has restarted and keeps nothing of before. */
  readonly bootId: string;
  /** Where to go on. */
  readonly next: number;
  /** Whether older changes are no longer known. */
  readonly hasGap: boolean;
  readonly changes: readonly CacheChange[];
}

/** Asks memories for their news. */
export interface CacheEventClient {
  /** Undefined when the memory does not answer. */
  fetchEvents(
    cache: WatchedCache,
    after: number,
  ): Promise<CacheEventBatch | undefined>;
}

/** What the watch needs of its neighbours. */
export interface CacheWatchOptions {
  readonly self: VmId;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: CacheEventClient;
  readonly registry: ServerRegistry;
  /** Every memory that some daemon should watch. */
  caches(): readonly WatchedCache[];
  /** The other daemons in reach. */
  peers(): readonly VmId[];
  /** How long it takes until every daemon has been told. */
  gossipRoundMs(): number;
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** How often it is decided anew who watches what. */
const ASSIGN_INTERVAL_MS = 500;
/** Least time between two questions, so that few calls carry many changes. */
const MIN_POLL_INTERVAL_MS = 400;
/** A memory that does not answer is left alone for this long. */
const UNANSWERED_DELAY_MS = 1_000;
/** A change is told in three messages of a small fleet. */
const MIN_GOSSIP_MS = 650;

/**
 * The memories that a daemon watches, by rendezvous hashing over the daemons
 * in reach. For a moment two daemons may watch one memory, which costs a call.
 *
 * @example
 * ```ts
 * const mine = assignMemories(memories, { self, peers });
 * ```
 */
export function assignCaches(
  caches: readonly WatchedCache[],
  members: { readonly self: VmId; readonly peers: readonly VmId[] },
): WatchedCache[] {
  const vmIds = [...members.peers, members.self];
  return caches.filter(({ id }) =>
    rankByRendezvous(id, vmIds)[0] === members.self
  );
}

/** The running watch. */
export class CacheWatch {
  readonly #options: CacheWatchOptions;
  readonly #watched = new Map<PrefixCacheId, WatchedCache>();
  readonly #running = new Set<PrefixCacheId>();
  /** The newest change of each part, by memory. */
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

  /** Late changes by memory, with an entry for each memory that answers. */
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

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  #assign(): void {
    const { self, peers, caches: caches } = this.#options;
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
        await pause(scheduler, UNANSWERED_DELAY_MS);
        continue;
      }
      if (bootId !== undefined && bootId !== recentEvents.bootId) {
        // The numbers of the former run mean nothing now.
        registry.segmentsOf(cache.id)?.clear();
        after = 0;
      } else {
        this.#applyEvents(cache, recentEvents);
        after = recentEvents.next;
      }
      bootId = recentEvents.bootId;
      await pause(
        scheduler,
        Math.max(0, startedAtMs + MIN_POLL_INTERVAL_MS - this.#nowMs()),
      );
    }
    this.#running.delete(cache.id);
  }

  #applyEvents(cache: WatchedCache, recentEvents: CacheEventBatch): void {
    const { registry, decision } = this.#options;
    const nowMs = this.#nowMs();
    if (recentEvents.hasGap) decision("kept_parts_gap", { cache: cache.id });
    const newest = new Map<SegmentKey, CacheChange>();
    for (const change of recentEvents.changes) {
      if (registry.sharedSegments.has(change[0])) newest.set(change[0], change);
    }
    const changes = [...newest.values()];
    registry.recordReport(cache.id, changes, nowMs);
    this.#answeredAtMs.set(cache.id, nowMs);
    const untilMs = nowMs +
      Math.max(MIN_GOSSIP_MS, this.#options.gossipRoundMs());
    const gossiped = this.#gossiped.get(cache.id) ?? new Map();
    this.#gossiped.set(cache.id, gossiped);
    for (const change of changes) {
      gossiped.set(change[0], { change, untilMs });
    }
  }
}
