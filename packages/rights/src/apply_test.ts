import test from "ava";
import fc from "fast-check";
import {
  brandId,
  type FailureDomainId,
  type LogOffset,
  type LogRecord,
  type TeamGroup,
  type VmId,
} from "@endivebend/types";
import {
  applyRightsRecord,
  createRightsState,
  decodeGroups,
  decodeRightsState,
  encodeGroups,
  encodeRightsState,
  holderOf,
  planClaims,
  planHandovers,
  rebuildFromSnapshot,
  type RightsState,
  shareOfLimit,
  splitsInUse,
} from "./mod.ts";

const SEED = Number(process.env.SEED ?? 20_261_204);
const GROUP = 3 as TeamGroup;
const VMS = ["a1", "a2", "b1", "c1"];
const groups = encodeGroups([GROUP]);
const domainOf = (vmId: string) => brandId<FailureDomainId>(vmId.slice(0, 1));

function toRecords(values: readonly unknown[]): LogRecord[] {
  return values.map((value, index) => ({
    offset: brandId<LogOffset>(index),
    appendedAtMs: index,
    value,
  }));
}

function applyAll(values: readonly unknown[]): RightsState {
  const state = createRightsState();
  for (const record of toRecords(values)) applyRightsRecord(state, record);
  return state;
}

function claim(vmId: string, revision = 1) {
  const failureDomain = domainOf(vmId);
  return {
    kind: "claimed",
    vmId,
    incarnation: "i",
    failureDomain,
    groups,
    revision,
  };
}

function setDomains(domains: string, amendsRevision = 0) {
  return { kind: "domains_set", domains: [...domains], amendsRevision };
}

function holderIn(state: RightsState, domain: string): VmId | undefined {
  const id = brandId<FailureDomainId>(domain);
  return holderOf(state, { domain: id, group: GROUP });
}

const anyRecord = fc.oneof(
  fc.constantFrom(...VMS).map((vmId) => claim(vmId)),
  fc.record({
    kind: fc.constant("released"),
    vmId: fc.constantFrom(...VMS),
    claimOffset: fc.nat(20),
    groups: fc.constant(groups),
  }),
  fc.record({
    kind: fc.constant("transferred"),
    fromVmId: fc.constantFrom(...VMS),
    toVmId: fc.constantFrom(...VMS),
    claimOffset: fc.nat(20),
    groups: fc.constant(groups),
  }),
  fc.record({
    kind: fc.constant("vm_ended"),
    vmId: fc.constantFrom(...VMS),
    claimedBefore: fc.nat(20),
  }),
  fc.record({
    kind: fc.constant("domains_set"),
    domains: fc.subarray(["a", "b", "c"], { minLength: 1 }),
    amendsRevision: fc.nat(3),
  }),
  fc.record({
    kind: fc.constant("domains_confirmed"),
    vmId: fc.constantFrom(...VMS),
    revision: fc.nat(4),
  }),
  fc.constantFrom({ kind: "unknown" }, null, 7),
);

test("the first claim in log order wins; later claims change nothing", (t) => {
  const state = applyAll([setDomains("ab"), claim("a2"), claim("a1")]);
  t.is(holderIn(state, "a"), brandId<VmId>("a2"));
});

test("a claim made under an older set of domains is void", (t) => {
  const state = applyAll([
    setDomains("ab"),
    setDomains("abc", 1),
    claim("a1", 1),
  ]);
  t.is(holderIn(state, "a"), undefined);
});

test("a duplicate release does not undo a newer claim", (t) => {
  const released = { kind: "released", vmId: "a1", claimOffset: 1, groups };
  const state = applyAll([
    setDomains("ab"),
    claim("a1"),
    released,
    claim("a1"),
    released,
  ]);
  t.is(holderIn(state, "a"), brandId<VmId>("a1"));
});

test("evidence from before a VM's newest claim does not end the VM", (t) => {
  const ended = { kind: "vm_ended", vmId: "a1", claimedBefore: 0 };
  const state = applyAll([setDomains("ab"), claim("a1"), ended]);
  t.is(holderIn(state, "a"), brandId<VmId>("a1"));
});

test("only the holder can transfer a group, only within its domain", (t) => {
  const transfer = (fromVmId: string, toVmId: string) => ({
    kind: "transferred",
    fromVmId,
    toVmId,
    claimOffset: 1,
    groups,
  });
  const state = applyAll([
    setDomains("ab"),
    claim("a1"),
    claim("b1"),
    transfer("a2", "a1"),
    transfer("a1", "b1"),
  ]);
  t.is(holderIn(state, "a"), brandId<VmId>("a1"));
});

