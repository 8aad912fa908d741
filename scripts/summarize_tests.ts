/**
 * Reads ava's TAP output, prints the failures and `N passed, N failed`, and
 * exits with 1 unless every failure is listed in KNOWN-RED.txt.
 *
 * Usage: `tsx scripts/summarize_tests.ts TAP_FILE AVA_EXIT_CODE`
 *
 * @module
 */

import { readFileSync } from "node:fs";

const RESULT_LINE = /^(not ok|ok) \d+ - (.*?)( # (?:SKIP|TODO).*)?$/;

interface TestSummary {
  readonly passed: string[];
  readonly failed: string[];
  readonly skipped: string[];
}

function summarize(tap: string): TestSummary {
  const summary: TestSummary = { passed: [], failed: [], skipped: [] };
  for (const line of tap.split("\n")) {
    const match = RESULT_LINE.exec(line);
    if (match === null) continue;
    const title = match[2] ?? "";
    if (match[3] !== undefined) summary.skipped.push(title);
    else if (match[1] === "ok") summary.passed.push(title);
    else summary.failed.push(title);
  }
  return summary;
}

function readKnownFailures(path: string): string[] {
  return readFileSync(path, "utf8")
    .split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => (line.split("|")[0] ?? "").trim());
}

const [tapPath, avaExitCode] = process.argv.slice(2);
if (tapPath === undefined || avaExitCode === undefined) {
  console.error("Usage: tsx scripts/summarize_tests.ts TAP_FILE AVA_EXIT_CODE");
  process.exit(2);
}

const tap = readFileSync(tapPath, "utf8");
const summary = summarize(tap);
const known = readKnownFailures("KNOWN-RED.txt");
const unexpected = summary.failed.filter((title) => !known.includes(title));
const expected = summary.failed.filter((title) => known.includes(title));

if (unexpected.length > 0 || avaExitCode !== "0") console.log(tap);
for (const title of expected) console.log(`known failure: ${title}`);
for (const title of unexpected) console.log(`failed: ${title}`);
console.log(
  `${summary.passed.length} passed, ${summary.failed.length} failed, ` +
    `${summary.skipped.length} skipped`,
);

// A crash of the runner leaves no "not ok" line, so its exit code counts too.
const crashed = avaExitCode !== "0" && summary.failed.length === 0;
const ranNothing = summary.passed.length + summary.failed.length === 0;
process.exit(unexpected.length > 0 || crashed || ranNothing ? 1 : 0);
