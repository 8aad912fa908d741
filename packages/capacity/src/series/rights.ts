/**
 * Which VM holds which group of teams.
 *
 * @module
 */

import {
  applyRightsRecord,
  createRightsState,
  encodeGroups,
  encodeRightsState,
  planClaims,
  planEndedVms,
  type RightsState,
} from "@endivebend/rights";
import { brandId, type LogOffset, TEAM_GROUP_COUNT } from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import { domainId, DOMAINS, entryVmId, incarnationAt } from "../samples.ts";

const START_MS = 10_000;

function claimRecord(vm: number, groups: readonly number[]) {
  return {
    recordId: `${incarnationAt(vm)}-rights-1`,
    kind: "claimed",
    vmId: entryVmId(vm),
    incarnation: incarnationAt(vm),
    failureDomain: domainId(vm),
    groups: encodeGroups(groups),
    revision: 1,
  };
}

function domainsRecord(domains: number) {
  return {
    recordId: "domains-1",
    kind: "domains_set",
    domains: Array.from({ length: domains }, (_, index) => domainId(index)),
    amendsRevision: 0,
  };
}

/** Groups of one VM when those of a domain are dealt out evenly. */
function groupsOf(vm: number, vmsPerDomain: number): number[] {
  const place = Math.floor(vm / DOMAINS);
  return Array.from({ length: TEAM_GROUP_COUNT }, (_, group) => group)
    .filter((group) => group % vmsPerDomain === place);
}

/** Rights in which the VMs hold all groups of their domains. */
export function rightsWith(vms: number, domains = DOMAINS): RightsState {
  const state = createRightsState();
  const vmsPerDomain = Math.ceil(vms / DOMAINS);
  const values = [
    domainsRecord(domains),
    ...Array.from(
      { length: vms },
      (_, vm) => claimRecord(vm, groupsOf(vm, vmsPerDomain)),
    ),
  ];
  values.forEach((value, offset) =>
    applyRightsRecord(state, {
      offset: brandId<LogOffset>(offset),
      appendedAtMs: START_MS,
      value,
    })
  );
  return state;
}

function planInput(vms: number) {
  const liveVms = Array.from({ length: vms }, (_, index) => ({
    vmId: entryVmId(index),
    failureDomain: domainId(index),
  }));
  return { self: liveVms[0]!, liveVms };
}

/** The series of this module. */
export const rightsSeries: readonly Series[] = [
  heapSeries({
    name: "rights.group_bytes",
    per: "group of a domain",
    sizes: [4, 8, 13].map((domains) => domains * TEAM_GROUP_COUNT),
    make: (size) => {
      const domains = size / TEAM_GROUP_COUNT;
      const state = createRightsState();
      for (let vm = 0; vm < domains; vm++) {
        const groups = Array.from({ length: TEAM_GROUP_COUNT }, (_, at) => at);
        const value = vm === 0
          ? domainsRecord(domains)
          : claimRecord(vm, groups);
        const offset = brandId<LogOffset>(vm);
        applyRightsRecord(state, { offset, appendedAtMs: START_MS, value });
      }
      return state;
    },
  }),
  sizeSeries({
    name: "rights.record_bytes",
    per: "claim",
    sizes: [1, 10, 100],
    encode: (size) =>
      JSON.stringify(
        Array.from({ length: size }, (_, index) => ({
          offset: 1_200_000 + index,
          appendedAtMs: 1_796_000_000_000,
          value: claimRecord(index, groupsOf(index, 32)),
        })),
      ),
  }),
  sizeSeries({
    name: "rights.snapshot_bytes",
    per: "entry VM",
    sizes: [104, 208, 416],
    encode: (size) => encodeRightsState(rightsWith(size)),
  }),
  timeSeries({
    name: "rights.fold_us",
    per: "claim",
    sizes: [104, 208, 416],
    repeatable: true,
    prepare: (size) => () => rightsWith(size),
  }),
  timeSeries({
    name: "rights.plan_claims_us",
    per: "entry VM",
    sizes: [104, 208, 416],
    repeatable: true,
    prepare: (size) => {
      const state = rightsWith(size);
      const input = planInput(size);
      return () => planClaims(state, input);
    },
  }),
  timeSeries({
    name: "rights.plan_ended_us",
    per: "entry VM",
    sizes: [104, 208, 416],
    repeatable: true,
    prepare: (size) => {
      const state = rightsWith(size);
      const input = { ...planInput(size), hasEnded: () => false };
      return () => planEndedVms(state, input);
    },
  }),
];
