/**
 * Prompt parts that this daemon has lately placed, for the other daemons.
 * Answers a load where requests for one part reach many daemons: without each
 * other's placements each of them would have the part read again.
 *
 * @module
 */

import type { SegmentKey } from "./kept_parts.ts";
import type { PrefixCacheId } from "./server_registry.ts";

/** A placement is told in three messages of a small fleet. */
const MIN_GOSSIP_MS = 650;

interface PlacedSegment {
  readonly cacheId: PrefixCacheId;
  readonly part: SegmentKey;
  readonly untilMs: number;
}

/** Placements in the order in which they were made. */
export class RecentPlacements {
  #placed: PlacedSegment[] = [];
  #gossipRoundMs: () => number = () => 0;

  /** Sets how long it takes until every daemon has been told. */
  setGossipRound(gossipRoundMs: () => number): void {
    this.#gossipRoundMs = gossipRoundMs;
  }

  add(
    cacheId: PrefixCacheId,
    segments: readonly SegmentKey[],
    nowMs: number,
  ): void {
    const untilMs = nowMs + Math.max(MIN_GOSSIP_MS, this.#gossipRoundMs());
    for (const segment of segments) {
      this.#placed.push({ cacheId: cacheId, part: segment, untilMs });
    }
  }

  /** Parts by memory, those that have been told often enough left out. */
  pending(nowMs: number): Record<PrefixCacheId, SegmentKey[]> {
    this.#placed = this.#placed.filter(({ untilMs }) => untilMs > nowMs);
    const segmentsByCache: Record<PrefixCacheId, SegmentKey[]> = {};
    for (const { cacheId: cacheId, part: segment } of this.#placed) {
      const segments = segmentsByCache[cacheId] ??= [];
      if (!segments.includes(segment)) segments.push(segment);
    }
    return segmentsByCache;
  }
}
