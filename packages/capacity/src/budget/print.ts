/**
 * Prints the budget as Markdown: the sums, and the arithmetic of each line.
 *
 * @module
 */

import type { Line, Term } from "./slopes.ts";
import { LIMIT } from "./two_year.ts";

const RESOURCES = [
  { key: "cpuUs", title: "processor", unit: "% of a core", divisor: 10_000 },
  { key: "trafficBytes", title: "traffic", unit: "KB/s", divisor: 1_000 },
  { key: "memoryBytes", title: "memory", unit: "MB", divisor: 1e6 },
] as const;

type Resource = typeof RESOURCES[number];

function valueOf(terms: readonly Term[] | undefined): number {
  return (terms ?? []).reduce((sum, term) => sum + product(term), 0);
}

function product(term: Term): number {
  return term.reduce((value, factor) => value * factor.value, 1);
}

function short(value: number): string {
  return value.toLocaleString("en", { maximumSignificantDigits: 3 });
}

function cell(value: number, resource: Resource): string {
  if (value === 0) return "";
  const text = short(value / resource.divisor);
  return value > LIMIT[resource.key] ? `**${text}**` : text;
}

function row(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}

function sumRow(title: string, lines: readonly Line[]): string {
  const cells = RESOURCES.map((resource) => {
    const sum = lines.reduce(
      (all, line) => all + valueOf(line[resource.key]),
      0,
    );
    return cell(sum, resource);
  });
  return row([title, "", ...cells]);
}

/** A table of all lines; a figure over the limit of its resource is bold. */
export function formatTable(lines: readonly Line[]): string {
  const isCounted = (line: Line) => line.kind !== "request path";
  const heads = RESOURCES.map(({ title, unit }) => `${title}, ${unit}`);
  const limits = RESOURCES.map(({ key, divisor }) =>
    short(LIMIT[key] / divisor)
  );
  return [
    row(["line", "kind", ...heads]),
    row(["---", "---", "--:", "--:", "--:"]),
    ...lines.map((line) =>
      row([
        line.name,
        line.kind,
        ...RESOURCES.map((each) => cell(valueOf(line[each.key]), each)),
      ])
    ),
    sumRow(
      "sum of background",
      lines.filter((line) => line.kind === "background"),
    ),
    sumRow("sum that counts", lines.filter(isCounted)),
    row(["limit", "", ...limits]),
  ].join("\n");
}

function formatTerm(term: Term): string {
  return term.filter(({ label }) => label !== "")
    .map(({ value, label }) => `${short(value)} ${label}`)
    .join(" x ");
}

/** The factors behind each figure of the table. */
export function formatArithmetic(lines: readonly Line[]): string {
  return lines.map((line) => {
    const parts = RESOURCES.flatMap((resource) => {
      const terms = line[resource.key];
      if (terms === undefined) return [];
      const sum = short(valueOf(terms) / resource.divisor);
      const text = terms.map(formatTerm).join(" + ");
      return [`- ${resource.title}: ${text} = ${sum} ${resource.unit}`];
    });
    return [`${line.name}:`, "", ...parts].join("\n");
  }).join("\n\n");
}
