/**
 * What one memory, an engine's or a store's, is believed to keep of prompts.
 * Placements tell what it will read; its own events, which a watching daemon
 * passes on, tell what it has stored and dropped.
 *
 * @module
 */

import type { Branded } from "@endivebend/types";
import type { CacheScope, PromptPart, PromptPartId } from "./types.ts";

/** A prompt part within the scope in which it is shared. */
export type PartKey = Branded<string, "PartKey">;

/** A change that a memory reported; no tokens are left of a dropped part. */
export type KeptChange = readonly [part: PartKey, tokens: number];

/** Parts that were placed longer ago are likely evicted. */
const PLACED_LIFE_MS = 10_000;
/** A watched memory reports a part within this time, or has not read it. */
const UNREPORTED_LIFE_MS = 4_000;
/** The daemon that watches a memory tells of it in each message. */
const WATCHED_LIFE_MS = 3_000;
/** A part can be fetched once the first request with it has been read. */
const READ_MS = 500;
/** An engine under pressure evicts parts within seconds. */
const FRESH_MS = 2_000;
/** Reports lag by some 80 ms and reach the other daemons within 300 ms. */
const REPORT_LAG_MS = 400;
/** Parts remembered for each memory; a chain has a few parts. */
const MAX_PARTS = 4_096;

interface KeptPart {
  /** When it was first placed of those placements that followed closely. */
  firstMs: number;
  lastMs: number;
  /** Tokens that the memory reported; undefined when it reported none. */
  reportedTokens: number | undefined;
}

/** Tokens of a prompt's leading shared parts, by how sure they are. */
export interface KeptTokens {
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
export function partKey(scope: CacheScope, id: PromptPartId): PartKey {
  return `${scope}|${id}` as PartKey;
}

/** The parts of one memory, in order of use. */
export class KeptParts {
  readonly #parts = new Map<PartKey, KeptPart>();
  #watchedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests with the parts were sent to the engine. */
  notePlaced(parts: Iterable<PartKey>, nowMs: number): void {
    for (const key of parts) {
      const known = this.#parts.get(key);
      const isKept = known !== undefined && this.#isExpected(known, nowMs);
      this.#parts.delete(key);
      this.#parts.set(key, {
        firstMs: isKept ? known.firstMs : nowMs,
        lastMs: nowMs,
        reportedTokens: isKept ? known.reportedTokens : undefined,
      });
    }
    this.#forgetOldest();
  }

  /** The memory is being watched and has reported these changes. */
  noteReported(changes: Iterable<KeptChange>, nowMs: number): void {
    this.#watchedAtMs = nowMs;
    for (const [key, tokens] of changes) this.#noteChange(key, tokens, nowMs);
    this.#forgetOldest();
  }

  clear(): void {
    this.#parts.clear();
  }

  /** Counts the leading parts; one is of use only after all before it. */
  tokensOf(
    shared: readonly PromptPart[],
    at: { readonly scope: CacheScope; readonly nowMs: number },
  ): KeptTokens {
    const counts = { expected: 0, read: 0, fetchable: 0 };
    const open = { expected: true, read: true, fetchable: true };
    for (const { id, tokens } of shared) {
      const part = this.#parts.get(partKey(at.scope, id));
      const state = part && this.#stateOf(part, at.nowMs);
      for (const name of ["expected", "read", "fetchable"] as const) {
        open[name] &&= state?.[name] ?? false;
        if (!open[name]) continue;
        counts[name] += Math.min(tokens, part?.reportedTokens ?? tokens);
      }
      if (!open.expected) break;
    }
    return counts;
  }

  #noteChange(key: PartKey, tokens: number, nowMs: number): void {
    const known = this.#parts.get(key);
    if (tokens > 0) {
      this.#parts.delete(key);
      this.#parts.set(key, {
        firstMs: Math.min(known?.firstMs ?? nowMs, nowMs - READ_MS),
        lastMs: known?.lastMs ?? nowMs,
        reportedTokens: tokens,
      });
      return;
    }
    // A request that was placed since the report will read the part again.
    const isOutdated = known !== undefined &&
      nowMs - known.lastMs < REPORT_LAG_MS;
    if (!isOutdated) return void this.#parts.delete(key);
    known.firstMs = known.lastMs;
    known.reportedTokens = undefined;
  }

  #stateOf(part: KeptPart, nowMs: number) {
    const isReported = part.reportedTokens !== undefined;
    const expected = this.#isExpected(part, nowMs);
    const read = expected && (isReported || nowMs - part.firstMs >= READ_MS);
    const isFresh = nowMs - part.lastMs <= FRESH_MS;
    const fetchable = read &&
      (this.#isWatched(nowMs) ? isReported : isFresh);
    return { expected, read, fetchable };
  }

  #isExpected(part: KeptPart, nowMs: number): boolean {
    const isWatched = this.#isWatched(nowMs);
    if (isWatched && part.reportedTokens !== undefined) return true;
    const lifeMs = isWatched ? UNREPORTED_LIFE_MS : PLACED_LIFE_MS;
    return nowMs - part.lastMs <= lifeMs;
  }

  #isWatched(nowMs: number): boolean {
    return nowMs - this.#watchedAtMs <= WATCHED_LIFE_MS;
  }

  #forgetOldest(): void {
    for (const key of this.#parts.keys()) {
      if (this.#parts.size <= MAX_PARTS) return;
      this.#parts.delete(key);
    }
  }
}
