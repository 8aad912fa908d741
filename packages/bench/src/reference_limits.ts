/**
 * The exact rate and burst of each team, kept at one place. It decides which
 * refusals were wrongful and measures what was granted beyond the limits.
 *
 * @module
 */

import type { TraceHeader, TraceTeam } from "./trace.ts";

/** A token bucket that knows the exact time of each charge. */
export class ExactBucket {
  readonly #team: TraceTeam;
  #level: number;
  #atMs = 0;

  constructor(team: TraceTeam) {
    this.#team = team;
    this.#level = team.burstTokens;
  }

  /** Tokens at a time; below zero after an overdraft. */
  levelAt(nowMs: number): number {
    const gained = (nowMs - this.#atMs) * this.#team.rateTokensPerSecond / 1000;
    this.#level = Math.min(this.#team.burstTokens, this.#level + gained);
    this.#atMs = nowMs;
    return this.#level;
  }

  spend(tokens: number, nowMs: number): void {
    this.#level = this.levelAt(nowMs) - tokens;
  }

  /** Time until the level reaches the tokens. */
  waitMs(tokens: number, nowMs: number): number {
    const missing = tokens - this.levelAt(nowMs);
    return Math.max(0, missing / this.#team.rateTokensPerSecond * 1000);
  }
}

/** Judges a run's charges. */
export class ReferenceLimits {
  /** Buckets that spend what the teams asked for, granted or not. */
  readonly #offered = new Map<string, ExactBucket>();
  /** Buckets that spend what the run granted. */
  readonly #granted = new Map<string, ExactBucket>();
  readonly #bursts = new Map<string, number>();
  readonly #within = new Set<string>();
  readonly #worstExcess = new Map<string, number>();

  constructor(header: TraceHeader) {
    for (const team of header.teams) {
      this.#offered.set(team.id, new ExactBucket(team));
      this.#granted.set(team.id, new ExactBucket(team));
      this.#bursts.set(team.id, team.burstTokens);
    }
  }

  /** Requests that were granted or that their team could claim. */
  get withinLimits(): ReadonlySet<string> {
    return this.#within;
  }

  /** Sum over teams of the most that was granted beyond rate and burst. */
  get excessTokens(): number {
    return [...this.#worstExcess.values()].reduce((sum, one) => sum + one, 0);
  }

  /** An arrival; its team can claim it while all it asked for fits. */
  arrive(request: ChargedRequest, nowMs: number): void {
    const bucket = this.#offered.get(request.team)!;
    const floor = -this.#bursts.get(request.team)!;
    const left = bucket.levelAt(nowMs) - request.costTokens;
    // The debt of a team that asks for too much is bounded by its burst.
    const most = bucket.levelAt(nowMs) - floor;
    bucket.spend(Math.min(request.costTokens, most), nowMs);
    if (left >= 0) {
      this.#within.add(request.id);
    }
  }

  grant(request: ChargedRequest, nowMs: number): void {
    this.#within.add(request.id);
    const bucket = this.#granted.get(request.team)!;
    bucket.spend(request.costTokens, nowMs);
    const excess = -bucket.levelAt(nowMs);
    // Smaller overdrafts are rounding of the level.
    if (excess > ROUNDING_TOKENS) {
      const worst = this.#worstExcess.get(request.team) ?? 0;
      this.#worstExcess.set(request.team, Math.max(worst, excess));
    }
  }
}

/** A request with its price. */
export interface ChargedRequest {
  readonly id: string;
  readonly team: string;
  readonly costTokens: number;
}

const ROUNDING_TOKENS = 1e-3;
