/**
 * Estimates which prompt segments one prefix cache, of an engine or a store,
 * holds. Placements show what it will prefill; its own events, which the
 * watching daemon gossips, show what it has stored and evicted.
 *
 * @module
 */

import type { Branded } from "@endivebend/types";
import type { CacheScope, PromptSegment, PromptSegmentId } from "./types.ts";

/** A prompt segment within the scope in which it is shared. */
export type SegmentKey = Branded<string, "PartKey">;

/** A change that a cache reported; 0 tokens for an evicted segment. */
export type CacheChange = readonly [segment: SegmentKey, tokens: number];

/** Segments that were placed longer ago have probably been evicted. */
const PLACED_TTL_MS = 10_000;
/** A watched cache that has not reported a segment by then lacks it. */
const UNREPORTED_TTL_MS = 4_000;
/** Each gossip message of the watching daemon names the cache. */
const WATCH_TTL_MS = 3_000;
/** A segment can be fetched once the first request with it is prefilled. */
const PREFILL_MS = 500;
/** Without a watch: an engine short of memory evicts within seconds. */
const UNWATCHED_FETCHABLE_MS = 2_000;
/** Reports lag by about 80 ms and reach the other daemons within 300 ms. */
const REPORT_LAG_MS = 400;
/** Segments tracked for each cache; a prompt has only a few. */
const MAX_SEGMENTS = 4_096;

interface CachedSegment {
  /** First of the latest placements that followed each other within the TTL. */
  firstPlacedMs: number;
  lastPlacedMs: number;
  /** Tokens that the cache reported; undefined without a report. */
  reportedTokens: number | undefined;
}

/** Cached tokens of a prompt's leading shared segments, by certainty. */
export interface CachedTokens {
  /** Cached, or about to be prefilled. */
  readonly expected: number;
  /** Already prefilled, so that requests need not wait for them. */
  readonly read: number;
  /** Certainly cached, so that other engines can fetch them. */
  readonly fetchable: number;
}

/**
 * Builds the key of a segment within its scope.
 *
 * @example
 * ```ts
 * const key = segmentKey(scope, segment.id);
 * ```
 */
export function segmentKey(scope: CacheScope, id: PromptSegmentId): SegmentKey {
  return `${scope}|${id}` as SegmentKey;
}

/** The segments of one cache, least recently used first. */
export class CachedSegments {
  readonly #segments = new Map<SegmentKey, CachedSegment>();
  #watchedAtMs = Number.NEGATIVE_INFINITY;

  /** Records that requests with the segments were sent to the cache. */
  recordPlacement(segments: Iterable<SegmentKey>, nowMs: number): void {
    for (const key of segments) {
      const existing = this.#segments.get(key);
      const isStillExpected = existing !== undefined &&
        this.#isExpected(existing, nowMs);
      this.#segments.delete(key);
      this.#segments.set(key, {
        firstPlacedMs: isStillExpected ? existing.firstPlacedMs : nowMs,
        lastPlacedMs: nowMs,
        reportedTokens: isStillExpected ? existing.reportedTokens : undefined,
      });
    }
    this.#evictOldest();
  }

  /** Records changes that the watch of the cache has reported. */
  recordReport(changes: Iterable<CacheChange>, nowMs: number): void {
    this.#watchedAtMs = nowMs;
    for (const [key, tokens] of changes) this.#applyChange(key, tokens, nowMs);
    this.#evictOldest();
  }

  clear(): void {
    this.#segments.clear();
  }

  /** Counts leading segments; a segment is useful only after all before it. */
  countLeadingTokens(
    shared: readonly PromptSegment[],
    at: { readonly scope: CacheScope; readonly nowMs: number },
  ): CachedTokens {
    const counts = { expected: 0, read: 0, fetchable: 0 };
    const unbroken = { expected: true, read: true, fetchable: true };
    for (const { id, tokens } of shared) {
      const segment = this.#segments.get(segmentKey(at.scope, id));
      const state = segment && this.#stateOf(segment, at.nowMs);
      for (const name of ["expected", "read", "fetchable"] as const) {
        unbroken[name] &&= state?.[name] ?? false;
        if (!unbroken[name]) continue;
        counts[name] += Math.min(tokens, segment?.reportedTokens ?? tokens);
      }
      if (!unbroken.expected) break;
    }
    return counts;
  }

  #applyChange(key: SegmentKey, tokens: number, nowMs: number): void {
    const existing = this.#segments.get(key);
    if (tokens > 0) {
      this.#segments.delete(key);
      this.#segments.set(key, {
        firstPlacedMs: Math.min(
          existing?.firstPlacedMs ?? nowMs,
          nowMs - PREFILL_MS,
        ),
        lastPlacedMs: existing?.lastPlacedMs ?? nowMs,
        reportedTokens: tokens,
      });
      return;
    }
    // A request that was placed after the report will prefill it again.
    const isReportOutdated = existing !== undefined &&
      nowMs - existing.lastPlacedMs < REPORT_LAG_MS;
    if (!isReportOutdated) return void this.#segments.delete(key);
    existing.firstPlacedMs = existing.lastPlacedMs;
    existing.reportedTokens = undefined;
  }

  #stateOf(segment: CachedSegment, nowMs: number) {
    const isReported = segment.reportedTokens !== undefined;
    const expected = this.#isExpected(segment, nowMs);
    const read = expected &&
      (isReported || nowMs - segment.firstPlacedMs >= PREFILL_MS);
    const isFresh = nowMs - segment.lastPlacedMs <= UNWATCHED_FETCHABLE_MS;
    const fetchable = read &&
      (this.#isWatched(nowMs) ? isReported : isFresh);
    return { expected, read, fetchable };
  }

  #isExpected(segment: CachedSegment, nowMs: number): boolean {
    const isWatched = this.#isWatched(nowMs);
    if (isWatched && segment.reportedTokens !== undefined) return true;
    const ttlMs = isWatched ? UNREPORTED_TTL_MS : PLACED_TTL_MS;
    return nowMs - segment.lastPlacedMs <= ttlMs;
  }

  #isWatched(nowMs: number): boolean {
    return nowMs - this.#watchedAtMs <= WATCH_TTL_MS;
  }

  #evictOldest(): void {
    for (const key of this.#segments.keys()) {
      if (this.#segments.size <= MAX_SEGMENTS) return;
      this.#segments.delete(key);
    }
  }
}
