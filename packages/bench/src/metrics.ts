/**
 * What a run is judged by.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import { TOKENS_PER_BLOCK } from "@endivebend/types";
import type { ReferenceLimits } from "./reference_limits.ts";
import type { TraceHeader } from "./trace.ts";

/** One row of the output. */
export interface ResultRow {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  readonly prefix_hit_rate: number;
  readonly ttft_p50_ms: number;
  readonly ttft_p99_ms: number;
  readonly wasted_recompute_tokens: number;
  readonly worst_team_ttft_p99_ms: number;
  readonly wrongful_refusal_rate: number;
  readonly limit_excess_tokens: number;
  readonly requests: number;
}

/** Results that are not in the row. */
export interface ResultDetails {
  /** p99 time to first token by team, without the heavy one. */
  readonly teamP99Ms: ReadonlyMap<string, number>;
  readonly refused: ReadonlyMap<string, number>;
  readonly retries: number;
  /** Of the requests in the minute after a restart of routers. */
  readonly wrongfulAfterRestart: number;
  /** Of the others. */
  readonly wrongfulOtherwise: number;
}

const MICROSECONDS = 1000;
const SIGNIFICANT_DIGITS = 4;

/** When a request arrived. */
export interface Arrival {
  /** Within the minute after routers restarted. */
  readonly isAfterRestart: boolean;
}

/** Collects a run's measurements. */
export class RunMetrics {
  retries = 0;
  readonly #header: TraceHeader;
  readonly #all = newHistogram();
  readonly #byTeam = new Map<string, ReturnType<typeof newHistogram>>();
  readonly #refused = new Map<string, number>();
  readonly #afterRestart = new Set<string>();
  readonly #refusedIds = new Set<string>();
  #cachedBlocks = 0;
  #promptBlocks = 0;
  #wastedTokens = 0;
  #requests = 0;

  constructor(header: TraceHeader) {
    this.#header = header;
  }

  countRequest(requestId: string, arrival: Arrival): void {
    this.#requests++;
    if (arrival.isAfterRestart) {
      this.#afterRestart.add(requestId);
    }
  }

  recordTtft(team: string, ttftMs: number): void {
    const microseconds = Math.max(1, Math.round(ttftMs * MICROSECONDS));
    this.#all.recordValue(microseconds);
    const known = this.#byTeam.get(team) ?? newHistogram();
    this.#byTeam.set(team, known);
    known.recordValue(microseconds);
  }

  recordPrefill(blocks: { cached: number; total: number }): void {
    this.#cachedBlocks += blocks.cached;
    this.#promptBlocks += blocks.total;
  }

  recordWastedBlock(): void {
    this.#wastedTokens += TOKENS_PER_BLOCK;
  }

  recordRefusal(requestId: string, code: string): void {
    this.#refusedIds.add(requestId);
    this.#refused.set(code, (this.#refused.get(code) ?? 0) + 1);
  }

  row(
    run: { readonly policy: string; readonly limits: ReferenceLimits },
  ): ResultRow {
    const { limits, policy } = run;
    const { refused, total } = this.#wrongful(limits.withinLimits);
    return {
      trace: this.#header.trace,
      policy,
      seed: this.#header.seed,
      prefix_hit_rate: rounded(
        this.#cachedBlocks / Math.max(1, this.#promptBlocks),
        5,
      ),
      ttft_p50_ms: percentile(this.#all, 50),
      ttft_p99_ms: percentile(this.#all, 99),
      wasted_recompute_tokens: this.#wastedTokens,
      worst_team_ttft_p99_ms: Math.max(0, ...this.#teamP99().values()),
      wrongful_refusal_rate: rounded(refused / Math.max(1, total), 6),
      limit_excess_tokens: rounded(limits.excessTokens, 0),
      requests: this.#requests,
    };
  }

  details(limits: ReferenceLimits): ResultDetails {
    const within = [...limits.withinLimits];
    const isAfter = (id: string) => this.#afterRestart.has(id);
    const after = this.#wrongful(within.filter(isAfter));
    const before = this.#wrongful(within.filter((id) => !isAfter(id)));
    return {
      wrongfulAfterRestart: after.refused / Math.max(1, after.total),
      wrongfulOtherwise: before.refused / Math.max(1, before.total),
      teamP99Ms: this.#teamP99(),
      refused: this.#refused,
      retries: this.retries,
    };
  }

  #wrongful(within: Iterable<string>): { refused: number; total: number } {
    const ids = [...within];
    const refused = ids.filter((id) => this.#refusedIds.has(id));
    return { refused: refused.length, total: ids.length };
  }

  #teamP99(): Map<string, number> {
    const light = this.#header.teams.filter((team) => !team.heavy);
    const result = new Map<string, number>();
    for (const { id } of light) {
      const histogram = this.#byTeam.get(id);
      if (histogram !== undefined) {
        result.set(id, percentile(histogram, 99));
      }
    }
    return result;
  }
}

function newHistogram() {
  return build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    autoResize: true,
  });
}

function percentile(
  histogram: ReturnType<typeof newHistogram>,
  share: number,
): number {
  return rounded(histogram.getValueAtPercentile(share) / MICROSECONDS, 2);
}

function rounded(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
