/**
 * Index of which engines hold which blocks, kept by the owner of a prefix.
 *
 * @module
 */

import type { BackendServerId, BlockHash } from "@endivebend/types";
import { BlockTable, FIRST_GENERATION } from "./block_table.ts";
import { isSameTag } from "./engine_tag.ts";
import type { EngineTag } from "./engine_tag.ts";

/** An engine that holds the start of a chain. */
export interface PrefixLocation extends EngineTag {
  /** Number of leading blocks held without a gap; at least 1. */
  readonly depth: number;
}

/** A watcher's report of changes in one engine's prefix cache. */
export interface BlockReport extends EngineTag {
  /** When true, the report replaces everything known about the engine. */
  readonly reset?: boolean;
  readonly stored: readonly BlockHash[];
  readonly evicted: readonly BlockHash[];
}

/**
 * The index is split into several tables, so that a rebuild moves a fraction of
 * the entries and does not block the event loop.
 */
const SHARD_COUNT = 64;
/**
 * Each shard has its own maximum load between these two. Shards fill evenly, so
 * with equal limits all of them would rebuild within a few reports.
 */
const LOWEST_MAX_LOAD = 0.55;
const HIGHEST_MAX_LOAD = 0.75;

/**
 * Index from blocks to engines, for the chains that this VM owns. Each reset,
 * new incarnation or new weights version of an engine starts a new generation,
 * which invalidates the engine's earlier blocks at once.
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

  /** Size of the tables in bytes. */
  get tableBytes(): number {
    return this.#shards.reduce((sum, shard) => sum + shard.bytes, 0);
  }

  /**
   * Applies a report. A new incarnation or weights version invalidates what was
   * known about the engine.
   */
  apply(report: BlockReport): void {
    const generation = this.#generationFor(report);
    for (const block of report.stored) {
      this.#shardOf(block).add(block, generation);
    }
    for (const block of report.evicted) {
      this.#shardOf(block).remove(block, generation);
    }
  }

  /** Removes all blocks of an engine, in constant time. */
  dropEngine(engine: BackendServerId): void {
    const generation = this.#generations.get(engine);
    if (generation !== undefined) {
      this.#tags.delete(generation);
      this.#generations.delete(engine);
    }
  }

  /** Returns the tag that an engine's blocks belong to. */
  tagOf(engine: BackendServerId): EngineTag | undefined {
    const generation = this.#generations.get(engine);
    return generation === undefined ? undefined : this.#tags.get(generation);
  }

  /** Returns the engines that hold the start of the chain, with their depth. */
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

  // All blocks of a chain share the first digits, the owner key, so the shard
  // is selected by later digits, which vary within a chain.
  #shardOf(block: BlockHash): BlockTable {
    const shard = parseInt(block.slice(6, 8), 16) % SHARD_COUNT;
    return this.#shards[shard]!;
  }
}
