/**
 * A policy that knows every cache and queue at once, without any delay. It
 * uses the same score and the same queues as endivebend.
 *
 * @module
 */

import { brandId } from "@endivebend/types";
import type { BackendServerId, RequestId, TeamId } from "@endivebend/types";
import { FairQueue } from "@endivebend/queueing";
import type { Permit } from "@endivebend/queueing";
import { chooseEngine, RecentPlacements } from "@endivebend/routing";
import type { EngineCandidate, RoutePlan } from "@endivebend/routing";
import type { EngineModel } from "./engine_model.ts";
import { WEIGHTS } from "./event_feed.ts";
import type { Policy } from "./policy.ts";
import { costsOf, queueOptionsOf, sourceOf } from "./product_settings.ts";
import type { SimRequest, World } from "./world.ts";

interface Waiting {
  readonly request: SimRequest;
  readonly plan: RoutePlan;
}

/** The oracle. */
export class Oracle implements Policy {
  readonly #world: World;
  readonly #queues = new Map<string, FairQueue>();
  readonly #waiting = new Map<string, Waiting>();
  readonly #placements = new RecentPlacements();
  readonly #wakeAtMs = new Map<string, number>();

  constructor(world: World) {
    this.#world = world;
    for (const { id } of world.header.engines) {
      this.#queues.set(id, new FairQueue(queueOptionsOf(world, id)));
    }
  }

  route(request: SimRequest): void {
    if (this.#world.refuseLate(request)) {
      return;
    }
    const { nowMs } = this.#world.time;
    const plan = this.#plan(request);
    if (plan === undefined) {
      this.#world.time.after(100, () => this.route(request));
      return;
    }
    const queue = this.#queues.get(plan.engine)!;
    const result = queue.enqueue({
      requestId: brandId<RequestId>(request.id),
      team: brandId<TeamId>(request.team),
      costTokens: Math.max(1, plan.prefillTokens),
      deadlineMs: request.deadlineMs,
    }, nowMs);
    if (result.kind === "refused") {
      this.#world.refuse(request, result.code);
      return;
    }
    this.#waiting.set(request.id, { request, plan });
    this.#placements.add({
      ...plan.tag,
      requestId: brandId<RequestId>(request.id),
      blocks: request.blocks,
      prefillTokens: plan.prefillTokens,
      placedAtMs: nowMs,
      deadlineMs: request.deadlineMs,
    });
    this.#pump(plan.engine);
  }

  onEngineDown(engine: string): void {
    this.#placements.dropEngine(brandId<BackendServerId>(engine));
    this.#queues.set(
      engine,
      new FairQueue(queueOptionsOf(this.#world, engine)),
    );
    const stranded = [...this.#waiting.values()].filter(({ plan }) =>
      plan.engine === engine
    );
    for (const { request } of stranded) {
      this.#waiting.delete(request.id);
      this.route(request);
    }
  }

  onRoutersDown(): void {
    for (const [id, { request, plan }] of this.#waiting) {
      this.#queues.get(plan.engine)!.cancel(brandId<RequestId>(request.id));
      this.#waiting.delete(id);
    }
    this.#placements.clear();
    for (const { id } of this.#world.header.engines) {
      this.#queues.set(id, new FairQueue(queueOptionsOf(this.#world, id)));
    }
  }

  #plan(request: SimRequest): RoutePlan | undefined {
    const candidates = [...this.#world.engines.values()].map((engine) =>
      this.#candidate(request, engine)
    );
    const { store } = this.#world;
    const id = brandId<BackendServerId>(store.id);
    const depth = store.depth(request.blocks);
    return chooseEngine(request, candidates, { stores: [{ id, depth }] });
  }

  #candidate(request: SimRequest, engine: EngineModel): EngineCandidate {
    const tag = {
      engine: brandId<BackendServerId>(engine.id),
      incarnation: `i${engine.incarnation}`,
      weightsVersion: WEIGHTS,
    };
    const { nowMs } = this.#world.time;
    const { blocks } = request;
    const placed = this.#placements.depth(tag, { blocks, nowMs });
    const queue = this.#queues.get(engine.id)!;
    return {
      ...tag,
      state: engine.isUp ? "live" : "suspect",
      hitBlocks: Math.max(engine.depth(blocks), placed),
      queuedPrefillTokens: engine.queuedPrefillTokens + queue.waitingTokens,
      costs: costsOf(this.#world, engine),
    };
  }

  #pump(engineId: string): void {
    const engine = this.#world.engines.get(engineId)!;
    const queue = this.#queues.get(engineId)!;
    const { nowMs } = this.#world.time;
    const plan = queue.grantPermits(nowMs, { takesNewWork: engine.isUp });
    for (const entry of plan.expired) {
      const waiting = this.#waiting.get(entry.requestId);
      this.#waiting.delete(entry.requestId);
      if (waiting !== undefined) {
        this.#world.refuse(waiting.request, "deadline_exceeded");
      }
    }
    for (const permit of plan.permits) {
      this.#start(permit, queue);
    }
    this.#scheduleWake(engineId, queue);
  }

  #scheduleWake(engineId: string, queue: FairQueue): void {
    const { nowMs } = this.#world.time;
    const wakeMs = queue.nextWakeMs(nowMs);
    const scheduledMs = this.#wakeAtMs.get(engineId) ?? Infinity;
    const isNeeded = wakeMs !== undefined &&
      (wakeMs < scheduledMs || scheduledMs <= nowMs);
    if (isNeeded) {
      this.#wakeAtMs.set(engineId, wakeMs);
      this.#world.time.at(wakeMs, () => this.#pump(engineId));
    }
  }

  #start(permit: Permit, queue: FairQueue): void {
    const waiting = this.#waiting.get(permit.requestId);
    if (waiting === undefined) {
      queue.release(permit.requestId);
      return;
    }
    const { request, plan } = waiting;
    this.#waiting.delete(request.id);
    const engine = this.#world.engines.get(plan.engine)!;
    const importFrom = sourceOf(this.#world, plan);
    const placement = brandId<RequestId>(request.id);
    this.#world.dispatch(request, {
      engine,
      priority: permit.enginePriority,
      networkMs: 0,
      ...(importFrom && { importFrom }),
      onFirstToken: () => {
        queue.markPrefilled(permit.requestId, this.#world.time.nowMs);
        this.#placements.remove(plan.engine, placement);
        this.#pump(engine.id);
      },
      onEnd: () => {
        queue.release(permit.requestId);
        this.#pump(engine.id);
      },
      onFailed: () => {
        queue.release(permit.requestId);
        this.route(request);
      },
    });
  }
}
