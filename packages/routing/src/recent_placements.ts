/**
 * Requests that this router has placed on engines and that the engines' reports
 * do not include yet.
 *
 * @module
 */

import type { BackendServerId, BlockHash, RequestId } from "@endivebend/types";
import { isSameTag } from "./engine_tag.ts";
import type { EngineTag } from "./engine_tag.ts";

/** A request that this router has sent to an engine. */
export interface Placement extends EngineTag {
  readonly requestId: RequestId;
  readonly blocks: readonly BlockHash[];
  /** Tokens that the engine has to prefill for it. */
  readonly prefillTokens: number;
  readonly placedAtMs: number;
  /** Time at which the placement expires, even if its end was not reported. */
  readonly deadlineMs: number;
}

/** Maximum number of blocks kept per engine; the oldest are dropped first. */
const MAX_BLOCKS_PER_ENGINE = 4_096;

/** Placements on one incarnation of an engine with one weights version. */
class EnginePlacements {
  readonly tag: EngineTag;
  /** Placements whose prefill is not known to have finished. */
  readonly prefilling = new Map<RequestId, Placement>();
  /** Deadlines of the placed blocks. */
  readonly #blocks = new Map<BlockHash, number>();

  constructor(tag: EngineTag) {
    this.tag = tag;
  }

  addBlocks(placement: Placement): void {
    for (const block of placement.blocks) {
      // Deleting first moves the block to the end of the map's insertion order.
      this.#blocks.delete(block);
      this.#blocks.set(block, placement.deadlineMs);
    }
    for (const block of this.#blocks.keys()) {
      if (this.#blocks.size <= MAX_BLOCKS_PER_ENGINE) break;
      this.#blocks.delete(block);
    }
  }

  removeBlocks(placement: Placement): void {
    for (const block of placement.blocks) {
      // A later placement of the same block has replaced its deadline.
      if (this.#blocks.get(block) === placement.deadlineMs) {
        this.#blocks.delete(block);
      }
    }
  }

  depth(blocks: readonly BlockHash[], nowMs: number): number {
    // Hashes are chained: if a block was placed, so were all blocks before it.
    for (let depth = blocks.length; depth > 0; depth--) {
      const deadlineMs = this.#blocks.get(blocks[depth - 1]!);
      if (deadlineMs !== undefined && deadlineMs > nowMs) return depth;
    }
    return 0;
  }

  dropExpired(nowMs: number): void {
    for (const [requestId, placement] of this.prefilling) {
      if (placement.deadlineMs <= nowMs) this.prefilling.delete(requestId);
    }
  }
}

/**
 * This router's placements by engine. Each expires at its deadline.
 *
 * @example
 * ```ts
 * placements.add({ ...tag, requestId, blocks, prefillTokens, placedAtMs, deadlineMs });
 * placements.depth(tag, { blocks, nowMs });
 * ```
 */
export class RecentPlacements {
  readonly #byEngine = new Map<BackendServerId, EnginePlacements>();

  add(placement: Placement): void {
    const placements = this.#placementsOf(placement) ??
      this.#createPlacements(placement);
    placements.prefilling.set(placement.requestId, placement);
    placements.addBlocks(placement);
  }

  /** Records the first token: the prefill is done and the blocks are cached. */
  markPrefilled(engine: BackendServerId, requestId: RequestId): void {
    this.#byEngine.get(engine)?.prefilling.delete(requestId);
  }

  /**
   * Removes a request that failed or was cancelled: it no longer waits, and it
   * left no blocks in the cache.
   */
  remove(engine: BackendServerId, requestId: RequestId): void {
    const placements = this.#byEngine.get(engine);
    const placement = placements?.prefilling.get(requestId);
    if (placements === undefined || placement === undefined) return;
    placements.prefilling.delete(requestId);
    placements.removeBlocks(placement);
  }

  dropEngine(engine: BackendServerId): void {
    this.#byEngine.delete(engine);
  }

  clear(): void {
    this.#byEngine.clear();
  }

  /**
   * Returns the prefill tokens placed after `sinceMs`, the time of the load
   * report, whose prefill is not known to have finished.
   */
  prefillTokensSince(
    tag: EngineTag,
    options: { readonly sinceMs: number; readonly nowMs: number },
  ): number {
    let tokens = 0;
    for (const placement of this.#prefillingSince(tag, options)) {
      tokens += placement.prefillTokens;
    }
    return tokens;
  }

  /** Returns the number of placements after `sinceMs` that still prefill. */
  prefillingCountSince(
    tag: EngineTag,
    options: { readonly sinceMs: number; readonly nowMs: number },
  ): number {
    return this.#prefillingSince(tag, options).length;
  }

  /** Returns the number of leading blocks that were placed on the engine. */
  depth(
    tag: EngineTag,
    options: { readonly blocks: readonly BlockHash[]; readonly nowMs: number },
  ): number {
    return this.#placementsOf(tag)?.depth(options.blocks, options.nowMs) ?? 0;
  }

  #prefillingSince(
    tag: EngineTag,
    options: { readonly sinceMs: number; readonly nowMs: number },
  ): Placement[] {
    const placements = this.#placementsOf(tag);
    if (placements === undefined) return [];
    placements.dropExpired(options.nowMs);
    return [...placements.prefilling.values()].filter((placement) =>
      placement.placedAtMs > options.sinceMs
    );
  }

  /** Ignores placements on another incarnation or weights version. */
  #placementsOf(tag: EngineTag): EnginePlacements | undefined {
    const placements = this.#byEngine.get(tag.engine);
    if (placements === undefined) return undefined;
    return isSameTag(placements.tag, tag) ? placements : undefined;
  }

  #createPlacements(tag: EngineTag): EnginePlacements {
    const { engine, incarnation, weightsVersion } = tag;
    const placements = new EnginePlacements({
      engine,
      incarnation,
      weightsVersion,
    });
    this.#byEngine.set(engine, placements);
    return placements;
  }
}
