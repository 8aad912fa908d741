/**
 * Watches the engines and cache stores that this VM owns: polls their load,
 * reads their cache events and reports these to the prefix owners.
 *
 * @module
 */

import {
  type CacheChange,
  type CacheEventBatch,
  type CacheSnapshot,
  EngineCacheView,
} from "@endivebend/routing";
import type { BackendServerId, EngineLoad, VmEntry } from "@endivebend/types";
import type {
  BackendServerView,
  Clock,
  Identity,
  Metrics,
  Scheduler,
} from "../ports.ts";
import type { EngineConnections } from "./attempt_client.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import { watcherOf } from "./ownership.ts";
import type { PrefixTask } from "./prefix_task.ts";

const SCAN_INTERVAL_MS = 250;
const LOAD_INTERVAL_MS = 250;
const CALL_TIMEOUT_MS = 1000;
const EVENT_WAIT_MS = 1000;
const RETRY_DELAY_MS = 200;

/** The part of membership that the watcher uses. */
export interface WatcherMembership {
  entryVms(): readonly VmEntry[];
  serversOfRole(role: VmEntry["role"]): readonly BackendServerView[];
  recordServerAnswer(
    id: BackendServerId,
    answer: {
      readonly incarnation: string;
      readonly weightsVersion: EngineLoad["weightsVersion"];
      readonly asOfMs: number;
    },
  ): void;
  recordServerFailure(id: BackendServerId): void;
  recordServerLeaving(id: BackendServerId): void;
}

/** Dependencies of {@link WatcherTask}. */
export interface WatcherTaskOptions {
  readonly identity: Identity;
  readonly membership: WatcherMembership;
  readonly directory: EngineDirectory;
  readonly prefixes: PrefixTask;
  readonly connections: EngineConnections;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
}

/** Runs the watches of the engines and cache stores that this VM owns. */
export class WatcherTask {
  readonly #options: WatcherTaskOptions;
  readonly #watches = new Map<BackendServerId, EngineWatch>();
  #entryVmIds = "";
  #isStopped = false;

  constructor(options: WatcherTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#scan();
  }

