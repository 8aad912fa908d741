/**
 * Everything that an engine loses when it crashes.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { request } from "undici";
import { LaggingValue } from "../lagging_value.ts";
import { BatchScheduler } from "./batch_scheduler.ts";
import { BlockCache, type CacheChange } from "./block_cache.ts";
import { CacheEvents } from "./cache_events.ts";
import type { CompletionHost } from "./completion.ts";
import { type EngineOrder, OrderBook } from "./engine_orders.ts";
import type { EngineTuning } from "./engine_options.ts";
import { encodeBlock, putBlock } from "./kv_transfer.ts";

/** Settings of one incarnation. */
export interface IncarnationOptions {
  readonly model: string;
  readonly weightsVersion: string;
  readonly cacheBlocks: number;
  readonly platformAddress: string | undefined;
  readonly tuning: EngineTuning;
  readonly counts: { resumeMismatches: number };
}

interface LoadNumbers {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedTokens: number;
  readonly freeBlocks: number;
}

/** One run of an engine, from its start to its crash. */
export class Incarnation implements CompletionHost {
  readonly id = randomUUID();
  readonly cache: BlockCache;
  readonly events: CacheEvents;
  readonly scheduler: BatchScheduler;
  readonly orders: OrderBook;
  readonly #options: IncarnationOptions;
  readonly #models: Map<string, string>;
  readonly #load: LaggingValue<LoadNumbers>;
  #mainModel: string;

  constructor(options: IncarnationOptions) {
    const { tuning } = options;
    this.#options = options;
    this.#mainModel = options.model;
    this.#models = new Map([[options.model, options.weightsVersion]]);
    this.cache = new BlockCache(options.cacheBlocks);
    this.events = new CacheEvents(tuning);
    this.scheduler = new BatchScheduler(tuning);
    this.orders = new OrderBook(() => tuning.checksFence);
    this.#load = new LaggingValue(this.#loadNumbers(), tuning.loadLagMs);
    this.scheduler.onChange = () =>
      this.#load.set(this.#loadNumbers(), Date.now());
  }

  /** Weights version of the model that the engine serves mainly. */
  get weightsVersion(): string {
    return this.#models.get(this.#mainModel) ?? "";
  }

  models(): { id: string; weights_version: string }[] {
    return [...this.#models].map(([id, version]) => ({
      id,
      object: "model",
      weights_version: version,
    }));
  }

  weightsVersionOf(model: string): string | undefined {
    return this.#models.get(model);
  }

  isInstant(): boolean {
    return this.#options.tuning.decodeMsPerToken === 0;
  }

  noteResumeMismatch(): void {
    this.#options.counts.resumeMismatches++;
  }

  usePrefix(blocks: readonly string[], salt: string): number {
    return this.cache.useDepth(blocks, salt);
  }

  storePrefix(blocks: readonly string[], salt: string): void {
    const change = this.cache.store(blocks, salt);
    this.#publish(change);
    void this.#exportBlocks(change.stored, salt);
  }

  async #exportBlocks(blocks: readonly string[], salt: string): Promise<void> {
    const { storeAddress, kvBytesPerBlock: bytes } = this.#options.tuning;
    if (storeAddress === "") return;
    for (const block of blocks) {
      await putBlock(storeAddress, {
        block,
        bytes: encodeBlock(block, { salt, bytes }),
      });
    }
  }

  loadReport() {
    this.#load.lagMs = this.#options.tuning.loadLagMs;
    const { asOfMs, value } = this.#load.visible(Date.now());
    const { id: incarnation, weightsVersion } = this;
    return { incarnation, weightsVersion, ...value, asOfMs };
  }

  /** Accepts an order and begins to carry it out. */
  order(order: EngineOrder): void {
    this.orders.accept(order);
    if (order.kind === "load_model") void this.#loadModel(order);
    if (order.kind === "load_adapter") {
      this.#models.set(order.model, order.weightsVersion);
    }
  }

  /** Loads weights, lets running requests finish, then switches. */
  async #loadModel(order: EngineOrder): Promise<void> {
    await this.#fetchWeights(order);
    if (this.orders.last !== order) return;
    await this.scheduler.pauseUntilIdle();
    this.#models.clear();
    this.#models.set(order.model, order.weightsVersion);
    this.#mainModel = order.model;
    const evicted = this.cache.blocks();
    this.cache.clear();
    this.#publish({ stored: [], evicted });
    this.scheduler.resume();
  }

  async #fetchWeights(order: EngineOrder): Promise<void> {
    const { platformAddress } = this.#options;
    if (platformAddress === undefined) return;
    const path = `/v1/weights/${order.model}/${order.weightsVersion}`;
    const { body } = await request(`http://${platformAddress}${path}`);
    await body.dump({ limit: Infinity });
  }

  #publish(change: CacheChange): void {
    this.events.add("stored", change.stored);
    this.events.add("evicted", change.evicted);
    this.#load.set(this.#loadNumbers(), Date.now());
  }

  #loadNumbers(): LoadNumbers {
    return {
      runningRequests: this.scheduler.runningCount,
      queuedRequests: this.scheduler.waitingCount,
      queuedTokens: this.scheduler.waitingTokens,
      freeBlocks: this.cache.freeBlocks,
    };
  }
}
