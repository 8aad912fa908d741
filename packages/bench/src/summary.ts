/**
 * The table on standard output.
 *
 * @module
 */

import type { ResultRow } from "./metrics.ts";
import type { TargetCheck } from "./targets.ts";

const COLUMNS: readonly (readonly [string, number])[] = [
  ["trace", 16],
  ["policy", 13],
  ["seed", 5],
  ["hit rate", 9],
  ["p50 ms", 9],
  ["p99 ms", 10],
  ["wasted tok", 12],
  ["worst team", 11],
  ["wrongful", 9],
  ["excess", 7],
  ["requests", 9],
];

/** The head of the table. */
export const TABLE_HEAD = COLUMNS.map(([name, width]) => name.padEnd(width))
  .join("");

/** One line of the table. */
export function formatRow(row: ResultRow): string {
  const cells = [
    row.trace,
    row.policy,
    row.seed,
    row.prefix_hit_rate.toFixed(4),
    row.ttft_p50_ms.toFixed(1),
    row.ttft_p99_ms.toFixed(1),
    row.wasted_recompute_tokens,
    row.worst_team_ttft_p99_ms.toFixed(1),
    row.wrongful_refusal_rate.toFixed(5),
    row.limit_excess_tokens,
    row.requests,
  ];
  return cells.map((cell, index) => String(cell).padEnd(COLUMNS[index]![1]))
    .join("");
}

/** The targets, each at its worst seed. */
export function formatTargets(checks: readonly TargetCheck[]): string {
  const lines = checks.map((check) => {
    const verdict = check.isMet ? "met   " : "MISSED";
    const measured = check.worst.toFixed(4);
    return `${verdict} ${check.target}: ${measured} at seed ${check.worstSeed}, bound ${check.bound}`;
  });
  return ["", "Targets at the worst seed:", ...lines].join("\n");
}
