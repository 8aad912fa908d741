/**
 * Stores what this router knows about each engine: its latest load report, its
 * learned costs and the requests that this router placed there.
 *
 * @module
 */

import {
  type EngineCosts,
  LearnedCosts,
  RecentPlacements,
} from "@endivebend/routing";
import type { BackendServerId, EngineLoad } from "@endivebend/types";
import type { Clock } from "../ports.ts";

interface ReportedLoad {
  readonly load: EngineLoad;
  /** Time of the engine's report on this VM's monotonic clock. */
  readonly asOfElapsedMs: number;
}

/** Older load reports are ignored: the queue has changed since. */
const LOAD_TTL_MS = 10_000;

/** State of the engines, shared by the tasks of one router. */
export class EngineDirectory {
  readonly placements = new RecentPlacements();
  readonly #clock: Clock;
  #lookUpLocalQueue: (engine: BackendServerId) => number | undefined = () =>
    undefined;
  readonly #loads = new Map<BackendServerId, ReportedLoad>();
  readonly #costs = new Map<BackendServerId, LearnedCosts>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Stores a report that is `ageMs` milliseconds old. Returns false when the
   * stored report is at least as new.
   */
  recordLoad(load: EngineLoad, ageMs: number): boolean {
    const asOfElapsedMs = this.#clock.elapsedMs() - ageMs;
    const known = this.#loads.get(load.backendServerId);
    if (known !== undefined && known.asOfElapsedMs >= asOfElapsedMs) {
      return false;
    }
    this.#loads.set(load.backendServerId, { load, asOfElapsedMs });
    return true;
  }

  /**
   * Sets the function that returns the queued prefill tokens of an engine that
   * this VM watches, and undefined for other engines. The local queue holds
   * requests back until the engine needs them, so the engine's own report shows
   * only a part of its backlog.
   */
  setLocalQueueLookup(
    localQueuedTokens: (engine: BackendServerId) => number | undefined,
  ): void {
    this.#lookUpLocalQueue = localQueuedTokens;
  }

  /**
   * Returns the latest load; undefined when no recent report is stored. The
   * local queue counts too when this VM watches the engine.
   */
  load(engine: BackendServerId): ReportedLoad | undefined {
    const known = this.#loads.get(engine);
    if (known === undefined) return undefined;
    const nowMs = this.#clock.elapsedMs();
    if (nowMs - known.asOfElapsedMs >= LOAD_TTL_MS) return undefined;
    const localQueuedTokens = this.#lookUpLocalQueue(engine);
    if (localQueuedTokens === undefined) return known;
    const queuedTokens = Math.max(localQueuedTokens, known.load.queuedTokens);
    return { load: { ...known.load, queuedTokens }, asOfElapsedMs: nowMs };
  }

  costsOf(engine: BackendServerId): EngineCosts {
    return this.learnedCosts(engine).costs;
  }

  /** Returns the cost estimator of an engine; creates it on first use. */
  learnedCosts(engine: BackendServerId): LearnedCosts {
    const known = this.#costs.get(engine);
    if (known !== undefined) return known;
    const costs = new LearnedCosts();
    this.#costs.set(engine, costs);
    return costs;
  }
}
