import test from "ava";
import { FleetState } from "@endivebend/fleet";
import { ServerRegistry, type SoftwareVersion } from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ServiceName,
  type VmId,
} from "@endivebend/types";
import { type BalanceParts, createDomainBalance } from "./daemon_balance.ts";

const SERVICE = brandId<ServiceName>("llm");
const HOME = brandId<FailureDomainId>("a");
const AWAY = brandId<FailureDomainId>("b");

function registryOf(): ServerRegistry {
  const registry = new ServerRegistry();
  for (const failureDomain of [HOME, AWAY]) {
    registry.upsert({
      id: brandId<BackendServerId>(`${failureDomain}-1`),
      service: SERVICE,
      address: "10.0.0.1:80",
      failureDomain,
      isLeaving: false,
      slots: 10,
      weights: new Map(),
      softwareVersion: brandId<SoftwareVersion>("v1"),
      startedAtMs: 1,
      reportCount: 1,
    });
  }
  return registry;
}

/** A daemon of one domain that hears one daemon of the other. */
function setUp() {
  const fleet = new FleetState(brandId<VmId>("vm-1"), HOME, {
    limitWindowMs: 1_000,
  });
  const registry = registryOf();
  const steps: string[] = [];
  const parts: BalanceParts = {
    settings: { failureDomain: HOME },
    registry,
    fleet,
    gossip: { ownWork: () => ({ "a-1": [16, 0] }) },
    ports: { metrics: { count: (name) => void steps.push(name) } },
    logDecision: (step, fields) => void steps.push(`${step} ${fields.isOn}`),
  };
  const balance = createDomainBalance(parts);
  const away = registry.get(brandId<BackendServerId>("b-1"))!;
  let sequence = 0;
  /** What the other domain costs at the end, with messages every 200 ms. */
  const play = (
    { fromMs, untilMs, isHeard }: {
      readonly fromMs: number;
      readonly untilMs: number;
      readonly isHeard: boolean;
    },
  ): number => {
    let costMs = 0;
    for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 200) {
      if (isHeard) fleet.applyMessage(messageOf(++sequence), nowMs);
      costMs = balance.costMs(away, nowMs);
    }
    return costMs;
  };
  return { play, steps };
}

function messageOf(sequence: number) {
  return {
    vm: brandId<VmId>("vm-2"),
    incarnation: brandId<IncarnationId>("i"),
    failureDomain: AWAY,
    address: "10.0.0.2:7000",
    sequence,
    isLeaving: false,
    reachesStore: true,
    duty: { epoch: 0 },
    spent: {},
    work: { "b-1": [1, 0] as const },
    weights: [],
    named: {},
    suspects: [],
    placed: {},
    kept: {},
    answerAgesMs: {},
    records: {},
    readAgesMs: {},
  };
}

test("the surplus of a domain goes to the other one by what gossip tells, until that falls silent", (t) => {
  const { play, steps } = setUp();
  t.is(play({ fromMs: 0, untilMs: 1_000, isHeard: true }), 0);
  t.true(play({ fromMs: 1_200, untilMs: 4_000, isHeard: true }) < 10);
  t.deepEqual(steps, ["domain_balances", "domain_balance true"]);
  // Three messages are missing.
  t.true(play({ fromMs: 4_200, untilMs: 4_800, isHeard: false }) > 50);
  t.true(play({ fromMs: 5_000, untilMs: 5_400, isHeard: true }) < 10);
});
