/**
 * What one memory, an engine's or a store's, is believed to keep of prompts.
 * Placements tell what it will read; its own events, which a watching daemon
 * passes on, tell what it has stored and dropped.
 *
 * @module
 */

import type { Branded } from "@endivebend/types";
import type { CacheScope, PromptSegment, PromptSegmentId } from "./types.ts";

/** A prompt part within the scope in which it is shared. */
export type SegmentKey = Branded<string, "PartKey">;

/** A change that a memory reported; no tokens are left of a dropped part. */
export type CacheChange = readonly [part: SegmentKey, tokens: number];

/** Parts that were placed longer ago are likely evicted. */
const PLACED_TTL_MS = 10_000;
/** A watched memory reports a part within this time, or has not read it. */
const UNREPORTED_TTL_MS = 4_000;
/** The daemon that watches a memory tells of it in each message. */
const WATCH_TTL_MS = 3_000;
/** A part can be fetched once the first request with it has been read. */
const PREFILL_MS = 500;
/** An engine under pressure evicts parts within seconds. */
const UNWATCHED_FETCHABLE_MS = 2_000;
/** Reports lag by some 80 ms and reach the other daemons within 300 ms. */
const REPORT_LAG_MS = 400;
/** Parts remembered for each memory; a chain has a few parts. */
const MAX_SEGMENTS = 4_096;

interface CachedSegment {
  /** When it was first placed of those placements that followed closely. */
  firstPlacedMs: number;
  lastPlacedMs: number;
  /** Tokens that the memory reported; undefined when it reported none. */
  reportedTokens: number | undefined;
}

/** Tokens of a prompt's leading shared parts, by how sure they are. */
export interface CachedTokens {
  /** Kept, or about to be read. */
  readonly expected: number;
  /** Read already, so that requests need not wait for them. */
  readonly read: number;
  /** Surely kept, so that other engines can fetch them. */
  readonly fetchable: number;
}

/**
 * Names a part within its scope.
 *
 * @example
 * ```ts
 * const key = partKey(scope, part.id);
 * ```
 */
export function segmentKey(scope: CacheScope, id: PromptSegmentId): SegmentKey {
  return `${scope}|${id}` as SegmentKey;
}

/** The parts of one memory, in order of use. */
export class CachedSegments {
  readonly #segments = new Map<SegmentKey, CachedSegment>();
  #watchedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests with the parts were sent to the engine. */
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

  /** The memory is being watched and has reported these changes. */
  recordReport(changes: Iterable<CacheChange>, nowMs: number): void {
    this.#watchedAtMs = nowMs;
    for (const [key, tokens] of changes) this.#applyChange(key, tokens, nowMs);
    this.#evictOldest();
  }

  clear(): void {
    this.#segments.clear();
  }

  /** Counts the leading parts; one is of use only after all before it. */
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
    // A request that was placed since the report will read the part again.
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
