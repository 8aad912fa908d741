/**
 * What this router placed on engines and their reports do not show yet.
 *
 * @module
 */

import type { BackendServerId, BlockHash, RequestId } from "@endivebend/types";
import { isSameTag } from "./engine_tag.ts";
import type { EngineTag } from "./engine_tag.ts";

/** A request that this router gave to an engine. */
export interface Placement extends EngineTag {
  readonly requestId: RequestId;
  readonly blocks: readonly BlockHash[];
  /** Tokens that the engine has to prefill for it. */
  readonly prefillTokens: number;
  readonly placedAtMs: number;
  /** When the placement stops to count, even if its end was never heard. */
  readonly deadlineMs: number;
}

/** Blocks remembered per engine; the oldest are forgotten first. */
const MAX_BLOCKS_PER_ENGINE = 4_096;

/** Placements on one run of one engine. */
class EnginePlacements {
  readonly tag: EngineTag;
  /** Requests whose prefill is not known to be done. */
  readonly prefilling = new Map<RequestId, Placement>();
  /** Placed blocks with the time until which they count. */
  readonly #blocks = new Map<BlockHash, number>();

  constructor(tag: EngineTag) {
    this.tag = tag;
  }

  addBlocks(placement: Placement): void {
    for (const block of placement.blocks) {
      // Deleting first moves the block to the young end of the map.
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
      // A later placement of the same block has moved its deadline.
      if (this.#blocks.get(block) === placement.deadlineMs) {
        this.#blocks.delete(block);
      }
    }
  }

  depth(blocks: readonly BlockHash[], nowMs: number): number {
    // Hashes are chained: a placed block means that all above it were placed.
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
 * Placements of this router by engine, each with a deadline.
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

  /** The first token came: the prefill is done, the blocks are cached. */
  markPrefilled(engine: BackendServerId, requestId: RequestId): void {
    this.#byEngine.get(engine)?.prefilling.delete(requestId);
  }

  /** The request failed or was cancelled: it neither waits nor left blocks. */
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
   * Prefill tokens placed after `sinceMs`, the time of the load report, and
   * not known to be done.
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

  /** Requests placed on the engine after `sinceMs` that still prefill. */
  prefillingCountSince(
    tag: EngineTag,
    options: { readonly sinceMs: number; readonly nowMs: number },
  ): number {
    return this.#prefillingSince(tag, options).length;
  }

  /** Deepest common start of the chain with what was placed on the engine. */
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

  /** Knowledge of another incarnation or other weights is never used. */
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
