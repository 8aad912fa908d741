/**
 * The cache store in virtual time. Engines write computed blocks to it after
 * a delay, whatever the policy.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";
import { BlockCache } from "./block_cache.ts";
import type { BlockSource } from "./engine_model.ts";
import type { TraceNetwork, TraceStore } from "./trace.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** The store exports to several engines at once. */
const EXPORT_STREAMS = 4;

/** The store of the trace. */
export class StoreModel implements BlockSource {
  readonly id: string;
  readonly #spec: TraceStore;
  readonly #time: VirtualTime;
  readonly #network: TraceNetwork;
  readonly #cache: BlockCache;
  readonly #freeAtMs = new Array<number>(EXPORT_STREAMS).fill(0);
  readonly #onStored: (block: BlockHash) => void;

  constructor(spec: TraceStore, options: {
    readonly time: VirtualTime;
    readonly network: TraceNetwork;
    readonly onStored: (block: BlockHash) => void;
    readonly onEvicted: (block: BlockHash) => void;
  }) {
    this.id = spec.id;
    this.#spec = spec;
    this.#time = options.time;
    this.#network = options.network;
    this.#onStored = options.onStored;
    this.#cache = new BlockCache(spec.capacityBlocks, options.onEvicted);
  }

  get cachedBlocks(): BlockHash[] {
    return this.#cache.blocks();
  }

  /** Stores a block that an engine computed. */
  putLater(block: BlockHash): void {
    this.#time.after(this.#spec.putDelayMs, () => {
      if (this.#cache.add(block)) {
        this.#onStored(block);
      }
    });
  }

  has(block: BlockHash): boolean {
    return this.#cache.has(block);
  }

  depth(chain: readonly BlockHash[]): number {
    return this.#cache.depth(chain);
  }

  reserveExport(blocks: number): number {
    const least = Math.min(...this.#freeAtMs);
    const stream = this.#freeAtMs.indexOf(least);
    const startMs = Math.max(this.#time.nowMs, least);
    const endMs = startMs + blocks * this.#network.importMsPerBlock;
    this.#freeAtMs[stream] = endMs;
    return endMs;
  }
}
