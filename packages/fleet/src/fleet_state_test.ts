import test from "ava";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type VmId,
} from "@endivebend/types";
import { FleetState } from "./mod.ts";
import { gossipMessage as message, SERVER, TEAM } from "./testing.ts";

function newState(): FleetState {
  const vm = brandId<VmId>("vm-1");
  const limitWindowMs = 10_000;
  return new FleetState(vm, brandId<FailureDomainId>("a"), { limitWindowMs });
}

test("spending counts once when messages are lost or reordered", (t) => {
  const fleet = newState();
  t.deepEqual(fleet.applyMessage(message(), 0)?.spent, []);
  const laterMessage = message({ sequence: 5, spent: { [TEAM]: 130 } });
  t.deepEqual(fleet.applyMessage(laterMessage, 10)?.spent, [{
    team: TEAM,
    units: 30,
  }]);
  t.is(fleet.applyMessage(message({ sequence: 4 }), 20), undefined);
});

test("the spending of a restarted daemon counts from zero again", (t) => {
  const fleet = newState();
  fleet.applyMessage(message({ sequence: 9 }), 0);
  const restarted = message({
    incarnation: brandId<IncarnationId>("second"),
    spent: { [TEAM]: 5 },
  });
  t.deepEqual(fleet.applyMessage(restarted, 10)?.spent, []);
});

test("an unreachable daemon keeps its share until it is removed", (t) => {
  const fleet = newState();
  fleet.applyMessage(message(), 0);
  t.is(fleet.reachableShare(100), 1);
  t.is(fleet.reachableShare(5_000), 0.5);
  t.is(fleet.reachableShare(40_000), 1);
});

test("a daemon that announces its end gives up its share at once", (t) => {
  const fleet = newState();
  fleet.applyMessage(message(), 0);
  fleet.applyMessage(message({ sequence: 2, isLeaving: true }), 10);
  t.is(fleet.size, 1);
});

test("a late message does not bring back a daemon that has left", (t) => {
  const fleet = newState();
  fleet.applyMessage(message(), 0);
  fleet.applyMessage(message({ sequence: 3, isLeaving: true }), 10);
  const late = message({ sequence: 2 });
  t.is(fleet.applyMessage(late, 400, 395), undefined);
  t.is(fleet.size, 1);
  t.is(fleet.sharerCount(10_010), 1);
  const incarnation = brandId<IncarnationId>("second");
  t.truthy(fleet.applyMessage(message({ incarnation }), 11_000));
  t.is(fleet.size, 2);
});

test("a daemon that leaves keeps its part of the limits for a window", (t) => {
  const fleet = newState();
  fleet.applyMessage(message(), 0);
  fleet.applyMessage(message({ sequence: 2, isLeaving: true }), 10);
  t.is(fleet.sharerCount(10_009), 2);
  t.is(fleet.sharerCount(10_010), 1);
});

test("a daemon that is silent keeps its part of the limits", (t) => {
  const fleet = newState();
  fleet.applyMessage(message(), 0);
  fleet.list(brandId<VmId>("vm-3"), "10.0.0.3:7600", 0);
  t.is(fleet.reachableShare(40_000), 1);
  t.is(fleet.sharerCount(40_000), 3);
  t.is(fleet.sharerCount(3_600_000), 1);
});

test("work from an old message does not count", (t) => {
  const fleet = newState();
  fleet.applyMessage(message(), 0);
  t.deepEqual(fleet.workAt(SERVER, 500), { running: 2, prefillTokens: 900 });
  t.deepEqual(fleet.workAt(SERVER, 2_000), { running: 0, prefillTokens: 0 });
});

test("work counts where the newest message of each daemon has it", (t) => {
  const fleet = newState();
  const other = brandId<BackendServerId>("f");
  const vm = brandId<VmId>("vm-3");
  fleet.applyMessage(message(), 0);
  fleet.applyMessage(message({ vm, work: { [SERVER]: [1, 0] } }), 0);
  t.is(fleet.workAt(SERVER, 1).running, 3);
  fleet.applyMessage(message({ sequence: 2, work: { [other]: [4, 7] } }), 10);
  t.is(fleet.workAt(SERVER, 11).running, 1);
  t.deepEqual(fleet.workAt(other, 11), { running: 4, prefillTokens: 7 });
  fleet.applyMessage(message({ vm, sequence: 2, isLeaving: true }), 20);
  t.is(fleet.workAt(SERVER, 21).running, 0);
});

test("messages of the own failure domain are passed on as they came", (t) => {
  const fleet = newState();
  const own = message({ placed: { [SERVER]: ["part"] }, suspects: [SERVER] });
  const vm = brandId<VmId>("vm-3");
  const failureDomain = brandId<FailureDomainId>("b");
  fleet.applyMessage(own, 0);
  fleet.applyMessage(message({ vm, failureDomain }), 0);
  t.deepEqual(fleet.domainMessages(30), [{ message: own, ageMs: 30 }]);
  t.is(fleet.workAt(SERVER, 30).running, 4);
});

test("daemons of a large fleet stay reachable while they send in turn", (t) => {
  const fleet = newState();
  for (let index = 2; index <= 82; index++) {
    const failureDomain = brandId<FailureDomainId>("abc"[index % 3]!);
    const vm = brandId<VmId>(`vm-${index}`);
    fleet.applyMessage(message({ vm, failureDomain }), 0);
  }
  // A daemon of another domain is heard from every 1,800 ms, because senders
  // reach their 54 receivers outside their domain in that time.
  t.is(fleet.reachable(1_300).length, 81);
  t.is(fleet.reachable(1_900).length, 54);
  t.deepEqual(fleet.workAt(SERVER, 1_900).running, 162);
  const reachableInSameDomain = (nowMs: number) =>
    fleet.reachable(nowMs).filter(({ message }) =>
      message?.failureDomain === "a"
    ).length;
  t.is(reachableInSameDomain(1_400), 27);
  t.is(reachableInSameDomain(1_600), 0);
  t.is(fleet.reachable(5_000).length, 0);
});

test("a failure domain is overdue when most of it is, whatever one announces", (t) => {
  const fleet = newState();
  const ofDomain = (index: number, sequence: number) =>
    message({
      vm: brandId<VmId>(`vm-${index + 2}`),
      failureDomain: brandId<FailureDomainId>("b"),
      sequence,
    });
  for (let index = 0; index < 3; index++) {
    fleet.applyMessage(ofDomain(index, 1), 0);
  }
  t.deepEqual(fleet.overdueDomains(1_400, 1_400), []);
  fleet.applyMessage(ofDomain(0, 2), 1_500);
  t.deepEqual(fleet.overdueDomains(1_500, 1_400), [
    { failureDomain: brandId<FailureDomainId>("b"), ageMs: 1_500 },
  ]);
  fleet.applyMessage(ofDomain(1, 2), 1_500, 800);
  t.deepEqual(fleet.overdueDomains(1_500, 1_400), []);
});
