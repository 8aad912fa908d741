import test from "ava";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ServiceName,
  type VmEntry,
  type VmId,
  type WeightsVersion,
} from "@endivebend/types";
import { Membership } from "./mod.ts";

const domain = brandId<FailureDomainId>("fd-a");
const service = brandId<ServiceName>("chime-llm");

function entryVm(id: string): VmEntry {
  return {
    vmId: brandId<VmId>(id),
    role: "entry",
    state: "live",
    address: "127.0.0.1:1",
    failureDomain: domain,
  };
}

function engine(id: string, state: VmEntry["state"] = "live"): VmEntry {
  return { ...entryVm(id), role: "engine", state, service };
}

const engineId = brandId<BackendServerId>("e1");

function createMembership(vms: VmEntry[], asOfMs = 1000): Membership {
  const membership = new Membership({ self: entryVm("self"), seeds: [] });
  membership.applyList({ asOfMs, vms });
  return membership;
}

test("an older list does not make a leaving server live again", (t) => {
  const membership = createMembership([engine("e1", "leaving")], 2000);
  membership.applyList({ asOfMs: 1000, vms: [engine("e1")] });
  t.false(membership.backendServers(service, 0)[0]?.takesNewWork);
});

test("a server that announces its leaving gets no new work before the list has it", (t) => {
  const membership = createMembership([engine("e1")]);
  membership.recordServerLeaving(engineId);
  t.false(membership.backendServer(engineId, 0)?.takesNewWork);
});

test("a failed server gets no new work for a while", (t) => {
  const membership = createMembership([engine("e1")]);
  membership.recordServerFailure(engineId, 100);
  t.false(membership.backendServer(engineId, 200)?.takesNewWork);
  t.true(membership.backendServer(engineId, 400)?.takesNewWork);
});

test("a late answer of an ended incarnation does not replace a newer one", (t) => {
  const membership = createMembership([engine("e1")]);
  const weightsVersion = brandId<WeightsVersion>("v1");
  membership.recordServerAnswer(engineId, {
    incarnation: "new",
    weightsVersion,
    asOfMs: 50,
  });
  membership.recordServerAnswer(engineId, {
    incarnation: "old",
    weightsVersion,
    asOfMs: 40,
  });
  t.is(membership.backendServer(engineId, 60)?.incarnation, "new");
});

// Guards against requests that wait for an engine behind a network partition.
test("a server without recent answers is stale until the next answer", (t) => {
  const membership = createMembership([engine("e1")]);
  const isStaleAt = (nowMs: number) =>
    membership.backendServer(engineId, nowMs)?.isStale;
  t.false(isStaleAt(60_000), "no answer was recorded yet");
  const answer = { incarnation: "i", weightsVersion: undefined };
  membership.recordServerAnswer(engineId, { ...answer, asOfMs: 60_000 });
  t.false(isStaleAt(62_000));
  t.true(isStaleAt(64_000));
  membership.recordServerAnswer(engineId, { ...answer, asOfMs: 64_000 });
  t.false(isStaleAt(64_000));
});

test("silent and draining peers are not among the entry VMs", (t) => {
  const membership = createMembership([entryVm("p1"), entryVm("p2")]);
  const descriptor = {
    incarnation: brandId<IncarnationId>("i"),
    failureDomain: domain,
    address: "127.0.0.1:1",
  };
  const p1 = brandId<VmId>("p1");
  const p2 = brandId<VmId>("p2");
  membership.recordPeer({ ...descriptor, vmId: p1, draining: false }, 0);
  membership.recordPeer({ ...descriptor, vmId: p2, draining: true }, 0);
  const idsAt = (nowMs: number) =>
    membership.entryVms(nowMs).map((entry) => String(entry.vmId));
  t.deepEqual(idsAt(1000), ["p1", "self"]);
  t.deepEqual(idsAt(6000), ["self"]);
});

test("a VM has ended only when a sufficiently recent list lacks it", (t) => {
  const membership = createMembership([entryVm("p1")], 1000);
  const p1 = brandId<VmId>("p1");
  t.false(membership.hasEnded(brandId<VmId>("never-listed"), 0));
  membership.applyList({ asOfMs: 5000, vms: [] });
  t.false(membership.hasEnded(p1, 1000));
  membership.applyList({ asOfMs: 40_000, vms: [] });
  t.true(membership.hasEnded(p1, 1000));
});
