import test from "ava";
import {
  applyRightsRecord,
  createRightsState,
  encodeGroups,
} from "@endivebend/rights";
import {
  brandId,
  type FailureDomainId,
  type LogOffset,
  type TeamGroup,
  type VmId,
} from "@endivebend/types";
import { Holdings } from "./mod.ts";

const GROUP = 7 as TeamGroup;
const groups = encodeGroups([GROUP]);

function createHoldings(vmId: string, failureDomain = "a") {
  const state = createRightsState();
  const holdings = new Holdings({
    vmId: brandId<VmId>(vmId),
    incarnation: "i1",
    failureDomain: brandId<FailureDomainId>(failureDomain),
  }, 1000);
  const apply = (value: unknown, nowMs: number) => {
    const offset = brandId<LogOffset>(state.nextOffset);
    const record = { offset, appendedAtMs: 0, value };
    const changes = applyRightsRecord(state, record);
    holdings.update(state, { changes, nowMs, isLive: true });
  };
  return { holdings, apply };
}

function claimed(vmId: string, options: {
  readonly incarnation?: string;
  readonly revision?: number;
  readonly failureDomain?: string;
}) {
  const { incarnation = "i1", revision = 1, failureDomain = "a" } = options;
  return {
    kind: "claimed",
    vmId,
    incarnation,
    failureDomain,
    groups,
    revision,
  };
}

const DOMAINS_SET = {
  kind: "domains_set",
  domains: ["a", "b"],
  amendsRevision: 0,
};

test("only the first claim of a group starts with a full bucket", (t) => {
  const { holdings, apply } = createHoldings("vm1");
  apply(DOMAINS_SET, 0);
  apply(claimed("vm1", {}), 10);
  t.true(holdings.startOf(GROUP)?.startsFull);
  apply({ kind: "released", vmId: "vm1", claimOffset: 1, groups }, 20);
  apply(claimed("vm1", {}), 30);
  t.false(holdings.startOf(GROUP)?.startsFull);
});

test("a restarted VM treats its lendable capacity as lent", (t) => {
  const { holdings, apply } = createHoldings("vm1");
  apply(DOMAINS_SET, 0);
  apply(claimed("vm1", { incarnation: "i0" }), 10);
  t.like(holdings.startOf(GROUP), { sinceMs: 10, quarantineUntilMs: 1021 });
});

test("a group with a new holder is used only after a delay", (t) => {
  const { holdings, apply } = createHoldings("vm2");
  apply(DOMAINS_SET, 0);
  apply(claimed("vm1", {}), 10);
  const transferred = {
    kind: "transferred",
    fromVmId: "vm1",
    toVmId: "vm2",
    claimOffset: 1,
    groups,
  };
  apply(transferred, 20);
  t.is(holdings.startOf(GROUP)?.sinceMs, 2020);
});

test("a domain whose share grows does not start with a full bucket", (t) => {
  const { holdings, apply } = createHoldings("vm1");
  apply(DOMAINS_SET, 0);
  apply(claimed("vm1", {}), 10);
  apply({ kind: "domains_set", domains: ["a"], amendsRevision: 1 }, 50);
  apply({ kind: "domains_confirmed", vmId: "vm1", revision: 2 }, 90);
  t.like(holdings.startOf(GROUP), { sinceMs: 90, startsFull: false });
});
