/**
 * Prints measured series as a table.
 *
 * @module
 */

import type { MeasuredSeries } from "./measure.ts";

const COLUMNS = { name: 34, per: 32, number: 12 } as const;

function row(cells: readonly string[]): string {
  const [name = "", per = "", ...numbers] = cells;
  return name.padEnd(COLUMNS.name) + per.padEnd(COLUMNS.per) +
    numbers.map((text) => text.padStart(COLUMNS.number)).join("");
}

function formatNumber(value: number): string {
  return Number(value.toPrecision(4)).toString();
}

/** The head of the table. */
export function formatHeader(): string {
  return row(["series", "per", "slope", "intercept", "R2"]) + "  points (x:y)";
}

/** One line: slope and intercept in the series' unit, R2, and the points. */
export function formatSeries(series: MeasuredSeries): string {
  const { slope, intercept, r2 } = series.fit;
  const cells = [
    series.name,
    series.per,
    formatNumber(slope),
    formatNumber(intercept),
    r2.toFixed(3),
  ];
  const points = series.points.map(({ x, y }) => `${x}:${formatNumber(y)}`);
  return `${row(cells)}  ${points.join(" ")}`;
}
