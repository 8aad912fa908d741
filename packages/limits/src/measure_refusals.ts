/**
 * Measures wrongful refusals: requests that are refused although a single
 * bucket for the whole fleet would have granted them at once.
 *
 * @module
 */

import { FleetSimulation } from "./simulation/fleet.ts";
import type { SimulatedVm } from "./simulation/vm.ts";

/** Load and faults of the fleet during a measurement. */
export type RefusalScenario =
  /** 80% of the load goes to one VM of one domain, which changes every 10 s. */
  | "skewed"
  /** As `skewed`, and all VMs restart within two seconds. */
  | "restart_log_up"
  /** As `skewed`, and all VMs but one restart while the log is down. */
  | "restart_log_down";

/** Parameters of one measurement. */
export interface RefusalOptions {
  readonly scenario: RefusalScenario;
  readonly seed: number;
  readonly floorFraction: number;
  readonly loanLeaseMs: number;
  /** How long a request waits for tokens. */
  readonly waitMs: number;
  /** Offered load as a fraction of each team's rate. */
  readonly load: number;
}

/** Result of one measurement. */
export interface RefusalCounts {
  readonly requests: number;
  readonly wronglyRefused: number;
  readonly excessTokens: number;
  /** Waits of granted requests, in milliseconds. */
  readonly waitsMs: readonly number[];
}

interface MeasuredTeam {
  readonly name: string;
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  readonly meanCostTokens: number;
}

const DOMAINS = 4;
const VMS_PER_DOMAIN = 2;
const SKEWED_FRACTION = 0.8;
const SKEW_PERIOD_MS = 10_000;
const LOAD_START_MS = 2000;
const RESTART_MS = 20_000;
const RESTART_SPREAD_US = 1_000_000;
const DOWNTIME_US = 1_000_000;
const MEASURED_MS = 60_000;

/** A few large and several small teams, as in both current deployments. */
const TEAMS: readonly MeasuredTeam[] = [
  ["large-1", 20_000, 40_000, 1500] as const,
  ["large-2", 15_000, 30_000, 1500] as const,
  ["small-1", 2000, 8000, 500] as const,
  ["small-2", 1000, 8000, 500] as const,
  ["small-3", 500, 6000, 400] as const,
  // Its largest requests cost more than one domain's share of the burst.
  ["small-4", 1000, 4000, 1200] as const,
].map(([name, rateTokensPerSecond, burstTokens, meanCostTokens]) => ({
  name,
  rateTokensPerSecond,
  burstTokens,
  meanCostTokens,
}));

function createFleet(options: RefusalOptions): FleetSimulation {
  return new FleetSimulation({
    ...options,
    domains: DOMAINS,
    vmsPerDomain: VMS_PER_DOMAIN,
    limits: new Map(TEAMS.map((team) => [team.name, team])),
    network: {
      lossProbability: 0,
      duplicateProbability: 0,
      maxDelayUs: 1500,
    },
    logFaultProbability: 0,
  });
}

function pickVm(fleet: FleetSimulation): SimulatedVm | undefined {
  const up = [...fleet.world.vms.values()].filter((vm) => vm.isUp);
  const period = Math.floor(fleet.queue.nowUs / 1000 / SKEW_PERIOD_MS);
  const hotDomainVm = up.find((vm) => vm.domain === `d${period % DOMAINS}`);
  const isSkewed = fleet.random.chance(SKEWED_FRACTION);
  return isSkewed && hotDomainVm !== undefined
    ? hotDomainVm
    : fleet.random.pick(up);
}

function restartAll(fleet: FleetSimulation, options: RefusalOptions): void {
  const [survivor, ...others] = [...fleet.world.vms.values()];
  const isLogDown = options.scenario === "restart_log_down";
  if (isLogDown) fleet.world.log.takeDown(2 * MEASURED_MS * 1000);
  const restarted = isLogDown || survivor === undefined
    ? others
    : [survivor, ...others];
  for (const vm of restarted) {
    const delayUs = fleet.random.int(0, RESTART_SPREAD_US);
    fleet.queue.after(delayUs, () => fleet.restart(vm, DOWNTIME_US));
  }
}

function offerLoad(
  fleet: FleetSimulation,
  team: MeasuredTeam,
  options: RefusalOptions & {
    readonly done: (
      arrivedMs: number,
      result: Parameters<
        NonNullable<Parameters<FleetSimulation["request"]>[1]["done"]>
      >[0],
    ) => void;
  },
): void {
  const { random, queue } = fleet;
  const meanGapUs = team.meanCostTokens * 1_000_000 /
    (team.rateTokensPerSecond * options.load);
  const next = () => {
    const vm = pickVm(fleet);
    const half = Math.floor(team.meanCostTokens / 2);
    const costTokens = random.int(half, team.meanCostTokens + half);
    const arrivedMs = queue.nowUs / 1000;
    if (vm !== undefined) {
      fleet.request(vm, {
        team: team.name,
        costTokens,
        waitMs: options.waitMs,
        done: (result) => options.done(arrivedMs, result),
      });
    }
    queue.after(random.exponential(meanGapUs), next);
  };
  queue.after(LOAD_START_MS * 1000, next);
}

/** Runs one measurement. */
export function measureRefusals(options: RefusalOptions): RefusalCounts {
  const fleet = createFleet(options);
  const startMs = RESTART_MS;
  const endMs = startMs + MEASURED_MS;
  const waitsMs: number[] = [];
  let requests = 0;
  let wronglyRefused = 0;
  for (const team of TEAMS) {
    offerLoad(fleet, team, {
      ...options,
      done: (arrivedMs, result) => {
        if (arrivedMs < startMs || arrivedMs >= endMs) return;
        requests++;
        if (result.isGranted) waitsMs.push(result.waitedMs);
        else if (result.isWithinLimit) wronglyRefused++;
      },
    });
  }
  if (options.scenario !== "skewed") {
    fleet.queue.after(RESTART_MS * 1000, () => restartAll(fleet, options));
  }
  fleet.runUntil({ ms: endMs + options.waitMs });
  const excessTokens = fleet.excessTokens();
  return { requests, wronglyRefused, excessTokens, waitsMs };
}
