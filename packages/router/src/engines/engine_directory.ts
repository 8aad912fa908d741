/**
 * What this router knows of each engine: its latest load report, its learned
 * costs and what this router placed there.
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
  /** When the engine said so, on this VM's clock. */
  readonly asOfElapsedMs: number;
}

/** Loads older than this say nothing about the queue any more. */
const LOAD_TTL_MS = 10_000;

/** Knowledge of engines, shared by the tasks of one router. */
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

  /** Takes a report unless a newer one is known; `ageMs` is its age now. */
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
   * Sets where the queue of an engine that this VM watches is read. The queue
   * holds back what the engine does not need yet, so the engine's own report
   * shows only a part of the work ahead.
   */
  setLocalQueueLookup(
    localQueuedTokens: (engine: BackendServerId) => number | undefined,
  ): void {
    this.#lookUpLocalQueue = localQueuedTokens;
  }

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

  learnedCosts(engine: BackendServerId): LearnedCosts {
    const known = this.#costs.get(engine);
    if (known !== undefined) return known;
    const costs = new LearnedCosts();
    this.#costs.set(engine, costs);
    return costs;
  }
}
