/**
 * The entry VMs as they see each other, and the endivebend policy over them.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";
import { firstByRendezvous, ownerKeyOf } from "@endivebend/routing";
import type { BlockReport, ChooseOptions } from "@endivebend/routing";
import type { FairQueueOptions } from "@endivebend/queueing";
import type { Policy } from "./policy.ts";
import { RouterNode } from "./router_node.ts";
import { filterReport, WatcherRole } from "./watcher_role.ts";
import type { SimRequest, World } from "./world.ts";

/** Settings of the messages between entry VMs. */
export interface FleetOptions {
  /** Loads of watched engines go to every entry VM this often. */
  readonly exchangeMs: number;
  /** Additional age of loads when they arrive; for the measured curve. */
  readonly extraLoadLagMs: number;
  /** False leaves out what caches hold; for the measured curve. */
  readonly usesCacheKnowledge: boolean;
  /**
   * False leaves out what makes up for late knowledge: loads with answers, the
   * bound on the wait, and the fallback to the store.
   */
  readonly correctsChoices: boolean;
  readonly choose: Pick<ChooseOptions, "workWeight" | "tieMs">;
  readonly queue: Partial<FairQueueOptions>;
}

/** Values of the design. */
export const DEFAULT_FLEET_OPTIONS: FleetOptions = {
  exchangeMs: 500,
  extraLoadLagMs: 0,
  usesCacheKnowledge: true,
  correctsChoices: true,
  choose: {},
  queue: {},
};

/** Entry VMs of one run. */
export class Fleet implements Policy {
  readonly #world: World;
  readonly options: FleetOptions;
  readonly #nodes = new Map<string, RouterNode>();
  readonly #watchers = new Map<string, { nodeId: string; role: WatcherRole }>();

  constructor(world: World, options: Partial<FleetOptions> = {}) {
    this.#world = world;
    this.options = { ...DEFAULT_FLEET_OPTIONS, ...options };
    this.onRoutersUp(world.header.routers.map(({ id }) => id));
    this.#exchange();
  }

  route(request: SimRequest): void {
    this.#nodes.get(request.router)!.route(request);
  }

  /** The node that knows where the chain is cached. */
  homeOf(blocks: readonly BlockHash[]): RouterNode | undefined {
    const [root] = blocks;
    if (root === undefined) {
      return undefined;
    }
    return this.#nodes.get(this.#homeId(root)!);
  }

  watcherOf(engineId: string): { nodeId: string; role: WatcherRole } {
    return this.#watchers.get(engineId)!;
  }

  onEngineDown(engine: string): void {
    this.watcherOf(engine).role.engineDown();
    this.#broadcastReset(engine);
    this.#publish(engine);
  }

  onEngineUp(engine: string): void {
    this.#world.feeds.get(engine)!.announceRestart();
    this.watcherOf(engine).role.engineUp();
    this.#publish(engine);
  }

  onRoutersDown(routers: readonly string[]): void {
    for (const id of routers) {
      this.#nodes.get(id)!.isUp = false;
      for (const role of this.#nodes.get(id)!.watched.values()) {
        role.stop();
      }
    }
    this.#assignWatchers();
  }

  onRoutersUp(routers: readonly string[]): void {
    for (const id of routers) {
      this.#nodes.set(id, new RouterNode(id, this.#world, this));
    }
    this.#assignWatchers();
  }

  /**
   * Watchers and homes follow the set of VMs that are up. The daemon needs two
   * seconds to notice that a VM is gone; here it is noticed at once.
   */
  #assignWatchers(): void {
    const { engines, store } = this.#world;
    if (this.#upIds().length === 0) {
      return;
    }
    [...engines.keys(), store.id].forEach((id) => this.#assignWatcher(id));
    for (const { role } of this.#watchers.values()) {
      role.reportAll();
    }
  }

  #assignWatcher(engineId: string): void {
    const domain = this.#world.domainOf(engineId);
    const up = this.#upIds();
    const near = up.filter((id) => this.#world.domainOf(id) === domain);
    const nodeId = firstByRendezvous(engineId, near.length > 0 ? near : up)!;
    const current = this.#watchers.get(engineId);
    const node = this.#nodes.get(nodeId)!;
    if (current?.nodeId === nodeId && node.watched.has(engineId)) {
      return;
    }
    current?.role.stop();
    const role = new WatcherRole(engineId, {
      world: this.#world,
      queueOptions: this.options.queue,
      report: (report) => this.#sendReport(nodeId, report),
    });
    node.watched.set(engineId, role);
    this.#watchers.set(engineId, { nodeId, role });
  }

  #sendReport(from: string, report: BlockReport): void {
    for (const id of this.#upIds()) {
      const part = filterReport(report, (block) => this.#homeId(block) === id);
      const isNeeded = report.reset === true || part.stored.length > 0 ||
        part.evicted.length > 0;
      if (isNeeded) {
        this.#world.send(
          from,
          id,
          () => this.#nodes.get(id)!.index.apply(part),
        );
      }
    }
  }

  #broadcastReset(engine: string): void {
    const { nodeId, role } = this.watcherOf(engine);
    for (const id of this.#upIds()) {
      this.#world.send(nodeId, id, () => {
        this.#nodes.get(id)!.index.dropEngine(role.view.engine);
      });
    }
  }

  #exchange(): void {
    for (const engine of this.#world.engines.keys()) {
      this.#publish(engine);
    }
    this.#world.time.after(this.options.exchangeMs, () => this.#exchange());
  }

  #publish(engine: string): void {
    const { nodeId, role } = this.watcherOf(engine);
    if (!this.#nodes.get(nodeId)!.isUp) {
      return;
    }
    const load = role.load();
    for (const id of this.#upIds()) {
      this.#world.time.after(this.options.extraLoadLagMs, () => {
        this.#world.send(
          nodeId,
          id,
          () => this.#nodes.get(id)!.learnLoad(engine, load),
        );
      });
    }
  }

  #homeId(block: BlockHash): string | undefined {
    return firstByRendezvous(ownerKeyOf(block), this.#upIds());
  }

  #upIds(): string[] {
    return [...this.#nodes.values()].filter(({ isUp }) => isUp).map(({ id }) =>
      id
    );
  }
}
