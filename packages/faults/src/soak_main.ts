/**
 * Runs the soak: a fleet of real processes under faults that a seed draws.
 * Exits with 1 when a promise was broken.
 *
 * @module
 */

import { mkdirSync } from "node:fs";
import { parseArgs } from "node:util";
import { formatFailure, formatResult } from "./report.ts";
import { runScenario } from "./run_scenario.ts";
import { soakScenario } from "./soak/soak_scenario.ts";

const MS_PER_MINUTE = 60_000;
const USAGE = `usage: npm run soak:faults -- [options]
  --seed N      first seed (default: drawn from the clock and printed)
  --seeds N     number of seeds, one after another (default 1)
  --minutes M   length of each (default 0.5)
  --logs DIR    keep the processes' output`;

const { values } = parseArgs({
  options: {
    seed: { type: "string" },
    seeds: { type: "string", default: "1" },
    minutes: { type: "string", default: "0.5" },
    logs: { type: "string" },
    help: { type: "boolean", default: false },
  },
});

async function runSeed(seed: number): Promise<boolean> {
  const logDirectory = values.logs && `${values.logs}/${seed}`;
  if (logDirectory !== undefined) mkdirSync(logDirectory, { recursive: true });
  const durationMs = Number(values.minutes) * MS_PER_MINUTE;
  console.log(`seed ${seed}`);
  try {
    const scenario = soakScenario(durationMs);
    const result = await runScenario(scenario, { seed, logDirectory });
    console.log(formatResult(result, { showsHarm: true }));
    return result.misses.length === 0;
  } catch (caught) {
    console.log(formatFailure(`soak seed ${seed}`, caught));
    return false;
  }
}

async function main(): Promise<number> {
  const first = Number(values.seed ?? Date.now() % 1_000_000);
  const missed: number[] = [];
  for (let index = 0; index < Number(values.seeds); index++) {
    if (!await runSeed(first + index)) missed.push(first + index);
  }
  console.log(`${values.seeds} seeds, ${missed.length} missed: ${missed}`);
  return missed.length > 0 ? 1 : 0;
}

if (values.help) console.log(USAGE);
else process.exitCode = await main();