test("snapshots restore the same state at every offset", (t) => {
  t.log(`SEED=${SEED}`);
  const records = fc.array(anyRecord, { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(records, fc.nat(20), (values, cut) => {
      const all = [setDomains("abc"), ...values];
      const whole = applyAll(all);
      const state = decodeRightsState(
        encodeRightsState(applyAll(all.slice(0, cut))),
      );
      for (const record of toRecords(all)) applyRightsRecord(state, record);
      return encodeRightsState(state) === encodeRightsState(whole);
    }),
    { seed: SEED },
  );
  t.pass();
});

test("a log without its oldest records is rebuilt from a snapshot", (t) => {
  const values = [setDomains("ab"), claim("a1")];
  const stateJson = encodeRightsState(applyAll(values));
  const snapshot = { kind: "snapshot", asOfOffset: 2, stateJson };
  // The claim of b1 was appended after the state was encoded, but before the
  // snapshot record.
  const records = toRecords([...values, claim("b1"), snapshot]).slice(2);
  const state = rebuildFromSnapshot(records);
  t.is(state && holderIn(state, "a"), brandId<VmId>("a1"));
  t.is(state && holderIn(state, "b"), brandId<VmId>("b1"));
  t.is(rebuildFromSnapshot(records.slice(1)), undefined);
});

test("shares never sum to more than the limit for any mix of views", (t) => {
  t.log(`SEED=${SEED}`);
  const records = fc.array(anyRecord, { maxLength: 20 });
  const offsets = fc.array(fc.nat(21), { minLength: 3, maxLength: 3 });
  fc.assert(
    fc.property(records, offsets, fc.nat(1000), (values, views, limit) => {
      const all = [setDomains("abc"), ...values];
      const newest = applyAll(all);
      let sum = 0;
      for (const [index, name] of ["a", "b", "c"].entries()) {
        const domain = brandId<FailureDomainId>(name);
        const holder = holderIn(newest, name);
        if (holder === undefined) continue;
        // A VM has applied at least its own records and its newest claim.
        const own = newest.vms.get(holder);
        const lastOwn = all.findLastIndex((value) =>
          value !== null && typeof value === "object" &&
          "vmId" in value && value.vmId === holder
        );
        const minRecords = Math.max(own?.lastClaimOffset ?? 0, lastOwn) + 1;
        const view = applyAll(
          all.slice(0, Math.max(views[index] ?? 0, minRecords)),
        );
        sum += shareOfLimit(splitsInUse(view, GROUP), { domain, limit });
      }
      return sum <= limit;
    }),
    { seed: SEED, numRuns: 2000 },
  );
  t.pass();
});

test("shares of a confirmed split use the whole limit", (t) => {
  const state = applyAll([setDomains("abc")]);
  const shares = ["a", "b", "c"].map((name) =>
    shareOfLimit(splitsInUse(state, GROUP), {
      domain: brandId<FailureDomainId>(name),
      limit: 1000,
    })
  );
  t.deepEqual(shares, [334, 333, 333]);
});

test("VMs claim free groups without overlap and hand over to new VMs", (t) => {
  const vms = ["a1", "a2"].map((vmId) => ({
    vmId: brandId<VmId>(vmId),
    failureDomain: domainOf(vmId),
  }));
  const state = applyAll([setDomains("ab")]);
  const plans = vms.map((self) => planClaims(state, { self, liveVms: vms }));
  t.is(new Set(plans.flat()).size, 1024);
  t.is(plans.flat().length, 1024);
  const [first] = vms;
  if (first === undefined) return t.fail();
  const whole = { ...claim("a1"), groups: encodeGroups(plans.flat()) };
  const held = applyAll([setDomains("ab"), whole]);
  const handovers = planHandovers(held, { self: first, liveVms: vms });
  const offered = [...handovers.values()].flat();
  t.is(offered.length, 32);
  t.true(offered.every((group) => plans[1]?.includes(group)));
});

test("groups survive encoding; text that is no bitmap gives no groups", (t) => {
  t.deepEqual(
    decodeGroups(encodeGroups([0, 1023])),
    [0, 1023].map(
      (group) => group as TeamGroup,
    ),
  );
  t.deepEqual(decodeGroups("AAAA"), []);
});
