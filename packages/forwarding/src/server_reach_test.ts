import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type ServiceName,
  type VmId,
} from "@endivebend/types";
import test from "ava";
import {
  chooseForwarder,
  type ForwarderCandidate,
  Forwarders,
  type ListenState,
  type ReachableServer,
  ReachChecks,
  ServerReach,
} from "./mod.ts";

const SERVICE = brandId<ServiceName>("engines");

function create(count: number) {
  const servers: ReachableServer[] = Array.from({ length: count }, (_, at) => ({
    id: brandId<BackendServerId>(`e-${at}`),
    service: SERVICE,
    address: `10.0.0.${at}:80`,
    failureDomain: brandId<FailureDomainId>("a"),
  }));
  const events: string[] = [];
  const state = { nowMs: 1_000 };
  const reach = new ServerReach({
    nowMs: () => state.nowMs,
    usable: () => servers,
    cutOff: () => events.push("cut off"),
    restored: () => events.push("restored"),
  });
  return { servers, reach, events, state };
}

test("one server that accepts no connection is no cut", (t) => {
  const { reach, servers } = create(4);
  reach.recordNoConnection(servers[0]!);
  t.false(reach.needsForwarder(servers[0]!));
  t.false(reach.needsForwarder(servers[1]!));
});

test("two servers that accept none are a cut until another one accepts", (t) => {
  const { reach, servers, events, state } = create(8);
  reach.recordConnected(servers[5]!);
  state.nowMs += 100;
  reach.recordNoConnection(servers[0]!);
  reach.recordNoConnection(servers[1]!);
  t.true(servers.every((server) => reach.needsForwarder(server)));
  state.nowMs += 100;
  reach.recordConnected(servers[4]!);
  t.false(servers.some((server) => reach.needsForwarder(server)));
  t.deepEqual(events, ["cut off", "restored"]);
});

test("a cut that heals for some servers leaves the others to forwarders", (t) => {
  const { reach, servers, state } = create(4);
  for (const server of servers) reach.recordNoConnection(server);
  state.nowMs += 500;
  reach.recordConnected(servers[0]!);
  t.deepEqual(servers.map((server) => reach.needsForwarder(server)), [
    false,
    true,
    true,
    true,
  ]);
});

test("a service with one server is cut off when that one accepts none", (t) => {
  const { reach, servers } = create(1);
  reach.recordNoConnection(servers[0]!);
  t.true(reach.needsForwarder(servers[0]!));
});

test("a cut is forgotten when nothing has been tried for some time", (t) => {
  const { reach, servers, state } = create(3);
  for (const server of servers) reach.recordNoConnection(server);
  state.nowMs += 10_000;
  t.is(reach.cutOffSinceMs(SERVICE), undefined);
});

test("a suspicion against one server opens no connection, against two it does", async (t) => {
  const { reach, servers, state } = create(8);
  const opened: string[] = [];
  const checks = new ReachChecks({
    reach,
    scheduler: { after: () => () => {} },
    nowMs: () => state.nowMs,
    usable: () => servers,
    listed: () => servers,
    checkListening: (address) => {
      opened.push(address);
      return Promise.resolve<ListenState>("unknown");
    },
  });
  checks.suspect(servers[0]!);
  checks.suspect(servers[0]!);
  t.is(opened.length, 0);
  checks.suspect(servers[1]!);
  checks.suspect(servers[2]!);
  t.is(opened.length, 4, "one round, however many servers are suspected");
  await new Promise(setImmediate);
  t.not(reach.cutOffSinceMs(SERVICE), undefined);
});

test("answers that are lost together open one connection to another server", async (t) => {
  const { reach, servers, state } = create(8);
  const opened: string[] = [];
  const checks = new ReachChecks({
    reach,
    scheduler: { after: () => () => {} },
    nowMs: () => state.nowMs,
    usable: () => servers,
    listed: () => servers,
    checkListening: (address) => {
      opened.push(address);
      return Promise.resolve<ListenState>("listening");
    },
  });
  const lost = Array.from({ length: 20 }, () => servers[0]!);
  const reached = lost.map((server) => checks.reachesAnother(server));
  t.true((await Promise.all(reached)).every(Boolean));
  t.is(opened.length, 1);
});

test("an end is told from a cut while nearly all servers end", async (t) => {
  const { reach, servers, state } = create(6);
  const alive = servers[5]!;
  const checks = new ReachChecks({
    reach,
    scheduler: { after: () => () => {} },
    nowMs: () => state.nowMs,
    usable: () => servers,
    listed: () => servers,
    checkListening: (address) =>
      Promise.resolve<ListenState>(
        address === alive.address ? "listening" : "closed",
      ),
  });
  reach.recordConnected(alive);
  t.true(await checks.reachesAnother(servers[0]!));
});

function candidate(
  vm: string,
  fields: Partial<ForwarderCandidate> = {},
): ForwarderCandidate {
  return {
    vm: brandId<VmId>(vm),
    address: `${vm}:1`,
    failureDomain: brandId<FailureDomainId>("a"),
    reaches: [SERVICE],
    forwarding: 0,
    ...fields,
  };
}

function choose(candidates: ForwarderCandidate[], open = new Forwarders()) {
  return chooseForwarder(candidates, {
    failureDomain: brandId<FailureDomainId>("a"),
    ownAt: (vm) => open.openAt(vm),
    random: () => 0.5,
  })?.vm;
}

test("a VM of the same failure domain forwards, unless it is much busier", (t) => {
  const far = { failureDomain: brandId<FailureDomainId>("b") };
  t.is(choose([candidate("far", far), candidate("near")]), "near" as VmId);
  const busy = candidate("near", { forwarding: 40 });
  t.is(choose([candidate("far", far), busy]), "far" as VmId);
  t.is(choose([]), undefined);
});

test("requests spread over the VMs that forward", (t) => {
  const open = new Forwarders();
  const counts = new Map<string, number>();
  for (let sent = 0; sent < 40; sent++) {
    const vm = choose(["x", "y", "z"].map((name) => candidate(name)), open)!;
    open.take(vm);
    counts.set(vm, (counts.get(vm) ?? 0) + 1);
  }
  for (const count of counts.values()) t.true(count >= 13, `${count}`);
});
