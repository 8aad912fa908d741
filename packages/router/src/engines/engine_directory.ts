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

interface KnownLoad {
  readonly load: EngineLoad;
  /** When the engine said so, on this VM's clock. */
  readonly asOfElapsedMs: number;
}

/** Loads older than this say nothing about the queue any more. */
const LOAD_EXPIRES_AFTER_MS = 10_000;

/** Knowledge of engines, shared by the tasks of one router. */
export class EngineDirectory {
  readonly placements = new RecentPlacements();
  readonly #clock: Clock;
  readonly #loads = new Map<BackendServerId, KnownLoad>();
  readonly #costs = new Map<BackendServerId, LearnedCosts>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes a report unless a newer one is known; `ageMs` is its age now. */
  noteLoad(load: EngineLoad, ageMs: number): boolean {
    const asOfElapsedMs = this.#clock.elapsedMs() - ageMs;
    const known = this.#loads.get(load.backendServerId);
    if (known !== undefined && known.asOfElapsedMs >= asOfElapsedMs) {
      return false;
    }
    this.#loads.set(load.backendServerId, { load, asOfElapsedMs });
    return true;
  }

  load(engine: BackendServerId): KnownLoad | undefined {
    const known = this.#loads.get(engine);
    if (known === undefined) return undefined;
    const ageMs = this.#clock.elapsedMs() - known.asOfElapsedMs;
    return ageMs < LOAD_EXPIRES_AFTER_MS ? known : undefined;
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
