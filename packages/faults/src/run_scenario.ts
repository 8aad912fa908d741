/**
 * Runs one scenario: starts a fleet and a load, lets the scenario do its harm,
 * mends everything, and judges.
 *
 * @module
 */

import type { EngineRecord, RanCall } from "@endivebend/stand-ins";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Daemon } from "./harness/daemon.ts";
import { Fleet } from "./harness/fleet.ts";
import { DEFAULT_SHAPE } from "./harness/fleet_shape.ts";
import { DEFAULT_LOAD, Load } from "./load/load.ts";
import type { Outcome } from "./load/outcome.ts";
import { Rotation } from "./load/rotation.ts";
import type { Check, Scenario, ScenarioContext } from "./scenario.ts";
import { computeFigures, type Figures } from "./verdict.ts";

/** How to run a scenario. */
export interface RunOptions {
  readonly seed: number;
  readonly logDirectory?: string | undefined;
}

/** The result of one scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly seed: number;
  readonly figures: Figures;
  readonly checks: readonly Check[];
  /** Targets that were missed; empty when the scenario passed. */
  readonly misses: readonly string[];
  /** Refusals and broken calls by kind, code and count. */
  readonly harm: Readonly<Record<string, number>>;
}

const WARM_UP_MS = 1500;
const AFTERMATH_MS = 1500;

/** Runs a scenario on a fleet of its own. */
export async function runScenario(
  scenario: Scenario,
  options: RunOptions,
): Promise<ScenarioResult> {
  const shape = { ...DEFAULT_SHAPE, ...scenario.shape };
  const fleet = new Fleet({ shape, logDirectory: options.logDirectory });
  try {
    await fleet.start();
    return await runOnFleet(scenario, { fleet, seed: options.seed });
  } finally {
    await fleet.close();
  }
}

async function runOnFleet(
  scenario: Scenario,
  options: { readonly fleet: Fleet; readonly seed: number },
): Promise<ScenarioResult> {
  const { fleet, seed } = options;
  const random = xoroshiro128plus(seed);
  const rotation = new Rotation(fleet.daemons, random);
  const shape = { ...DEFAULT_LOAD, ...scenario.load };
  const load = new Load({ rotation, team: fleet.team, shape, random });
  const extra: Outcome[] = [];
  const checks: Check[] = [];
  let faultAtMs: number | undefined;
  const context: ScenarioContext = {
    fleet,
    rotation,
    load,
    random,
    faultBegins: () => {
      faultAtMs ??= performance.now();
    },
    addOutcomes: (...outcomes) => extra.push(...outcomes),
    check: (name, result) => checks.push({ name, ...result }),
    startAgain: async (...daemons) => {
      checks.push(...await startAgain(daemons));
    },
    pass,
  };
  rotation.start();
  load.start();
  await pass(WARM_UP_MS);
  await scenario.run(context);
  await pass(AFTERMATH_MS);
  await load.stop();
  await rotation.close();
  checks.push(...await checkBackends(fleet), checkDaemons(fleet));
  const outcomes = [...load.outcomes, ...extra];
  const { bookings } = load;
  const ran = await collectRuns(fleet);
  const figures = computeFigures({ outcomes, bookings, ran, faultAtMs });
  const misses = findMisses(scenario, { figures, checks });
  const harm = countHarm(outcomes);
  return { name: scenario.name, seed, figures, checks, misses, harm };
}

async function startAgain(daemons: readonly Daemon[]): Promise<Check[]> {
  for (const daemon of daemons) daemon.start();
  return await Promise.all(daemons.map(async (daemon) => {
    const name = `${daemon.vmId} ready again`;
    const startedAtMs = performance.now();
    try {
      await daemon.whenReady();
      const seconds = (performance.now() - startedAtMs) / 1000;
      return { name, isMet: true, detail: `after ${seconds.toFixed(1)} s` };
    } catch {
      return { name, isMet: false, detail: "not ready in time" };
    }
  }));
}

function pass(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function collectRuns(fleet: Fleet): Promise<RanCall[]> {
  const records = await Promise.all(
    fleet.services.map(({ standIn }) =>
      standIn.record<{ readonly ran: RanCall[] }>()
    ),
  );
  return records.flatMap(({ ran }) => ran);
}

/** No backend server sees a key, and no engine continues a text it can't. */
async function checkBackends(fleet: Fleet): Promise<Check[]> {
  const servers = [...fleet.engines, ...fleet.services]
    .filter(({ standIn }) => standIn.process.isRunning);
  const records = await Promise.all(
    servers.map(({ standIn }) => standIn.record<Partial<EngineRecord>>()),
  );
  const sum = (of: (record: Partial<EngineRecord>) => number | undefined) =>
    records.reduce((total, record) => total + (of(record) ?? 0), 0);
  const keys = sum((record) => record.seen?.withCallerKey);
  const mismatches = sum((record) => record.resumeMismatches);
  return [
    { name: "keys seen by backend servers", ...mustBeZero(keys) },
    { name: "streams resumed on a wrong text", ...mustBeZero(mismatches) },
  ];
}

/** No daemon ends but when the harness kills, stops or drains it. */
function checkDaemons({ daemons }: Fleet): Check {
  const failed = daemons.filter((daemon) => daemon.hasFailed);
  const name = "daemons that ended by themselves";
  return {
    name,
    isMet: failed.length === 0,
    detail: [failed.length, ...failed.map(({ vmId }) => vmId)].join(" "),
  };
}

/** A check that a count is zero. */
export function mustBeZero(count: number): Omit<Check, "name"> {
  return { isMet: count === 0, detail: String(count) };
}

function findMisses(
  scenario: Scenario,
  options: { readonly figures: Figures; readonly checks: readonly Check[] },
): string[] {
  const { figures, checks } = options;
  const targets: (keyof Figures)[] = [
    "doubled",
    "lost",
    "falseNotRun",
    "corrupt",
    ...(scenario.isPlanned ? ["cut", "incomplete", "broken"] as const : []),
  ];
  const misses = targets
    .filter((name) => figures[name] > 0)
    .map((name) => `${name} ${figures[name]}`);
  if (figures.answered === 0) misses.push("answered 0");
  const missedChecks = checks.filter(({ isMet }) => !isMet)
    .map(({ name, detail }) => `${name}: ${detail}`);
  return [...misses, ...missedChecks];
}

function countHarm(outcomes: readonly Outcome[]): Record<string, number> {
  const harm: Record<string, number> = {};
  for (const { kind, call, code, ran, detail } of outcomes) {
    if (kind === "answered") continue;
    const key = [call, kind, code ?? detail, ran].filter(Boolean).join(" ");
    harm[key] = (harm[key] ?? 0) + 1;
  }
  return harm;
}
