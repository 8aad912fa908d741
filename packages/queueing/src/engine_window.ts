/**
 * Tracks the work that an engine has been given and decides whether it may be
 * given more.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import type { FairQueueOptions, Lane, Permit } from "./queue_types.ts";

/**
 * Maximum number of long prefills at the engine: the one that runs and the one
 * that starts when it ends.
 */
const MAX_LONG_PREFILLS = 2;
/**
 * Share of the engine's prefill rate that short prompts may use while a long
 * prefill is at the engine. The engine serves short prompts first, so without a
 * limit many of them would starve the long one.
 */
const MAX_SHORT_SHARE = 0.5;
/** Weight of a new measurement in the moving mean of the prefill rate. */
const SAMPLE_WEIGHT = 0.1;

interface RunningRequest {
  readonly permit: Permit;
  isPrefilling: boolean;
}

/**
 * Active permits of one engine, with an estimate of the prefill work left.
 *
 * @example
 * ```ts
 * if (window.hasRoom({ lane: "long", nowMs, externalTokens: 0 })) {
 *   window.add(permit);
 * }
 * ```
 */
export class EngineWindow {
  readonly #options: FairQueueOptions;
  readonly #running = new Map<RequestId, RunningRequest>();
  #tokensPerMs: number;
  #lastPrefillEndMs = 0;
  /** Start of the period in which the engine always had a long prefill. */
  #longPrefillSinceMs: number | undefined;
  /** Prefill tokens granted to the short lane in that period. */
  #grantedShortTokens = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
    this.#tokensPerMs = options.prefillTokensPerMs;
  }

  /** Prefill rate, measured over long prefills. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  /** Number of active permits. */
  get runningCount(): number {
    return this.#running.size;
  }

  /**
   * Adds a permit. Throws when the engine already runs as many requests as it
   * may.
   */
  add(permit: Permit): void {
    if (this.#running.size >= this.#options.maxRunningRequests) {
      throw new Error(
        "A permit was granted although the engine already runs as many requests as it may; report this bug of the queue to the developers",
      );
    }
    this.#running.set(permit.requestId, { permit, isPrefilling: true });
    if (permit.lane === "long") {
      this.#longPrefillSinceMs ??= permit.grantedAtMs;
    } else if (this.#longPrefillSinceMs !== undefined) {
      this.#grantedShortTokens += permit.prefillTokens;
    }
  }

  /**
   * Returns the prefill tokens given to the engine and not known to be done, of
   * one lane or of both.
   */
  prefillTokens(lane?: Lane): number {
    let tokens = 0;
    for (const { permit, isPrefilling } of this.#running.values()) {
      const isCounted = lane === undefined || permit.lane === lane;
      if (isPrefilling && isCounted) {
        tokens += permit.prefillTokens;
      }
    }
    return tokens;
  }

  /**
   * Returns the prefill tokens given to the engine, less the long ones that it
   * should have done by now at its measured rate.
   */
  remainingTokens(nowMs: number): number {
    return this.tokensAheadOfLane("long", nowMs);
  }

  /**
   * Returns the prefill tokens at the engine that come before a new request of
   * the lane. Short requests overtake long ones.
   */
  tokensAheadOfLane(lane: Lane, nowMs: number): number {
    const shortTokens = this.prefillTokens("short");
    return lane === "short" ? shortTokens : shortTokens +
      this.#remainingLongTokens(this.#prefillingLongPermits(), nowMs);
  }

  /** Returns whether the engine may be given one more request of the lane. */
  hasRoom(at: { lane: Lane; nowMs: number; externalTokens: number }): boolean {
    if (this.#running.size >= this.#options.maxRunningRequests) {
      return false;
    }
    if (at.lane === "short") {
      return this.prefillTokens("short") < this.#options.shortWindowTokens &&
        this.#shortAllowance(at.nowMs) > 0;
    }
    const longPermits = this.#prefillingLongPermits();
    if (longPermits.length >= MAX_LONG_PREFILLS) {
      return false;
    }
    const remaining = this.#remainingLongTokens(longPermits, at.nowMs);
    return remaining + at.externalTokens < this.#options.windowTokens;
  }

  /** Records the first token of a request: its prefill is done. */
  markPrefilled(requestId: RequestId, nowMs: number): void {
    const running = this.#running.get(requestId);
    if (running === undefined || !running.isPrefilling) {
      return;
    }
    running.isPrefilling = false;
    this.#updateRate(running.permit, nowMs);
    this.#lastPrefillEndMs = nowMs;
    this.#resetWithoutLongPrefill();
  }

  /** Ends a permit. Returns false when there is none for the request. */
  release(requestId: RequestId): boolean {
    const isKnown = this.#running.delete(requestId);
    this.#resetWithoutLongPrefill();
    return isKnown;
  }

  /** Ends permits that were not released before they expired. */
  dropExpired(nowMs: number): void {
    for (const [requestId, { permit }] of this.#running) {
      if (permit.expiresAtMs <= nowMs) {
        this.#running.delete(requestId);
      }
    }
    this.#resetWithoutLongPrefill();
  }

  /**
   * Returns the time at which `hasRoom` may become true without another event,
   * or `undefined` when only an event can make room.
   */
  nextRoomAtMs(nowMs: number): number | undefined {
    const times = [this.#longRoomAtMs(nowMs), this.#shortRoomAtMs(nowMs)];
    const known = times.filter((time) => time !== undefined);
    return known.length > 0 ? Math.min(...known) : undefined;
  }

  #longRoomAtMs(nowMs: number): number | undefined {
    const longPermits = this.#prefillingLongPermits();
    const mayOpenWithTime = longPermits.length > 0 &&
      longPermits.length < MAX_LONG_PREFILLS &&
      this.#running.size < this.#options.maxRunningRequests;
    if (!mayOpenWithTime) {
      return undefined;
    }
    const remaining = this.#remainingLongTokens(longPermits, nowMs);
    const excess = remaining - this.#options.windowTokens;
    return nowMs + Math.max(0, excess / this.#tokensPerMs) + 1;
  }

  /** Tokens that the short lane may still be granted during long prefills. */
  #shortAllowance(nowMs: number): number {
    if (this.#longPrefillSinceMs === undefined) {
      return Infinity;
    }
    const elapsedMs = nowMs - this.#longPrefillSinceMs;
    const earned = elapsedMs * this.#tokensPerMs * MAX_SHORT_SHARE;
    return this.#options.maxShortLeadTokens + earned - this.#grantedShortTokens;
  }

  #shortRoomAtMs(nowMs: number): number | undefined {
    const allowance = this.#shortAllowance(nowMs);
    if (allowance > 0) {
      return undefined;
    }
    return nowMs - allowance / (this.#tokensPerMs * MAX_SHORT_SHARE) + 1;
  }

  #resetWithoutLongPrefill(): void {
    if (this.#prefillingLongPermits().length === 0) {
      this.#longPrefillSinceMs = undefined;
      this.#grantedShortTokens = 0;
    }
  }

  #prefillingLongPermits(): Permit[] {
    const longPermits: Permit[] = [];
    for (const { permit, isPrefilling } of this.#running.values()) {
      if (isPrefilling && permit.lane === "long") {
        longPermits.push(permit);
      }
    }
    return longPermits;
  }

  #remainingLongTokens(longPermits: readonly Permit[], nowMs: number): number {
    const [first] = longPermits;
    if (first === undefined) {
      return 0;
    }
    const startedAtMs = Math.max(first.grantedAtMs, this.#lastPrefillEndMs);
    const done = Math.max(0, nowMs - startedAtMs) * this.#tokensPerMs;
    const tokens = longPermits.reduce(
      (sum, long) => sum + long.prefillTokens,
      0,
    );
    return Math.max(0, tokens - done);
  }

  #updateRate(permit: Permit, nowMs: number): void {
    const startedAtMs = Math.max(permit.grantedAtMs, this.#lastPrefillEndMs);
    const durationMs = nowMs - startedAtMs;
    if (permit.lane !== "long" || durationMs <= 0) {
      return;
    }
    const measured = permit.prefillTokens / durationMs;
    const clamped = Math.min(
      this.#tokensPerMs * 2,
      Math.max(this.#tokensPerMs / 2, measured),
    );
    this.#tokensPerMs += SAMPLE_WEIGHT * (clamped - this.#tokensPerMs);
  }
}
