/**
 * Failure domains that are cut off from each other or from the platform.
 *
 * @module
 */

import type { Scenario, ScenarioContext } from "../scenario.ts";

const PARTITION_MS = 6000;

function firstTwoDomains({ fleet }: ScenarioContext): [string, string] {
  const [one, other] = fleet.shape.domains;
  return [one!, other!];
}

const domainsParted: Scenario = {
  name: "domains_parted",
  summary: "Two failure domains cannot reach each other; both reach the log",
  async run(context) {
    const { fleet, faultBegins, pass } = context;
    faultBegins();
    fleet.network.cutDomains(...firstTwoDomains(context));
    await pass(PARTITION_MS);
    fleet.network.heal();
    await pass(2000);
  },
};

const domainCutFromPlatform: Scenario = {
  name: "domain_cut_from_platform",
  summary: "One failure domain cannot reach the platform, but the other domain",
  async run(context) {
    const { fleet, faultBegins, pass } = context;
    const [one] = firstTwoDomains(context);
    faultBegins();
    fleet.network.cutPlatform(one);
    await pass(PARTITION_MS);
    fleet.network.heal();
    await pass(2000);
  },
};

const domainIsolated: Scenario = {
  name: "domain_isolated",
  summary: "One failure domain reaches neither the platform nor the other",
  async run(context) {
    const { fleet, faultBegins, pass } = context;
    const [one, other] = firstTwoDomains(context);
    faultBegins();
    fleet.network.cutPlatform(one);
    fleet.network.cutDomains(one, other);
    await pass(PARTITION_MS);
    fleet.network.heal();
    await pass(2000);
  },
};

const isolatedTwice: Scenario = {
  name: "isolated_twice_with_kill",
  summary: "A domain is isolated, loses a daemon, and is isolated again",
  async run(context) {
    const { fleet, faultBegins, pass, startAgain } = context;
    const [one, other] = firstTwoDomains(context);
    const victim = fleet.daemons.find(({ domain }) => domain === one)!;
    faultBegins();
    for (let round = 0; round < 2; round++) {
      fleet.network.cutPlatform(one);
      fleet.network.cutDomains(one, other);
      await pass(1500);
      if (round === 0) await victim.kill();
      await pass(1500);
      fleet.network.heal();
      if (round === 0) await startAgain(victim);
      await pass(1500);
    }
  },
};

/** Scenarios about partitions. */
export const PARTITION_SCENARIOS: readonly Scenario[] = [
  domainsParted,
  domainCutFromPlatform,
  domainIsolated,
  isolatedTwice,
];
