/**
 * Runs failure scenarios over real processes and prints what callers saw.
 * Exits with 1 when a target was missed or a scenario could not be run.
 *
 * @module
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { formatFailure, formatResult } from "./report.ts";
import { parseKnownScenarios } from "./known_scenarios.ts";
import { runScenario, type ScenarioResult } from "./run_scenario.ts";
import { SCENARIOS } from "./scenario_table.ts";
import type { Scenario } from "./scenario.ts";

const DEFAULT_SEED = "1";
const USAGE = `usage: npm run test:faults -- [options]
  --scenario NAME  run this scenario; may be given again
  --list           list the scenarios
  --seed N         seed of prompts and of the choice of daemons (default 1)
  --known FILE     list of known failures; those scenarios fail no run
  --json FILE      write the results as JSON
  --logs DIR       keep the processes' output
  --harm           print refusals and broken calls also when targets were met`;

const { values } = parseArgs({
  options: {
    scenario: { type: "string", multiple: true },
    list: { type: "boolean", default: false },
    seed: { type: "string", default: DEFAULT_SEED },
    known: { type: "string" },
    json: { type: "string" },
    logs: { type: "string" },
    harm: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});

function chooseScenarios(names: readonly string[] | undefined): Scenario[] {
  if (names === undefined) return [...SCENARIOS.values()];
  return names.map((name) => {
    const scenario = SCENARIOS.get(name);
    if (scenario !== undefined) return scenario;
    throw new Error(`No scenario ${name}; --list names them`);
  });
}

async function runAll(scenarios: readonly Scenario[]): Promise<number> {
  const results: ScenarioResult[] = [];
  let failures = 0;
  if (values.logs !== undefined) mkdirSync(values.logs, { recursive: true });
  for (const scenario of scenarios) {
    try {
      const seed = Number(values.seed);
      const logDirectory = values.logs;
      const result = await runScenario(scenario, { seed, logDirectory });
      results.push(result);
      console.log(formatResult(result, { showsHarm: values.harm }));
    } catch (caught) {
      failures++;
      console.log(formatFailure(scenario.name, caught));
    }
  }
  const missed = results.filter(({ misses }) => misses.length > 0);
  const known = readKnownScenarios();
  const isKnown = ({ name }: ScenarioResult) => known.has(name);
  for (const { name } of missed.filter(isKnown)) {
    console.log(`known failure: ${name}`);
  }
  console.log(
    `${scenarios.length} scenarios: ${results.length - missed.length} met, ` +
      `${missed.length} missed, ${failures} not run to the end`,
  );
  if (values.json !== undefined) {
    writeFileSync(values.json, `${JSON.stringify(results, null, 2)}\n`);
  }
  const unexpected = missed.filter((result) => !isKnown(result)).length;
  return unexpected + failures > 0 ? 1 : 0;
}

function readKnownScenarios(): ReadonlySet<string> {
  if (values.known === undefined) return new Set();
  return parseKnownScenarios(readFileSync(values.known, "utf8"));
}

function listScenarios(): void {
  for (const { name, summary } of SCENARIOS.values()) {
    console.log(`${name.padEnd(28)} ${summary}`);
  }
}

if (values.help) console.log(USAGE);
else if (values.list) listScenarios();
else process.exitCode = await runAll(chooseScenarios(values.scenario));
