/**
 * Draws a bench's results as SVG, one file per trace and figure.
 *
 * Usage: `npm run bench:plot -- RESULTS.jsonl DIRECTORY`
 *
 * @module
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, type Spec, View } from "vega";

/** The part of a result row that is drawn. */
interface ResultRow {
  readonly trace: string;
  readonly policy: string;
  readonly seed: number;
  readonly [figure: string]: string | number;
}

const FIGURES: Readonly<Record<string, string>> = {
  ttft_p99_ms: "p99 time to first token in ms",
  prefix_hit_rate: "prefix hit rate",
  wasted_recompute_tokens: "tokens recomputed that were cached somewhere",
  worst_team_ttft_p99_ms: "p99 of the worst-served team in ms",
};

function readRows(path: string): ResultRow[] {
  return readFileSync(path, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as ResultRow);
}

/** A mark per seed in a column per policy. */
function plotSpec(
  rows: readonly ResultRow[],
  options: { readonly figure: string; readonly title: string },
): Spec {
  const { figure, title } = options;
  const values = rows.map(({ policy, [figure]: value }) => ({ policy, value }));
  return {
    width: 420,
    height: 240,
    padding: 8,
    background: "white",
    title,
    data: [{ name: "rows", values }],
    scales: [
      {
        name: "x",
        type: "point",
        range: "width",
        padding: 0.5,
        domain: { data: "rows", field: "policy" },
      },
      {
        name: "y",
        type: "linear",
        range: "height",
        zero: true,
        nice: true,
        domain: { data: "rows", field: "value" },
      },
    ],
    axes: [
      { orient: "bottom", scale: "x" },
      { orient: "left", scale: "y", grid: true },
    ],
    marks: [{
      type: "symbol",
      from: { data: "rows" },
      encode: {
        enter: {
          x: { scale: "x", field: "policy" },
          y: { scale: "y", field: "value" },
          size: { value: 60 },
          fill: { value: "steelblue" },
          fillOpacity: { value: 0.6 },
        },
      },
    }],
  };
}

async function drawTrace(
  rows: readonly ResultRow[],
  options: { readonly trace: string; readonly directory: string },
): Promise<void> {
  const { trace, directory } = options;
  const ofTrace = rows.filter((row) => row.trace === trace);
  for (const [figure, title] of Object.entries(FIGURES)) {
    const spec = plotSpec(ofTrace, { figure, title: `${trace}: ${title}` });
    const view = new View(parse(spec), { renderer: "none" });
    const path = join(directory, `${trace}_${figure}.svg`);
    writeFileSync(path, await view.toSVG());
    console.log(path);
  }
}

const [results, directory] = process.argv.slice(2);
if (results === undefined || directory === undefined) {
  console.error("Usage: npm run bench:plot -- RESULTS.jsonl DIRECTORY");
  process.exit(2);
}
mkdirSync(directory, { recursive: true });
const rows = readRows(results);
for (const trace of new Set(rows.map((row) => row.trace))) {
  await drawTrace(rows, { trace, directory });
}