  stop(): void {
    this.#isStopped = true;
    for (const watch of this.#watches.values()) watch.stop();
    this.#watches.clear();
  }

  isWatching(engine: BackendServerId): boolean {
    return this.#watches.has(engine);
  }

  /** Engines and cache stores that this VM watches now. */
  watchedEngines(): readonly BackendServerId[] {
    return [...this.#watches.keys()];
  }

  #scan(): void {
    if (this.#isStopped) return;
    const { membership, identity, scheduler } = this.#options;
    const entryVms = membership.entryVms();
    const watchable = [
      ...membership.serversOfRole("engine"),
      ...membership.serversOfRole("cache_store"),
    ];
    const owned = watchable.filter((server) =>
      watcherOf(server.entry, entryVms)?.vmId === identity.vmId
    );
    const ownedIds = new Set(owned.map((engine) => engine.id));
    this.#stopUnownedWatches(ownedIds);
    for (const engine of owned) this.#startWatch(engine);
    this.#reportToNewOwners(entryVms);
    scheduler.after(SCAN_INTERVAL_MS, () => this.#scan());
  }

  /** A change of entry VMs changes prefix owners; new ones have no entries. */
  #reportToNewOwners(entryVms: readonly VmEntry[]): void {
    const entryVmIds = entryVms.map((entry) => entry.vmId).join(" ");
    if (entryVmIds === this.#entryVmIds) return;
    this.#entryVmIds = entryVmIds;
    for (const watch of this.#watches.values()) watch.reportAll();
  }

  #stopUnownedWatches(ownedIds: ReadonlySet<BackendServerId>): void {
    for (const [id, watch] of this.#watches) {
      if (ownedIds.has(id)) continue;
      watch.stop();
      this.#watches.delete(id);
    }
  }

  #startWatch(engine: BackendServerView): void {
    if (this.#watches.has(engine.id)) return;
    const watch = new EngineWatch(engine, this.#options);
    this.#watches.set(engine.id, watch);
    watch.start();
  }
}

/** Watches one engine or cache store. */
class EngineWatch {
  readonly #engine: BackendServerView;
  readonly #options: WatcherTaskOptions;
  readonly #view: EngineCacheView;
  #isStopped = false;
  #lacksSnapshot = true;

  constructor(engine: BackendServerView, options: WatcherTaskOptions) {
    this.#engine = engine;
    this.#options = options;
    this.#view = new EngineCacheView(engine.id);
  }

  start(): void {
    if (this.#engine.entry.role === "engine") {
      this.#repeat(() => this.#readLoad(), LOAD_INTERVAL_MS);
    }
    this.#repeat(() => this.#readEvents(), 0);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reports all cached blocks again. */
  reportAll(): void {
    if (this.#view.tag.incarnation === "") return;
    const stored = [...this.#view.blocks()];
    this.#report({ reset: true, stored, evicted: [], needsSnapshot: false });
  }

  async #repeat(
    operation: () => Promise<void>,
    intervalMs: number,
  ): Promise<void> {
    while (!this.#isStopped) {
      const delayMs = await operation().then(
        () => intervalMs,
        () => RETRY_DELAY_MS,
      );
      await this.#delay(delayMs);
    }
  }

  async #readLoad(): Promise<void> {
    const { clock, directory, membership } = this.#options;
    const id = this.#engine.id;
    try {
      const answer = await this.#fetchJson<Omit<EngineLoad, "backendServerId">>(
        "/v1/load",
        CALL_TIMEOUT_MS,
      );
      const load: EngineLoad = { ...answer, backendServerId: id };
      const ageMs = Math.max(0, clock.wallMs() - load.asOfMs);
      directory.recordLoad(load, ageMs);
      const { incarnation, weightsVersion } = load;
      const asOfMs = clock.elapsedMs() - ageMs;
      membership.recordServerAnswer(id, {
        incarnation,
        weightsVersion,
        asOfMs,
      });
    } catch (caught) {
      membership.recordServerFailure(id);
      throw caught;
    }
  }

  async #readEvents(): Promise<void> {
    const path = `/v1/cache/events?after=${this.#view.lastSeq}` +
      `&waitMs=${EVENT_WAIT_MS}`;
    const batch = await this.#fetchJson<CacheEventBatch>(
      path,
      EVENT_WAIT_MS + CALL_TIMEOUT_MS,
    );
    if (this.#isStopped) return;
    if (this.#engine.entry.role === "cache_store") {
      this.#recordStoreAnswer(batch);
    }
    const change = this.#view.applyEvents(batch);
    this.#report(change);
    // A new watch needs a full snapshot, and so does one that lost events.
    if (change.needsSnapshot || this.#lacksSnapshot) await this.#readBlocks();
  }

  /** Stores report no load, so the incarnation is taken from their events. */
  #recordStoreAnswer({ incarnation, weightsVersion }: CacheEventBatch): void {
    const asOfMs = this.#options.clock.elapsedMs();
    this.#options.membership.recordServerAnswer(this.#engine.id, {
      incarnation,
      weightsVersion,
      asOfMs,
    });
  }

  async #readBlocks(): Promise<void> {
    const blocks = await this.#fetchJson<CacheSnapshot>(
      "/v1/cache/blocks",
      CALL_TIMEOUT_MS,
    );
    if (this.#isStopped) return;
    this.#lacksSnapshot = false;
    this.#options.metrics.increment("cache_view.refetched");
    this.#report(this.#view.replaceAll(blocks));
  }

  #report(change: CacheChange): void {
    const { reset, stored, evicted } = change;
    if (!reset && stored.length === 0 && evicted.length === 0) return;
    const tag = this.#view.tag;
    this.#options.prefixes.report({ ...tag, reset, stored, evicted });
  }

  async #fetchJson<Answer>(path: string, timeoutMs: number): Promise<Answer> {
    const pool = this.#options.connections.pool(this.#engine.entry.address);
    const { statusCode, headers, body } = await pool.request({
      path,
      method: "GET",
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await body.text();
    if (headers["x-leaving"] === "1") {
      this.#options.membership.recordServerLeaving(this.#engine.id);
    }
    if (statusCode !== 200) {
      throw new Error(
        `The server answered with status ${statusCode} for ${path}`,
      );
    }
    return JSON.parse(text) as Answer;
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.scheduler.after(delayMs, resolve);
    });
  }
}
