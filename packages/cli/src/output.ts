/**
 * Writes results for people and for scripts.
 *
 * @module
 */

import { formatFault } from "@endivebend/settings";
import { isEndivebendError } from "@endivebend/errors";
import { type CommandError, isCommandError } from "./command_error.ts";

const COLUMN_GAP = "  ";
const INDENT = "  ";

/** Writes rows as aligned columns under a heading. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [headings, ...rows].map((row) =>
    row.map((cell) => String(cell ?? "-"))
  );
  const widths = headings.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0))
  );
  const lines = cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP).trimEnd()
  );
  return `${lines.join("\n")}\n`;
}

function isNested(value: unknown): value is object {
  return typeof value === "object" && value !== null &&
    Object.keys(value).length > 0;
}

/** Writes a value as indented `name: value` lines. */
export function formatTree(value: unknown, indent = ""): string {
  if (!isNested(value)) return `${indent}${JSON.stringify(value)}\n`;
  return Object.entries(value).map(([name, inner]) => {
    if (inner === undefined) return "";
    if (isNested(inner)) {
      return `${indent}${name}:\n${formatTree(inner, indent + INDENT)}`;
    }
    const text = typeof inner === "string" ? inner : JSON.stringify(inner);
    return `${indent}${name}: ${text}\n`;
  }).join("");
}

function formatCommandError(error: CommandError): string {
  const faults = error.faults ?? [];
  if (faults.length > 0) {
    const lines = faults.map((fault) => `${INDENT}${formatFault(fault)}\n`);
    return `${error.message}\n${lines.join("")}`;
  }
  const field = error.field === undefined ? "" : ` (field ${error.field})`;
  const record = error.recordId === undefined
    ? ""
    : `Record id: ${error.recordId}\n`;
  return `${error.message}${field}\nRemedy: ${error.remedy}\n${record}`;
}

/** Writes an error for people; it names the remedy. */
export function formatError(caught: unknown): string {
  if (isCommandError(caught)) return `Error: ${formatCommandError(caught)}`;
  if (isEndivebendError(caught)) {
    return `Error: ${caught.message}\nRemedy: ${caught.remedy}\n`;
  }
  const text = caught instanceof Error ? caught.stack : String(caught);
  return `Error: The command failed unexpectedly\n${text}\nRemedy: Report this output\n`;
}

/** Writes an error for scripts, as one line of JSON. */
export function formatErrorJson(caught: unknown, exitCode: number): string {
  const message = caught instanceof Error ? caught.message : String(caught);
  const details = isCommandError(caught)
    ? {
      field: caught.field,
      remedy: caught.remedy,
      recordId: caught.recordId,
      faults: caught.faults,
    }
    : {};
  return `${JSON.stringify({ error: { message, exitCode, ...details } })}\n`;
}
