/**
 * Prints results.
 *
 * @module
 */

import type { ScenarioResult } from "./run_scenario.ts";

const COLUMNS = [
  ["calls", "calls"],
  ["answered", "answered"],
  ["refused", "refused"],
  ["doubled", "doubled"],
  ["lost", "lost"],
  ["false_not_run", "falseNotRun"],
  ["cut", "cut"],
  ["incomplete", "incomplete"],
  ["broken", "broken"],
  ["corrupt", "corrupt"],
] as const;

/** One result as lines of text. */
export function formatResult(
  result: ScenarioResult,
  options: { readonly showsHarm: boolean },
): string {
  const { name, seed, figures, checks, misses, harm } = result;
  const verdict = misses.length === 0 ? "met" : "MISSED";
  const counts = COLUMNS.map(([label, key]) => `${label}=${figures[key]}`);
  const recover = `recover_s=${figures.recoverSeconds.toFixed(1)}`;
  const lines = [
    `${verdict} ${name} seed=${seed} ${counts.join(" ")} ${recover}`,
    ...checks.map((check) =>
      `    ${check.isMet ? "met" : "MISSED"} ${check.name}: ${check.detail}`
    ),
    ...misses.map((miss) => `    missed: ${miss}`),
  ];
  if (options.showsHarm || misses.length > 0) {
    lines.push(
      ...Object.entries(harm).map(([key, count]) => `    ${count} x ${key}`),
    );
  }
  return lines.join("\n");
}

/** One scenario that could not be run. */
export function formatFailure(name: string, caught: unknown): string {
  const message = caught instanceof Error ? caught.message : String(caught);
  return `FAILED ${name}: ${message}`;
}
