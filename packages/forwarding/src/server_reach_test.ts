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
  type LinkState,
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
  reach.recordLoss(servers[0]!, "refused");
  t.false(reach.needsForwarder(servers[0]!));
  t.false(reach.needsForwarder(servers[1]!));
});

test("two servers that accept none are a cut until another one accepts", (t) => {
  const { reach, servers, events, state } = create(8);
  reach.recordAnswer(servers[5]!);
  state.nowMs += 100;
  reach.recordLoss(servers[0]!, "refused");
  reach.recordLoss(servers[1]!, "refused");
  t.true(servers.every((server) => reach.needsForwarder(server)));
  state.nowMs += 100;
  reach.recordAnswer(servers[4]!);
  t.false(servers.some((server) => reach.needsForwarder(server)));
  t.deepEqual(events, ["cut off", "restored"]);
});

test("a cut that heals for some servers leaves the others to forwarders", (t) => {
  const { reach, servers, state } = create(4);
  for (const server of servers) reach.recordLoss(server, "refused");
  state.nowMs += 500;
  reach.recordAnswer(servers[0]!);
  t.deepEqual(servers.map((server) => reach.needsForwarder(server)), [
    false,
    true,
    true,
    true,
  ]);
});

test("a service with one server is cut off when that one accepts none", (t) => {
  const { reach, servers } = create(1);
  reach.recordLoss(servers[0]!, "refused");
  t.true(reach.needsForwarder(servers[0]!));
});

test("a cut is forgotten when nothing has been tried for some time", (t) => {
  const { reach, servers, state } = create(3);
  for (const server of servers) reach.recordLoss(server, "refused");
  state.nowMs += 10_000;
  t.is(reach.cutOffSinceMs(SERVICE), undefined);
});

test("an answer on a connection that was opened before a cut does not end it", (t) => {
  const { reach, servers, state } = create(4);
  const openedAtMs = state.nowMs;
  state.nowMs += 100;
  reach.recordLoss(servers[0]!, "reset");
  reach.recordLoss(servers[1]!, "silent");
  reach.recordAnswer(servers[2]!, openedAtMs);
  t.true(reach.needsForwarder(servers[2]!));
  t.deepEqual(reach.failures(SERVICE), { reset: 1, silent: 1 });
});

test("connections that fail while another one is answered are no cut", (t) => {
  const { reach, servers, events, state } = create(8);
  const openedAtMs = state.nowMs;
  state.nowMs += 400;
  reach.recordAnswer(servers[2]!, openedAtMs);
  reach.recordLoss(servers[0]!, "silent", openedAtMs);
  reach.recordLoss(servers[1]!, "silent", openedAtMs);
  t.deepEqual(events, []);
});

test("a server that was down before a cut does not hide it", (t) => {
  const { reach, servers, state } = create(8);
  reach.recordLoss(servers[0]!, "refused");
  state.nowMs += 100;
  reach.recordAnswer(servers[1]!);
  state.nowMs += 100;
  reach.recordLoss(servers[0]!, "refused");
  reach.recordLoss(servers[2]!, "reset");
  t.is(reach.cutOffSinceMs(SERVICE), undefined, "one may be down by itself");
  reach.recordLoss(servers[3]!, "reset");
  t.not(reach.cutOffSinceMs(SERVICE), undefined);
});

function createChecks(count: number, state: LinkState) {
  const created = create(count);
  const asked: string[] = [];
  let settle = () => {};
  const settled = new Promise<void>((resolve) => settle = resolve);
  const checks = new ReachChecks({
    reach: created.reach,
    scheduler: { after: () => () => {} },
    nowMs: () => created.state.nowMs,
    usable: () => created.servers,
    listed: () => created.servers,
    checked() {},
    checkAnswering: async ({ address }) => {
      asked.push(address);
      await settled;
      return state;
    },
  });
  return { ...created, checks, asked, settle };
}

test("a server that answers nothing is asked, and others when it stays silent", async (t) => {
  const { checks, servers, asked, settle, reach } = createChecks(8, "silent");
  checks.noteUnanswered(servers[0]!, 500);
  checks.noteUnanswered(servers[1]!, 500);
  t.deepEqual(asked, [servers[0]!.address]);
  t.true(checks.isInDoubt(SERVICE));
  settle();
  await new Promise(setImmediate);
  t.is(asked.length, 5);
  t.not(reach.cutOffSinceMs(SERVICE), undefined);
});

test("servers that are slow lead to one question in some time", async (t) => {
  const { checks, servers, asked, settle, state } = createChecks(8, "answered");
  settle();
  for (let count = 0; count < 30; count++) {
    const server = servers[count % servers.length]!;
    checks.noteUnanswered(server, state.nowMs - 50);
    await new Promise(setImmediate);
    state.nowMs += 100;
  }
  t.is(asked.length, 2, "in 3 s");
  t.false(checks.isInDoubt(SERVICE));
});

test("a request that was sent before the service last answered raises no doubt", (t) => {
  const { checks, servers, asked, reach, state } = createChecks(8, "answered");
  reach.recordAnswer(servers[1]!);
  checks.noteUnanswered(servers[0]!, state.nowMs - 1);
  t.deepEqual(asked, []);
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
    checked() {},
    checkAnswering: ({ address }) => {
      opened.push(address);
      return Promise.resolve<LinkState>("no_connection");
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
    checked() {},
    checkAnswering: ({ address }) => {
      opened.push(address);
      return Promise.resolve<LinkState>("answered");
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
    checked() {},
    checkAnswering: ({ address }) =>
      Promise.resolve<LinkState>(
        address === alive.address ? "answered" : "refused",
      ),
  });
  reach.recordAnswer(alive);
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
