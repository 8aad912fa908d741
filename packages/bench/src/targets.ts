/**
 * The targets of docs/design.md 1.6 that the bench judges.
 *
 * @module
 */

import type { RunResult } from "./run_trace.ts";

/** A target with what was measured for it. */
export interface TargetCheck {
  readonly target: string;
  readonly bound: number;
  readonly worst: number;
  readonly worstSeed: number;
  readonly isMet: boolean;
}

interface Measure {
  readonly target: string;
  readonly bound: number;
  /** `undefined` when the needed rows are missing. */
  readonly value: (rows: SeedRows) => number | undefined;
}

/** Results of one seed by trace and policy. */
export type SeedRows = (trace: string, policy: string) => RunResult | undefined;

const BASELINES = ["round_robin", "least_loaded", "prefix_hash"];

const MEASURES: readonly Measure[] = [
  {
    target: "tollhaven: p99 / best baseline's p99",
    bound: 0.5,
    value: (rows) =>
      ratio(
        ours(rows, "tollhaven")?.row.ttft_p99_ms,
        bestBaseline(rows, "ttft_p99_ms"),
      ),
  },
  {
    target: "tollhaven: p99 / oracle's p99",
    bound: 1.25,
    value: (rows) =>
      ratio(
        ours(rows, "tollhaven")?.row.ttft_p99_ms,
        rows("tollhaven", "oracle")?.row.ttft_p99_ms,
      ),
  },
  {
    target: "tollhaven: oracle's hit rate - hit rate",
    bound: 0.03,
    value: (rows) => {
      const oracle = rows("tollhaven", "oracle")?.row.prefix_hit_rate;
      const own = ours(rows, "tollhaven")?.row.prefix_hit_rate;
      return oracle === undefined || own === undefined
        ? undefined
        : oracle - own;
    },
  },
  {
    target: "tollhaven: wasted recompute / best baseline's",
    bound: 0.25,
    value: (rows) =>
      ratio(
        ours(rows, "tollhaven")?.row.wasted_recompute_tokens,
        bestBaseline(rows, "wasted_recompute_tokens"),
      ),
  },
  {
    target: "siegelwerk: worst other team's p99 / its p99 alone",
    bound: 1.2,
    value: worstTeamRatio,
  },
  {
    target: "siegelwerk: wrongful refusals without a restart",
    bound: 0.001,
    value: (rows) => ours(rows, "siegelwerk")?.details.wrongfulOtherwise,
  },
  {
    target: "siegelwerk: wrongful refusals in the minute after a restart",
    bound: 0.01,
    value: (rows) => ours(rows, "siegelwerk")?.details.wrongfulAfterRestart,
  },
  {
    target: "siegelwerk: tokens beyond rate and burst",
    bound: 0,
    value: (rows) => ours(rows, "siegelwerk")?.row.limit_excess_tokens,
  },
];

/**
 * Checks each target at its worst seed.
 *
 * @example
 * ```ts
 * const checks = checkTargets(new Map([[1, rowsOfSeed1]]));
 * ```
 */
export function checkTargets(
  seeds: ReadonlyMap<number, SeedRows>,
): TargetCheck[] {
  const checks: TargetCheck[] = [];
  for (const { target, bound, value } of MEASURES) {
    let worst: { value: number; seed: number } | undefined;
    for (const [seed, rows] of seeds) {
      const measured = value(rows);
      const isWorse = measured !== undefined &&
        (worst === undefined || measured > worst.value);
      if (isWorse) {
        worst = { value: measured, seed };
      }
    }
    if (worst !== undefined) {
      checks.push({
        target,
        bound,
        worst: worst.value,
        worstSeed: worst.seed,
        isMet: worst.value <= bound,
      });
    }
  }
  return checks;
}

function ours(rows: SeedRows, trace: string): RunResult | undefined {
  return rows(trace, "endivebend");
}

function bestBaseline(
  rows: SeedRows,
  field: "ttft_p99_ms" | "wasted_recompute_tokens",
): number | undefined {
  const values = BASELINES.flatMap((policy) => {
    const result = rows("tollhaven", policy);
    return result === undefined ? [] : [result.row[field]];
  });
  return values.length === 0 ? undefined : Math.min(...values);
}

function worstTeamRatio(rows: SeedRows): number | undefined {
  const crowded = ours(rows, "siegelwerk")?.details.teamP99Ms;
  const alone = ours(rows, "siegelwerk_alone")?.details.teamP99Ms;
  if (crowded === undefined || alone === undefined) {
    return undefined;
  }
  const ratios = [...crowded].map(([team, p99Ms]) =>
    ratio(p99Ms, alone.get(team)) ?? 0
  );
  return Math.max(...ratios);
}

function ratio(value?: number, base?: number): number | undefined {
  if (value === undefined || base === undefined) {
    return undefined;
  }
  return base === 0 ? (value === 0 ? 0 : Infinity) : value / base;
}
