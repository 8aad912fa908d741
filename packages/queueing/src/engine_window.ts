/**
 * How much work is at the engine, and whether more keeps it busy.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import type { FairQueueOptions, Lane, Permit } from "./queue_types.ts";

/**
 * Long prefills at the engine at once: the one that runs and the one that
 * starts when it ends.
 */
const MAX_LONG_PREFILLS = 2;
/**
 * Share of the engine that short prompts may take while a long prefill is
 * there. The engine serves them first, so a flood of them would starve it.
 */
const MAX_SHORT_SHARE = 0.5;
/** Weight of a new measurement of the prefill rate. */
const SAMPLE_WEIGHT = 0.1;

interface RunningRequest {
  readonly permit: Permit;
  isPrefilling: boolean;
}

/**
 * Permits that are out, with an estimate of the prefill work left.
 *
 * @example
 * ```ts
 * if (window.hasRoom({ lane: "long", nowMs, foreignTokens: 0 })) window.add(permit);
 * ```
 */
export class EngineWindow {
  readonly #options: FairQueueOptions;
  readonly #running = new Map<RequestId, RunningRequest>();
  #tokensPerMs: number;
  #lastPrefillEndMs = 0;
  /** Since when a long prefill has been at the engine without a break. */
  #longPrefillSinceMs: number | undefined;
  /** Prefill tokens of the short lane granted since then. */
  #grantedShortTokens = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
    this.#tokensPerMs = options.prefillTokensPerMs;
  }

  /** Prefill rate, measured over permits that kept the engine busy. */
  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  add(permit: Permit): void {
    if (this.#running.size >= this.#options.maxRunningRequests) {
      throw new Error(
        "More permits are out than the engine may run; report this queue to the developers",
      );
    }
    this.#running.set(permit.requestId, { permit, isPrefilling: true });
    if (permit.lane === "long") {
      this.#longPrefillSinceMs ??= permit.grantedAtMs;
    } else if (this.#longPrefillSinceMs !== undefined) {
      this.#grantedShortTokens += permit.prefillTokens;
    }
  }

  /** Prefill tokens handed over and not known to be done. */
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

  /** Prefill tokens handed over, less what should be done by now. */
  remainingTokens(nowMs: number): number {
    return this.tokensAheadOfLane("long", nowMs);
  }

  /** What delays a request of the lane; short ones overtake long ones. */
  tokensAheadOfLane(lane: Lane, nowMs: number): number {
    const shortTokens = this.prefillTokens("short");
    return lane === "short" ? shortTokens : shortTokens +
      this.#remainingLongTokens(this.#prefillingLongPermits(), nowMs);
  }

  /** Tells whether one more request of the lane may be handed over. */
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

  /** The first token came. */
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

  release(requestId: RequestId): boolean {
    const isKnown = this.#running.delete(requestId);
    this.#resetWithoutLongPrefill();
    return isKnown;
  }

  /** Ends permits that nobody released in time. */
  dropExpired(nowMs: number): void {
    for (const [requestId, { permit }] of this.#running) {
      if (permit.expiresAtMs <= nowMs) {
        this.#running.delete(requestId);
      }
    }
    this.#resetWithoutLongPrefill();
  }

  /** When `hasRoom` may next turn true by time alone. */
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

  /** Tokens that the short lane may still be given while longs prefill. */
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
