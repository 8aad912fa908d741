/**
 * Checks rules of the repository that formatter, linter and compiler don't:
 * product packages start no process and share no memory, packages import each
 * other only through their public module, every package has a README and a
 * change log, no file names a registry host or a machine's own path, names of
 * the users' platform stand in its adapter only, docs/metrics.md describes
 * every metric, and the code has every name of docs/external_names.txt.
 *
 * @module
 */

import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { checkExternalNames } from "./check_external_names.ts";
import { checkMetrics } from "./check_metrics.ts";

/** Test tools that may start processes. */
const PROCESS_STARTING_PACKAGES = new Set([
  "faults",
  "demo",
  "bench",
  "platform-soak",
]);
const FORBIDDEN_IN_PRODUCT =
  /node:child_process|node:cluster|SharedArrayBuffer|node:worker_threads/;
const DEEP_IMPORT = /from "@endivebend\/[a-z-]+\//;
/** Headers, paths and settings of the users' platform. */
const PLATFORM_NAMES =
  /attempt-id|response-seal|prompt-prefix|expect-instance|not-run\b|kv-(?:events|fetch|save)|log-(?:append|read|newest)|server-load|server-limit|token-usage|ENDIVEBEND_CONFIG/i;
/** The adapter, and the stand-ins that play the platform. */
const PLATFORM_PACKAGES = new Set(["platform", "platform-soak", "stand-ins"]);
/** Packages that run beside the product: tests, measurements, stand-ins. */
const TOOL_PACKAGES = new Set([
  "bench",
  "capacity",
  "demo",
  "faults",
  "platform-soak",
  "stand-ins",
]);
const NOTICE = /copyright|licensed under|SPDX-/i;

function listFiles(directory: string): string[] {
  return readdirSync(directory, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => join(entry.parentPath, entry.name));
}

/** Sources of the packages that the daemon and the command line consist of. */
function listProductFiles(): string[] {
  return readdirSync("packages")
    .filter((packageName) => !TOOL_PACKAGES.has(packageName))
    .flatMap((packageName) => listFiles(join("packages", packageName, "src")));
}

function checkSource(file: string, packageName: string): string[] {
  const text = readFileSync(file, "utf8");
  const faults: string[] = [];
  const isTest = file.endsWith("_test.ts");
  const mayStart = isTest || PROCESS_STARTING_PACKAGES.has(packageName);
  if (!mayStart && FORBIDDEN_IN_PRODUCT.test(text)) {
    faults.push(`${file}: product packages start no process or thread`);
  }
  if (DEEP_IMPORT.test(text)) {
    faults.push(`${file}: import other packages by their name only`);
  }
  if (!PLATFORM_PACKAGES.has(packageName) && PLATFORM_NAMES.test(text)) {
    faults.push(`${file}: move the platform's names to packages/platform`);
  }
  if (NOTICE.test(text)) faults.push(`${file}: remove the notice`);
  return faults;
}

function checkPackage(packageName: string): string[] {
  const directory = join("packages", packageName);
  const faults = ["README.md", "CHANGELOG.md", join("src", "mod.ts")]
    .filter((name) => !existsSync(join(directory, name)))
    .map((name) => `${directory}: add ${name}`);
  const sources = listFiles(join(directory, "src"));
  return [
    ...faults,
    ...sources.flatMap((file) => checkSource(file, packageName)),
  ];
}

const lockFile = readFileSync("package-lock.json", "utf8");
const faults = readdirSync("packages").flatMap(checkPackage);
if (lockFile.includes('"resolved": "http')) {
  faults.push(
    "package-lock.json: install with omit-lockfile-registry-resolved",
  );
}
faults.push(...checkMetrics(listFiles("packages")));
faults.push(...checkExternalNames(listProductFiles()));
for (const fault of faults) console.error(fault);
process.exit(faults.length > 0 ? 1 : 0);
