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

interface Entry {
  readonly placement: Placement;
  isPrefilling: boolean;
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
  readonly #byEngine = new Map<BackendServerId, Map<RequestId, Entry>>();

  add(placement: Placement): void {
    let entries = this.#byEngine.get(placement.engine);
    if (entries === undefined) {
      entries = new Map();
      this.#byEngine.set(placement.engine, entries);
    }
    entries.set(placement.requestId, { placement, isPrefilling: true });
  }

  /** The first token came: the prefill is done, the blocks are cached. */
  markPrefilled(engine: BackendServerId, requestId: RequestId): void {
    const entry = this.#byEngine.get(engine)?.get(requestId);
    if (entry !== undefined) {
      entry.isPrefilling = false;
    }
  }

  /** The request failed or was cancelled: it neither waits nor left blocks. */
  remove(engine: BackendServerId, requestId: RequestId): void {
    this.#byEngine.get(engine)?.delete(requestId);
  }

  dropEngine(engine: BackendServerId): void {
    this.#byEngine.delete(engine);
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
    for (
      const { placement, isPrefilling } of this.#entries(tag, options.nowMs)
    ) {
      if (isPrefilling && placement.placedAtMs > options.sinceMs) {
        tokens += placement.prefillTokens;
      }
    }
    return tokens;
  }

  /** Requests placed on the engine after `sinceMs` that still prefill. */
  countSince(
    tag: EngineTag,
    options: { readonly sinceMs: number; readonly nowMs: number },
  ): number {
    let count = 0;
    for (
      const { placement, isPrefilling } of this.#entries(tag, options.nowMs)
    ) {
      if (isPrefilling && placement.placedAtMs > options.sinceMs) {
        count++;
      }
    }
    return count;
  }

  /** Deepest common start of the chain with what was placed on the engine. */
  depth(
    tag: EngineTag,
    options: { readonly blocks: readonly BlockHash[]; readonly nowMs: number },
  ): number {
    let deepest = 0;
    for (const { placement } of this.#entries(tag, options.nowMs)) {
      deepest = Math.max(
        deepest,
        sharedDepth(placement.blocks, options.blocks),
      );
    }
    return deepest;
  }

  *#entries(tag: EngineTag, nowMs: number): Iterable<Entry> {
    const entries = this.#byEngine.get(tag.engine);
    if (entries === undefined) {
      return;
    }
    for (const [requestId, entry] of entries) {
      const isOver = entry.placement.deadlineMs <= nowMs ||
        !isSameTag(entry.placement, tag);
      if (isOver) {
        entries.delete(requestId);
      } else {
        yield entry;
      }
    }
  }
}

/**
 * The number of blocks that two chains have in common from their roots.
 * Chained hashes make the deepest equal block decide for all above it.
 *
 * @example
 * ```ts
 * sharedDepth(cached, wanted); // 3
 * ```
 */
export function sharedDepth(
  a: readonly BlockHash[],
  b: readonly BlockHash[],
): number {
  let low = 0;
  let high = Math.min(a.length, b.length);
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (a[middle - 1] === b[middle - 1]) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}
