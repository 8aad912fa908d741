/**
 * The policies that endivebend is compared with. They send to the engine's own
 * first-in-first-out queue, which has the bounds of the fair queue.
 *
 * @module
 */

import { DEFAULT_QUEUE_OPTIONS } from "@endivebend/queueing";
import { rankByRendezvous } from "@endivebend/routing";
import type { EngineModel } from "./engine_model.ts";
import type { Policy } from "./policy.ts";
import type { SimRequest, World } from "./world.ts";

const RETRY_WHILE_ALL_DOWN_MS = 100;
/**
 * An engine that has more than this many times its share of the running
 * requests passes its keys on (consistent hashing with bounded loads).
 */
const LOAD_BOUND = 1.25;

/** Settings that the baselines are tried with. */
export interface BaselineOptions {
  /** Import from the store whatever it has of the prompt, without knowing. */
  readonly importsFromStore?: boolean;
  /** Blocks of the prompt that the prefix hash covers. */
  readonly hashedBlocks?: number;
}

abstract class BaselinePolicy implements Policy {
  protected readonly world: World;
  readonly #options: BaselineOptions;
  readonly #reported = new Map<string, number>();
  /** When each router sent to each engine, since the last report's time. */
  readonly #sentAtMs = new Map<string, number[]>();

  constructor(world: World, options: BaselineOptions = {}) {
    this.world = world;
    this.#options = options;
    this.#reportLoads();
  }

  route(request: SimRequest): void {
    if (this.world.refuseLate(request)) {
      return;
    }
    const up = [...this.world.engines.values()].filter(({ isUp }) => isUp);
    if (up.length === 0) {
      this.world.time.after(RETRY_WHILE_ALL_DOWN_MS, () => this.route(request));
      return;
    }
    const engine = this.choose(request, up);
    if (isFull(engine, request.team)) {
      this.world.refuse(request, "queue_full");
      return;
    }
    this.#send(request, engine);
  }

  protected abstract choose(
    request: SimRequest,
    up: readonly EngineModel[],
  ): EngineModel;

  /** The last load report and what the router has sent since. */
  protected knownLoad(router: string, engine: EngineModel): number {
    const reported = this.#reported.get(engine.id) ?? 0;
    return reported + this.#sent(router, engine.id).length;
  }

  #send(request: SimRequest, engine: EngineModel): void {
    const { store, time } = this.world;
    this.#sent(request.router, engine.id).push(time.nowMs);
    this.world.dispatch(request, {
      engine,
      networkMs: this.world.delayMs(request.router, engine.id),
      ...(this.#options.importsFromStore && {
        importFrom: { source: store, toBlock: request.blocks.length },
      }),
      onFailed: () => this.route(request),
    });
  }

  #sent(router: string, engine: string): number[] {
    const at = `${router} ${engine}`;
    const known = this.#sentAtMs.get(at) ?? [];
    this.#sentAtMs.set(at, known);
    return known;
  }

  #reportLoads(): void {
    const { time, header, engines } = this.world;
    for (const engine of engines.values()) {
      const running = engine.runningCount;
      const takenAtMs = time.nowMs;
      time.after(header.network.loadLagMs, () => {
        this.#reported.set(engine.id, running);
        for (const router of header.routers) {
          const sent = this.#sent(router.id, engine.id);
          const later = sent.filter((atMs) => atMs > takenAtMs);
          sent.splice(0, sent.length, ...later);
        }
      });
    }
    time.after(header.network.loadLagMs, () => this.#reportLoads());
  }
}

/** Each router sends to the engines in turn. */
export class RoundRobin extends BaselinePolicy {
  readonly #next = new Map<string, number>();

  protected choose(request: SimRequest, up: readonly EngineModel[]) {
    const next = this.#next.get(request.router) ?? 0;
    this.#next.set(request.router, next + 1);
    return up[next % up.length]!;
  }
}

/** The engine with the fewest requests by lagging report and own sends. */
export class LeastLoaded extends BaselinePolicy {
  protected choose(request: SimRequest, up: readonly EngineModel[]) {
    const load = (engine: EngineModel) =>
      this.knownLoad(request.router, engine);
    const least = Math.min(...up.map(load));
    const ties = up.filter((engine) => load(engine) === least);
    return rankByIds(request.id, ties)[0]!;
  }
}

/** Consistent hashing of the prompt's first blocks, with bounded loads. */
export class PrefixHash extends BaselinePolicy {
  readonly #hashedBlocks: number;

  constructor(world: World, options: BaselineOptions = {}) {
    super(world, options);
    this.#hashedBlocks = options.hashedBlocks ?? 1;
  }

  protected choose(request: SimRequest, up: readonly EngineModel[]) {
    const load = (engine: EngineModel) =>
      this.knownLoad(request.router, engine);
    const total = up.reduce((sum, engine) => sum + load(engine), 0);
    const bound = Math.ceil((total + 1) / up.length * LOAD_BOUND);
    const index = Math.min(this.#hashedBlocks, request.blocks.length) - 1;
    const ranked = rankByIds(request.blocks[index] ?? request.id, up);
    return ranked.find((engine) => load(engine) < bound) ?? ranked[0]!;
  }
}

function rankByIds(by: string, engines: readonly EngineModel[]) {
  const ids = rankByRendezvous(by, engines.map(({ id }) => id));
  return ids.map((id) => engines.find((engine) => engine.id === id)!);
}

function isFull(engine: EngineModel, team: string): boolean {
  const { maxEntries, maxTeamEntries } = DEFAULT_QUEUE_OPTIONS;
  return engine.waitingCount >= maxEntries ||
    engine.waitingOfTeam(team) >= maxTeamEntries;
}
