/**
 * One entry VM of endivebend: its prefix home, the engines that it watches,
 * and the way of a request through it.
 *
 * @module
 */

import { brandId } from "@endivebend/types";
import type { BackendServerId, RequestId, TeamId } from "@endivebend/types";
import {
  assertHitIsCurrent,
  chooseEngine,
  PrefixIndex,
  RecentPlacements,
  RetryBudget,
} from "@endivebend/routing";
import type {
  EngineCandidate,
  EngineTag,
  PrefixLocation,
  RoutePlan,
} from "@endivebend/routing";
import type { EngineModel } from "./engine_model.ts";
import type { Fleet } from "./fleet.ts";
import { costsOf, sourceOf } from "./product_settings.ts";
import type { SlotAnswer, WatcherLoad, WatcherRole } from "./watcher_role.ts";
import type { SimRequest, World } from "./world.ts";

/** Pause before a request is routed again while no engine is live. */
const NO_ENGINE_RETRY_MS = 100;
/** A server whose connection broke gets nothing from this router so long. */
const SUSPECT_MS = 500;
/** A request is planned anew at most this often for a queue's length. */
const MAX_MOVES = 2;
/** Moving costs messages and the place in the queue. */
const WAIT_SLACK_MS = 50;
/** Hash input that all requests of the bench share. */
const BENCH_SALT = "bench";

/** One entry VM. */
export class RouterNode {
  readonly id: string;
  readonly index = new PrefixIndex();
  readonly watched = new Map<string, WatcherRole>();
  isUp = true;
  readonly #world: World;
  readonly #fleet: Fleet;
  readonly #loads = new Map<string, WatcherLoad>();
  readonly #placements = new RecentPlacements();
  readonly #budget = new RetryBudget();
  /** How often a waiting request was sent to another engine. */
  readonly #moves = new Map<RequestId, number>();
  readonly #suspectUntilMs = new Map<string, number>();

  constructor(id: string, world: World, fleet: Fleet) {
    this.id = id;
    this.#world = world;
    this.#fleet = fleet;
  }

  /** A load arrives by exchange or with an answer. */
  learnLoad(engineId: string, load: WatcherLoad): void {
    const known = this.#loads.get(engineId);
    if (known === undefined || known.asOfMs <= load.asOfMs) {
      this.#loads.set(engineId, load);
    }
  }

