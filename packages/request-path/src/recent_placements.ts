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

/**
 * Segments that are gossiped at a time, the newest. Callers choose how many a
 * prompt has, and a message must fit into a datagram of 64 KiB.
 */
const MAX_PENDING = 256;

interface PlacedSegment {
  readonly cacheId: PrefixCacheId;
  readonly part: SegmentKey;
  readonly untilMs: number;
}

/** Recent placements, oldest first. */
export class RecentPlacements {
  /** By cache and segment. */
  readonly #placed = new Map<string, PlacedSegment>();
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
    for (const part of segments) {
      const key = `${cacheId} ${part}`;
      this.#placed.delete(key);
      this.#placed.set(key, { cacheId, part, untilMs });
    }
    for (const key of this.#placed.keys()) {
      if (this.#placed.size <= MAX_PENDING) return;
      this.#placed.delete(key);
    }
  }

  /** Segments by cache that still have to be gossiped. */
  pending(nowMs: number): Record<PrefixCacheId, SegmentKey[]> {
    const segmentsByCache: Record<PrefixCacheId, SegmentKey[]> = {};
    for (const [key, { cacheId, part, untilMs }] of this.#placed) {
      if (untilMs <= nowMs) this.#placed.delete(key);
      else (segmentsByCache[cacheId] ??= []).push(part);
    }
    return segmentsByCache;
  }
}
