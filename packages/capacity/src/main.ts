/**
 * Measures slopes for docs/CAPACITY.md.
 *
 *     npm run capacity -- [--only NAME] [--json FILE]
 *     npm run capacity -- --budget FILE
 *     npm run capacity -- --coverage
 *
 * `--only` takes the start of a series' name, such as `prefix_index`.
 * `--budget` prints the control budget from the slopes in a file that `--json`
 * wrote. `--coverage` prints how well daemons see each other.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { parseArgs } from "node:util";
import { loadHasher } from "@endivebend/routing";
import { changedLines } from "./budget/changed_lines.ts";
import { presentLines } from "./budget/lines.ts";
import { formatArithmetic, formatTable } from "./budget/print.ts";
import { Slopes } from "./budget/slopes.ts";
import { measureCoverage } from "./coverage.ts";
import { type MeasuredSeries, runSeries } from "./measure.ts";
import { formatHeader, formatSeries } from "./report.ts";
import { ALL_SERIES } from "./series/mod.ts";

const COVERAGE_SIZES = [20, 97, 161, 200, 300, 410];

const { values } = parseArgs({
  options: {
    json: { type: "string" },
    only: { type: "string" },
    budget: { type: "string" },
    coverage: { type: "boolean" },
  },
});

function printBudget(path: string): void {
  const { measured } = JSON.parse(readFileSync(path, "utf8"));
  const slopes = new Slopes(measured);
  const budgets = [
    ["As the code is", presentLines(slopes)],
    ["After the proposed changes", changedLines(slopes)],
  ] as const;
  for (const [title, lines] of budgets) {
    const parts = [title, formatTable(lines), formatArithmetic(lines)];
    console.log(`${parts.join("\n\n")}\n`);
  }
}

function printCoverage(): void {
  console.log("daemons, % absent, % of engines stale, % of scans changed");
  for (const daemons of COVERAGE_SIZES) {
    const seen = measureCoverage(daemons);
    const parts = [seen.absentPart, seen.stalePart, seen.changedScans];
    const cells = parts.map((part) => (part * 100).toFixed(1).padStart(8));
    console.log(String(daemons).padStart(7) + cells.join(""));
  }
}

async function measureAll(): Promise<void> {
  const chosen = ALL_SERIES.filter(({ name }) =>
    values.only === undefined || name.startsWith(values.only)
  );
  if (chosen.length === 0) {
    console.error(`No series starts with "${values.only}"; the names are:`);
    for (const { name } of ALL_SERIES) console.error(`  ${name}`);
    process.exitCode = 1;
    return;
  }
  await loadHasher();
  console.log(formatHeader());
  const measured: MeasuredSeries[] = [];
  for (const series of chosen) {
    const result = await runSeries(series);
    measured.push(result);
    console.log(formatSeries(result));
  }
  if (values.json === undefined) return;
  const machine = { node: process.version, cores: cpus().length };
  writeFileSync(values.json, JSON.stringify({ machine, measured }, null, 2));
}

if (values.coverage === true) printCoverage();
else if (values.budget === undefined) await measureAll();
else printBudget(values.budget);
// Clients keep their connections open for later calls.
process.exit();