  route(request: SimRequest): void {
    if (this.#world.refuseLate(request)) {
      return;
    }
    const home = this.#fleet.homeOf(request.blocks);
    const { usesCacheKnowledge } = this.#fleet.options;
    if (home === undefined || !usesCacheKnowledge) {
      this.#place(request, []);
      return;
    }
    this.#world.send(this.id, home.id, () => {
      const locations = home.isUp ? home.index.locate(request.blocks) : [];
      this.#world.send(home.id, this.id, () => {
        if (this.isUp && !request.isOver) {
          this.#place(request, locations);
        }
      });
    });
  }

  #place(request: SimRequest, locations: readonly PrefixLocation[]): void {
    const plan = this.#plan(request, locations);
    if (plan === undefined) {
      this.#again(request, NO_ENGINE_RETRY_MS);
      return;
    }
    const { nowMs } = this.#world.time;
    const requestId = brandId<RequestId>(request.id);
    const server = plan.engine;
    const team = brandId<TeamId>(request.team);
    this.#budget.recordRequest({ team, server, nowMs });
    this.#placements.add({
      ...plan.tag,
      requestId,
      blocks: request.blocks,
      prefillTokens: plan.prefillTokens,
      placedAtMs: nowMs,
      deadlineMs: request.deadlineMs,
    });
    const watcher = this.#fleet.watcherOf(plan.engine);
    const attempts = request.attempts;
    const { correctsChoices } = this.#fleet.options;
    const canMove = correctsChoices &&
      (this.#moves.get(requestId) ?? 0) < MAX_MOVES;
    const maxWaitMs = canMove ? plan.maxWaitMs + WAIT_SLACK_MS : Infinity;
    const entry = {
      requestId,
      team,
      costTokens: Math.max(1, plan.prefillTokens),
      deadlineMs: request.deadlineMs,
    };
    this.#world.send(this.id, watcher.nodeId, () => {
      watcher.role.acquire({ entry, maxWaitMs }, (answer) => {
        this.#world.send(watcher.nodeId, this.id, () => {
          const isCurrent = this.isUp && !request.isOver &&
            request.attempts === attempts;
          if (isCurrent) {
            this.#answered(request, { plan, answer, watcher });
          } else if (answer.kind === "permit") {
            this.#world.send(
              this.id,
              watcher.nodeId,
              () => watcher.role.release(requestId),
            );
          }
        });
      });
    });
  }

  #answered(request: SimRequest, slot: Slot): void {
    const { plan, answer } = slot;
    const requestId = brandId<RequestId>(request.id);
    if (answer.kind === "refused") {
      this.#placements.remove(plan.engine, requestId);
      this.#world.refuse(request, answer.code);
      return;
    }
    // A router that is sent away must learn why, or it would come back at once.
    if (this.#fleet.options.correctsChoices || answer.kind === "moved") {
      this.learnLoad(plan.engine, answer.load);
    }
    if (answer.kind === "moved") {
      this.#moves.set(requestId, (this.#moves.get(requestId) ?? 0) + 1);
      this.#placements.remove(plan.engine, requestId);
      this.#again(request, 0);
      return;
    }
    const isRestarted = plan.expectedHitBlocks > 0 &&
      answer.load.tag.incarnation !== plan.tag.incarnation;
    if (isRestarted) {
      this.#placements.remove(plan.engine, requestId);
      this.#release(slot, requestId);
      this.#again(request, 0);
      return;
    }
    if (plan.expectedHitBlocks > 0) {
      assertHitIsCurrent({ ...plan.tag, salt: BENCH_SALT }, {
        tag: answer.load.tag,
        salt: BENCH_SALT,
      });
    }
    this.#dispatch(request, slot);
  }

  #dispatch(request: SimRequest, slot: Slot): void {
    this.#moves.delete(brandId<RequestId>(request.id));
    const { plan, answer, watcher } = slot;
    const requestId = brandId<RequestId>(request.id);
    const engine = this.#world.engines.get(plan.engine)!;
    const { correctsChoices } = this.#fleet.options;
    const isFallback = plan.importPlan === undefined;
    const importFrom = isFallback && !correctsChoices
      ? undefined
      : sourceOf(this.#world, plan);
    this.#world.dispatch(request, {
      engine,
      priority: answer.kind === "permit" ? answer.permit.enginePriority : 0,
      networkMs: this.#world.delayMs(this.id, engine.id),
      ...(importFrom && { importFrom }),
      onFirstToken: () => {
        this.#placements.markPrefilled(plan.engine, requestId);
        this.#world.send(
          this.id,
          watcher.nodeId,
          () => watcher.role.markPrefilled(requestId),
        );
      },
      onEnd: () => this.#release(slot, requestId),
      onFailed: () => this.#failed(request, slot),
    });
  }

  #failed(request: SimRequest, slot: Slot): void {
    const { nowMs } = this.#world.time;
    const server = slot.plan.engine;
    const team = brandId<TeamId>(request.team);
    const requestId = brandId<RequestId>(request.id);
    this.#suspectUntilMs.set(server, nowMs + SUSPECT_MS);
    this.#placements.dropEngine(server);
    this.#release(slot, requestId);
    if (this.#budget.tryRetry({ team, server, nowMs })) {
      this.#again(request, 0);
    } else {
      this.#world.refuse(request, "no_backend_server");
    }
  }

  #release(slot: Slot, requestId: RequestId): void {
    const { role, nodeId } = slot.watcher;
    this.#world.send(this.id, nodeId, () => role.release(requestId));
  }

  #again(request: SimRequest, delayMs: number): void {
    this.#world.time.after(delayMs, () => {
      if (this.isUp && !request.isOver) {
        this.route(request);
      }
    });
  }

  #plan(
    request: SimRequest,
    locations: readonly PrefixLocation[],
  ): RoutePlan | undefined {
    const candidates = [...this.#world.engines.values()].map((engine) =>
      this.#candidate(request, { engine, locations })
    );
    const { store } = this.#world;
    const known = locations.find(({ engine }) => engine === store.id);
    const id = brandId<BackendServerId>(store.id);
    const stores = [{ id, depth: known?.depth ?? 0 }];
    const { choose } = this.#fleet.options;
    return chooseEngine(request, candidates, { stores, ...choose });
  }

  #candidate(
    request: SimRequest,
    context: {
      readonly engine: EngineModel;
      readonly locations: readonly PrefixLocation[];
    },
  ): EngineCandidate {
    const { engine, locations } = context;
    const { nowMs } = this.#world.time;
    const load = this.#loads.get(engine.id);
    const tag = load?.tag ?? unknownTag(engine.id);
    const located = locations.find((location) =>
      location.engine === tag.engine &&
      location.incarnation === tag.incarnation &&
      location.weightsVersion === tag.weightsVersion
    );
    const { blocks } = request;
    const placed = this.#placements.depth(tag, { blocks, nowMs });
    const sinceMs = load?.asOfMs ?? -Infinity;
    const own = this.#placements.prefillTokensSince(tag, { sinceMs, nowMs });
    const isSuspect = (this.#suspectUntilMs.get(engine.id) ?? 0) > nowMs ||
      load?.takesNewWork === false;
    return {
      ...tag,
      state: isSuspect ? "suspect" : "live",
      hitBlocks: Math.max(located?.depth ?? 0, placed),
      queuedPrefillTokens: (load?.queuedPrefillTokens ?? 0) + own,
      costs: costsOf(this.#world, engine),
    };
  }
}

interface Slot {
  readonly plan: RoutePlan;
  readonly answer: SlotAnswer;
  readonly watcher: { readonly nodeId: string; readonly role: WatcherRole };
}

function unknownTag(engine: string): EngineTag {
  return {
    engine: brandId<BackendServerId>(engine),
    incarnation: "",
    weightsVersion: brandId(""),
  };
}
