/**
 * Compares the metrics that the code emits with docs/metrics.md.
 *
 * @module
 */

import { readFileSync } from "node:fs";

const PAGE = "docs/metrics.md";
const KINDS: Readonly<Record<string, string>> = {
  increment: "counter",
  gauge: "gauge",
  timing: "timing",
  count: "counter",
  observeMs: "histogram",
};
/** The sink hands names on that others gave it. */
const SINK = /packages\/telemetry\/src\/metrics\.ts$/;
const COMMENT = /\/\*[\s\S]*?\*\/|^\s*\/\/.*$/gm;
const CALL = /\.(increment|gauge|timing)\(\s*("[^"]*"|[^,)]*)/g;
/** Other classes have methods of these names, but not with such names given. */
const TEXT_CALL = /\.(count|observeMs)\(\s*("[a-z_]+")/g;
const ROW = /^\| `([a-z_.]+)`\s*\| (\w+)/gm;

/** A metric that a source file emits. */
export interface EmittedMetric {
  readonly file: string;
  readonly name: string;
  readonly type: string;
}

/** Finds the metrics in one source file; a name that is no literal is kept. */
export function findMetrics(file: string, text: string): EmittedMetric[] {
  if (file.endsWith("_test.ts") || SINK.test(file)) return [];
  const code = text.replaceAll(COMMENT, "");
  const calls = [...code.matchAll(CALL), ...code.matchAll(TEXT_CALL)];
  return calls.map(([, method = "", name = ""]) => ({
    file,
    name,
    type: KINDS[method] ?? "",
  }));
}

/** Reads the page's table: type by name. */
export function readPage(text: string): ReadonlyMap<string, string> {
  const rows = [...text.matchAll(ROW)];
  return new Map(rows.map(([, name = "", type = ""]) => [name, type]));
}

/**
 * Gives a fault for each metric that the page lacks or describes otherwise, for
 * each name that is no literal, and for each row that no code emits.
 *
 * @example
 * ```ts
 * for (const fault of compareMetrics(emitted, readPage(text))) console.error(fault);
 * ```
 */
export function compareMetrics(
  emitted: readonly EmittedMetric[],
  page: ReadonlyMap<string, string>,
): string[] {
  const faults: string[] = [];
  const seen = new Set<string>();
  for (const { file, name: literal, type } of emitted) {
    const name = literal.replaceAll('"', "");
    seen.add(name);
    if (!literal.startsWith('"')) {
      faults.push(`${file}: write the metric's name "${name}" as a literal`);
    } else if (page.get(name) !== type) {
      faults.push(`${file}: describe the ${type} ${name} in ${PAGE}`);
    }
  }
  const stale = [...page.keys()].filter((name) => !seen.has(name));
  const rows = stale.map((name) =>
    `${PAGE}: remove ${name}, it is not emitted`
  );
  return [...faults, ...rows];
}

/** Compares the given source files with the page. */
export function checkMetrics(files: readonly string[]): string[] {
  const emitted = files.flatMap((file) =>
    findMetrics(file, readFileSync(file, "utf8"))
  );
  return compareMetrics(emitted, readPage(readFileSync(PAGE, "utf8")));
}
