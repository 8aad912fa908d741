/**
 * Simulates one run of a fleet under load and faults.
 *
 * @module
 */

import { FleetSimulation } from "./fleet.ts";
import type { SimulatedVm } from "./vm.ts";

/** A fault and its time; `pick` selects the VM, and thereby its domain. */
export interface Fault {
  readonly kind:
    | "pause"
    | "restart"
    | "restart_domain"
    | "replace"
    | "partition"
    | "log_down"
    | "release"
    | "transfer"
    | "set_domains";
  readonly atMs: number;
  readonly durationMs: number;
  readonly pick: number;
}

/** Parameters of one run. */
export interface RunPlan {
  readonly seed: number;
  readonly domains: number;
  readonly vmsPerDomain: number;
  readonly loanLeaseMs: number;
  readonly floorFraction: number;
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  /** Offered load as a multiple of the rate. */
  readonly load: number;
  /** Fraction of the load that goes to one domain; the domains take turns. */
  readonly skew: number;
  readonly lossProbability: number;
  readonly faults: readonly Fault[];
  readonly durationMs: number;
}

/** Result of one run. */
export interface RunResult {
  /** Tokens granted above the limit in the worst window. */
  readonly excessTokens: number;
  /** Largest capacity above the burst that holders held together, in tokens. */
  readonly excessCapacityTokens: number;
  readonly grantedTokens: number;
  readonly granted: number;
  readonly refused: number;
}

const CHECK_INTERVAL_US = 10_000;
const TEAMS = ["st-mary", "st-paul"];
const START_MS = 1500;
const HOT_PERIOD_MS = 2500;
const LARGE_REQUEST_FRACTION = 0.125;
const WAIT_MS = 3000;
/** Bounds the number of requests in runs with a large rate and small burst. */
const MIN_MEAN_GAP_US = 4000;

function selectItem<Item>(items: readonly Item[], pick: number): Item {
  return items[pick % items.length] as Item;
}

function transfer(fleet: FleetSimulation, vm: SimulatedVm): void {
  const others = [...fleet.world.vms.values()].filter((other) =>
    other !== vm && other.domain === vm.domain && other.isUp
  );
  vm.giveUpGroups(fleet.random.pick(others)?.vmId);
}

function setDomains(fleet: FleetSimulation, vm: SimulatedVm): void {
  const current = vm.state.splits.at(-1);
  if (current === undefined) return;
  const all = fleet.world.domains;
  const isWhole = current.domains.length === all.length;
  const domains = isWhole && all.length > 1 ? all.slice(0, -1) : all;
  const record = {
    kind: "domains_set",
    domains,
    amendsRevision: current.revision,
  };
  vm.append(record, () => {});
}

type FaultAction = (
  fleet: FleetSimulation,
  vm: SimulatedVm,
  durationUs: number,
) => void;

const FAULT_ACTIONS: Readonly<Record<Fault["kind"], FaultAction>> = {
  pause: (_, vm, durationUs) => vm.pause(durationUs),
  restart: (fleet, vm, durationUs) => fleet.restart(vm, durationUs / 10),
  restart_domain: (fleet, vm, durationUs) => {
    for (const other of fleet.world.vms.values()) {
      if (other.domain === vm.domain) fleet.restart(other, durationUs / 10);
    }
  },
  replace: (fleet, vm) => fleet.replace(vm),
  partition: (fleet, vm, durationUs) =>
    fleet.world.network.isolate(vm.domain, durationUs),
  log_down: (fleet, _, durationUs) => fleet.world.log.takeDown(durationUs),
  release: (_, vm) => vm.giveUpGroups(undefined),
  transfer,
  set_domains: setDomains,
};

function scheduleFault(fleet: FleetSimulation, fault: Fault): void {
  fleet.queue.after(fault.atMs * 1000, () => {
    const present = [...fleet.world.vms.values()]
      .filter((vm) => !fleet.world.ended.has(vm.name));
    const vm = selectItem(present, fault.pick);
    FAULT_ACTIONS[fault.kind](fleet, vm, fault.durationMs * 1000);
  });
}

function hotDomain(fleet: FleetSimulation): string | undefined {
  const period = Math.floor(fleet.queue.nowUs / 1000 / HOT_PERIOD_MS);
  const { domains } = fleet.world;
  return domains[period % domains.length];
}

function offerLoad(fleet: FleetSimulation, plan: RunPlan): void {
  const meanCost = Math.max(2, Math.floor(plan.burstTokens / 20));
  const tokensPerUs = plan.rateTokensPerSecond * plan.load / 1_000_000;
  const next = () => {
    const team = fleet.random.pick(TEAMS) ?? "";
    const isSkewed = fleet.random.chance(plan.skew);
    const vms = [...fleet.world.vms.values()]
      .filter((vm) => vm.isUp && (!isSkewed || vm.domain === hotDomain(fleet)));
    const vm = fleet.random.pick(vms);
    // One request in eight costs up to the whole burst, so it needs loans.
    const maxCostTokens = fleet.random.chance(LARGE_REQUEST_FRACTION)
      ? plan.burstTokens
      : 2 * meanCost;
    const costTokens = fleet.random.int(1, maxCostTokens);
    if (vm !== undefined) {
      fleet.request(vm, { team, costTokens, waitMs: WAIT_MS });
    }
    const meanUs = Math.max(
      MIN_MEAN_GAP_US,
      meanCost / tokensPerUs / TEAMS.length,
    );
    fleet.queue.after(fleet.random.exponential(meanUs), next);
  };
  fleet.queue.after(START_MS * 1000, next);
}

/** Simulates a run and checks every time window of every team. */
export function runFleet(plan: RunPlan): RunResult {
  const limit = {
    rateTokensPerSecond: plan.rateTokensPerSecond,
    burstTokens: plan.burstTokens,
  };
  const fleet = new FleetSimulation({
    ...plan,
    limits: new Map(TEAMS.map((team) => [team, limit])),
    network: {
      lossProbability: plan.lossProbability,
      duplicateProbability: 0.05,
      maxDelayUs: 5000,
    },
    logFaultProbability: 0.1,
  });
  for (const fault of plan.faults) scheduleFault(fleet, fault);
  offerLoad(fleet, plan);
  let excessCapacityTokens = 0;
  const check = () => {
    const excess = fleet.excessCapacityTokens();
    excessCapacityTokens = Math.max(excessCapacityTokens, excess);
    fleet.queue.after(CHECK_INTERVAL_US, check);
  };
  check();
  fleet.runUntil({ ms: plan.durationMs });
  const ledgers = [...fleet.world.ledgers.values()];
  return {
    excessTokens: fleet.excessTokens(),
    excessCapacityTokens,
    grantedTokens: ledgers
      .reduce((sum, ledger) => sum + ledger.grantedTokens, 0),
    granted: fleet.counts.granted,
    refused: fleet.counts.refused,
  };
}
