/**
 * What a prefix home knows: which engines hold which blocks.
 *
 * @module
 */

import type { BackendServerId, BlockHash } from "@endivebend/types";
import { BlockTable, FIRST_GENERATION } from "./block_table.ts";
import { isSameTag } from "./engine_tag.ts";
import type { EngineTag } from "./engine_tag.ts";

/** How much of a chain one engine holds. */
export interface PrefixLocation extends EngineTag {
  /** Blocks of the chain held from the root without a gap; at least 1. */
  readonly depth: number;
}

/** A watcher's report of changes at one engine. */
export interface BlockReport extends EngineTag {
  /** Replaces all that was known of the engine when set. */
  readonly reset?: boolean;
  readonly stored: readonly BlockHash[];
  readonly evicted: readonly BlockHash[];
}

/**
 * Several small tables instead of one, so that a rebuild moves a fraction of
 * the entries and does not stop the event loop.
 */
const SHARD_COUNT = 64;
/**
 * Shards rebuild at different loads. They fill evenly, so at one load all of
 * them would rebuild within a few reports of each other.
 */
const LOWEST_MAX_LOAD = 0.55;
const HIGHEST_MAX_LOAD = 0.75;

/**
 * Blocks by engine, for the chains whose home this VM is.
 *
 * @example
 * ```ts
 * const index = new PrefixIndex();
 * index.apply({ ...tag, stored: blocks, evicted: [] });
 * index.locate(blocks); // [{ ...tag, depth: blocks.length }]
 * ```
 */
export class PrefixIndex {
  readonly #tags = new Map<number, EngineTag>();
  readonly #generations = new Map<BackendServerId, number>();
  readonly #shards: BlockTable[] = [];
  #nextGeneration = FIRST_GENERATION;

  constructor() {
    const isCurrent = (generation: number) => this.#tags.has(generation);
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const loadRange = HIGHEST_MAX_LOAD - LOWEST_MAX_LOAD;
      const maxLoad = LOWEST_MAX_LOAD + loadRange * shard / SHARD_COUNT;
      this.#shards.push(new BlockTable(isCurrent, { maxLoad }));
    }
  }

  /** Bytes of the tables that hold the blocks. */
  get tableBytes(): number {
    return this.#shards.reduce((sum, shard) => sum + shard.bytes, 0);
  }

  /** Applies a report. A new incarnation or weights version voids the old. */
  apply(report: BlockReport): void {
    const generation = this.#generationFor(report);
    for (const block of report.stored) {
      this.#shardOf(block).add(block, generation);
    }
    for (const block of report.evicted) {
      this.#shardOf(block).remove(block, generation);
    }
  }

  /** Forgets all blocks of an engine, in constant time. */
  dropEngine(engine: BackendServerId): void {
    const generation = this.#generations.get(engine);
    if (generation !== undefined) {
      this.#tags.delete(generation);
      this.#generations.delete(engine);
    }
  }

  /** The tag under which an engine's blocks are known. */
  tagOf(engine: BackendServerId): EngineTag | undefined {
    const generation = this.#generations.get(engine);
    return generation === undefined ? undefined : this.#tags.get(generation);
  }

  /** Engines that hold the chain from its root, with their depth. */
  locate(blocks: readonly BlockHash[]): PrefixLocation[] {
    const depths = new Map<number, number>();
    for (const [index, block] of blocks.entries()) {
      const isExtended = this.#extendDepths(depths, { block, index });
      if (!isExtended) {
        break;
      }
    }
    return [...depths].map(([generation, depth]) => ({
      ...this.#tags.get(generation)!,
      depth,
    }));
  }

  #extendDepths(
    depths: Map<number, number>,
    at: { readonly block: BlockHash; readonly index: number },
  ): boolean {
    let isExtended = false;
    for (const generation of this.#shardOf(at.block).generationsOf(at.block)) {
      if ((depths.get(generation) ?? 0) === at.index) {
        depths.set(generation, at.index + 1);
        isExtended = true;
      }
    }
    return isExtended;
  }

  #generationFor(report: BlockReport): number {
    const known = this.#generations.get(report.engine);
    const isSameGeneration = known !== undefined && report.reset !== true &&
      isSameTag(this.#tags.get(known)!, report);
    if (isSameGeneration) {
      return known;
    }
    this.dropEngine(report.engine);
    const generation = this.#nextGeneration++;
    const { engine, incarnation, weightsVersion } = report;
    this.#tags.set(generation, { engine, incarnation, weightsVersion });
    this.#generations.set(engine, generation);
    return generation;
  }

  // The last digits vary within a chain; the first are the home key.
  #shardOf(block: BlockHash): BlockTable {
    const shard = parseInt(block.slice(6, 8), 16) % SHARD_COUNT;
    return this.#shards[shard]!;
  }
}
