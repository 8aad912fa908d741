/**
 * `npm run bench`: replays traces with every policy and judges the targets.
 *
 * @module
 */

import { readFile, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { loadHasher } from "@endivebend/routing";
import { DEPLOYMENTS } from "./deployments.ts";
import { generateTrace } from "./generate_trace.ts";
import { POLICIES } from "./policies.ts";
import { hashTrace, runTrace } from "./run_trace.ts";
import type { NamedPolicy, RunResult } from "./run_trace.ts";
import { formatRow, formatTargets, TABLE_HEAD } from "./summary.ts";
import { checkTargets } from "./targets.ts";
import type { SeedRows } from "./targets.ts";
import { formatTrace, parseTrace, withoutExcess } from "./trace.ts";
import type { Trace } from "./trace.ts";

const DEFAULT_SEEDS = "1,2,3,4,5";
const DEFAULT_REQUESTS = "4000";

const USAGE = `npm run bench -- [options]
  --json FILE       write one JSON row per trace, policy and seed
  --trace NAME      tollhaven, siegelwerk, siegelwerk_alone or a file of a
                    recorded trace; may be repeated
  --policy NAME     ${
  POLICIES.map(({ name }) => name).join(", ")
}; may be repeated
  --seeds LIST      seeds with commas, ${DEFAULT_SEEDS} when absent
  --requests COUNT  requests in a generated trace, ${DEFAULT_REQUESTS} when absent
  --record FILE     write the first generated trace there and stop`;

const GENERATED = ["tollhaven", "siegelwerk", "siegelwerk_alone"];

const { values } = parseArgs({
  options: {
    json: { type: "string" },
    trace: { type: "string", multiple: true },
    policy: { type: "string", multiple: true },
    seeds: { type: "string", default: DEFAULT_SEEDS },
    requests: { type: "string", default: DEFAULT_REQUESTS },
    record: { type: "string" },
    help: { type: "boolean", default: false },
  },
});

if (values.help) {
  console.log(USAGE);
} else {
  await main();
}

async function main(): Promise<void> {
  await loadHasher();
  const traces = values.trace ?? GENERATED;
  const seeds = values.seeds.split(",").map(Number);
  if (values.record !== undefined) {
    const trace = await loadTrace(traces[0]!, seeds[0]!);
    await writeFile(values.record, formatTrace(trace));
    return;
  }
  const policies = choosePolicies();
  const results: RunResult[] = [];
  const bySeed = new Map<number, SeedRows>();
  console.log(TABLE_HEAD);
  for (const seed of seeds) {
    const ofSeed: RunResult[] = [];
    for (const name of traces) {
      const trace = await loadTrace(name, seed);
      const blocks = hashTrace(trace);
      for (const policy of policies) {
        const result = runTrace(trace, { policy, blocks });
        console.log(formatRow(result.row));
        ofSeed.push(result);
      }
    }
    results.push(...ofSeed);
    bySeed.set(
      seed,
      (trace, policy) =>
        ofSeed.find(({ row }) => row.trace === trace && row.policy === policy),
    );
  }
  console.log(formatTargets(checkTargets(bySeed)));
  if (values.json !== undefined) {
    const lines = results.map(({ row }) => JSON.stringify(row) + "\n");
    await writeFile(values.json, lines.join(""));
  }
}

function choosePolicies(): readonly NamedPolicy[] {
  const names = values.policy;
  if (names === undefined) {
    return POLICIES;
  }
  const unknown = names.find((name) =>
    !POLICIES.some((policy) => policy.name === name)
  );
  if (unknown !== undefined) {
    throw new Error(`There is no policy ${unknown}; see --help`);
  }
  return POLICIES.filter((policy) => names.includes(policy.name));
}

async function loadTrace(name: string, seed: number): Promise<Trace> {
  const isAlone = name === "siegelwerk_alone";
  const deployment = DEPLOYMENTS[isAlone ? "siegelwerk" : name];
  if (deployment === undefined) {
    return parseTrace(await readFile(name, "utf8"));
  }
  const requests = Number(values.requests);
  const trace = generateTrace(deployment, { seed, requests });
  return isAlone ? withoutExcess(trace, name) : trace;
}
