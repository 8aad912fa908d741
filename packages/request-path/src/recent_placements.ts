/**
 * Prompt segments that this daemon has recently placed, for gossip. Requests
 * for one segment reach many daemons; without each other's placements each of
 * them would have the segment prefilled again at another engine.
 *
 * @module
 */

import type { SegmentKey } from "./cached_segments.ts";
import type { PrefixCacheId } from "./server_registry.ts";

/** Long enough for three gossip messages in a small fleet. */
const MIN_GOSSIP_MS = 650;

interface PlacedSegment {
  readonly cacheId: PrefixCacheId;
  readonly part: SegmentKey;
  readonly untilMs: number;
}

/** Recent placements, oldest first. */
export class RecentPlacements {
  #placed: PlacedSegment[] = [];
  #gossipRoundMs: () => number = () => 0;

  /** Sets the time until gossip has been sent to every daemon. */
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
      this.#placed.push({ cacheId, part: segment, untilMs });
    }
  }

  /** Segments by cache that still have to be gossiped. */
  pending(nowMs: number): Record<PrefixCacheId, SegmentKey[]> {
    this.#placed = this.#placed.filter(({ untilMs }) => untilMs > nowMs);
    const segmentsByCache: Record<PrefixCacheId, SegmentKey[]> = {};
    for (const { cacheId, part: segment } of this.#placed) {
      const segments = segmentsByCache[cacheId] ??= [];
      if (!segments.includes(segment)) segments.push(segment);
    }
    return segmentsByCache;
  }
}
