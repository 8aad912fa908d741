import test from "ava";
import { FleetState, logPosition, RecordTable } from "@endivebend/fleet";
import {
  type AdmissionController,
  type Configuration,
  type ListedServer,
  NamedWeightsRegistry,
  type SegmentKey,
  ServerRegistry,
  type SoftwareVersion,
  type WeightsVersion,
} from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ModelName,
  type ServiceName,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import {
  findRolloutEngines,
  findWatchedCaches,
  FleetGossip,
  type OperatorRecord,
  RecordApplier,
} from "./mod.ts";

const MODEL = brandId<ModelName>("m");
const ENGINE = brandId<BackendServerId>("e-1");
const TEAM = brandId<TeamId>("st-mary");

function listedEngine(fields: Partial<ListedServer> = {}): ListedServer {
  return {
    id: ENGINE,
    service: brandId<ServiceName>("engines"),
    address: "10.0.0.1:1",
    failureDomain: brandId<FailureDomainId>("a"),
    isLeaving: false,
    slots: 8,
    weights: new Map([[MODEL, brandId<WeightsVersion>(1)]]),
    softwareVersion: brandId<SoftwareVersion>("v1"),
    startedAtMs: 1,
    reportCount: 1,
    ...fields,
  };
}

function createNamedWeights(): NamedWeightsRegistry {
  const named = new NamedWeightsRegistry();
  named.name(MODEL, {
    weights: brandId<WeightsVersion>(2),
    firstSeenAtMs: 0,
    isAgeKnown: true,
  });
  return named;
}

/**
 * One daemon's gossip state with a settable spending, and the spending that it
 * received from peers.
 */
function createDaemon(name: string) {
  const registry = new ServerRegistry();
  registry.upsert(listedEngine());
  const named = new NamedWeightsRegistry();
  const vm = brandId<VmId>(name);
  const failureDomain = brandId<FailureDomainId>("a");
  const fleet = new FleetState(vm, failureDomain, {
    limitWindowMs: 10_000,
  });
  const receivedSpent: number[] = [];
  const receivedPaces: string[] = [];
  const told: Record<BackendServerId, number> = {};
  const paces = {
    pending: () => told,
    recordPeer: (
      id: BackendServerId,
      { vm: peer, percent }: { readonly vm: VmId; readonly percent: number },
    ) => void receivedPaces.push(`${peer} ${id} ${percent}`),
  };
  let spent = 0;
  const gossip = new FleetGossip({
    vm,
    incarnation: brandId<IncarnationId>(`${name}-first`),
    failureDomain,
    address: `10.0.0.9:${name.length}`,
    fleet,
    registry,
    admission: {
      spent: () => ({ [TEAM]: spent }),
      recordPeerSpending: (_team: TeamId, units: number) =>
        receivedSpent.push(units),
    } as unknown as AdmissionController,
    named,
    tables: new Map([["operator", new RecordTable(() => {})]]),
    quarantines: {
      composeReport: () => ({ crashes: [], answeredAgesMs: {} }),
      applyReport() {},
    },
    versionRollouts: { composeReport: () => ({}), applyReport() {} },
    nowMs: () => 1_000,
    reachesStore: () => true,
    rolloutLease: () => ({ epoch: 0, logEnd: 0 }),
    watchedCacheChanges: () => ({}),
    answerAgesMs: () => ({}),
    forwarding: () => ({ reaches: [], open: 0 }),
    logDecision() {},
    paces,
    readAgesMs: () => ({}),
  });
  return {
    registry,
    named,
    fleet,
    receivedSpent,
    receivedPaces,
    told,
    gossip,
    spend(units: number) {
      spent += units;
    },
  };
}

test("an engine that is leaving or has just failed gets no order", (t) => {
  const registry = new ServerRegistry();
  registry.upsert(listedEngine());
  const ids = (nowMs: number) =>
    findRolloutEngines(registry, createNamedWeights(), {
      nowMs,
      weightsBoundMs: 8_000,
    }).map(({ id }) => id);
  t.deepEqual(ids(0), [ENGINE]);
  registry.recordFailure(ENGINE, 0);
  t.deepEqual(ids(100), []);
  t.deepEqual(ids(10_000), [ENGINE]);
  registry.upsert(listedEngine({ isLeaving: true }));
  t.deepEqual(ids(10_000), []);
});

test("the rollout knows when requests may no longer begin on an engine's weights", (t) => {
  const registry = new ServerRegistry();
  registry.upsert(listedEngine());
  const named = createNamedWeights();
  named.name(MODEL, {
    weights: brandId<WeightsVersion>(3),
    firstSeenAtMs: 4_000,
    isAgeKnown: true,
  });
  const context = { nowMs: 5_000, weightsBoundMs: 8_000 };
  const [engine] = findRolloutEngines(registry, named, context);
  t.like(engine, { namedWeights: 3, weightsDeadlineMs: 8_000 });
  registry.upsert(
    listedEngine({ weights: new Map([[MODEL, brandId<WeightsVersion>(3)]]) }),
  );
  const [current] = findRolloutEngines(registry, named, context);
  t.is(current?.weightsDeadlineMs, undefined);
});

test("caches of engines and stores are watched, servers without models are not", (t) => {
  const registry = new ServerRegistry();
  registry.upsert(listedEngine());
  registry.upsert(
    listedEngine({ id: brandId<BackendServerId>("plain"), weights: new Map() }),
  );
  const caches = findWatchedCaches(registry, ["10.9.9.9:1"]);
  t.deepEqual(caches.map(({ address }) => address), [
    "10.0.0.1:1",
    "10.9.9.9:1",
  ]);
});

test("a daemon applies what a peer has spent, placed and named", (t) => {
  const one = createDaemon("one");
  const two = createDaemon("second");
  t.true(two.gossip.receive(one.gossip.composeMessage()));
  one.spend(300);
  const part = "1/|parish" as SegmentKey;
  one.registry.recentPlacements.add(ENGINE, [part], 1_000);
  one.named.name(MODEL, {
    weights: brandId<WeightsVersion>(2),
    firstSeenAtMs: 400,
    isAgeKnown: true,
  });
  const message = one.gossip.composeMessage();
  t.true(two.gossip.receive(message));
  t.deepEqual(two.receivedSpent, [300]);
  t.true(two.registry.sharedSegments.has(part));
  t.is(two.named.history(MODEL)[0]?.firstSeenAtMs, 400);
  // A datagram may be delivered twice.
  t.false(two.gossip.receive(message));
  t.deepEqual(two.receivedSpent, [300]);
});

test("a daemon tells its peers of paces, and only where it has any to tell", (t) => {
  const one = createDaemon("one");
  const two = createDaemon("second");
  const silent = one.gossip.composeMessage();
  t.false("paces" in silent);
  t.true(two.gossip.receive(silent));
  one.told[ENGINE] = 160;
  t.true(two.gossip.receive(one.gossip.composeMessage()));
  t.deepEqual(two.receivedPaces, [`one ${ENGINE} 160`]);
});

// Otherwise the bound on the use of replaced weights ends as much later as relays
// hold messages, in daemons that have missed the name.
test("the age of named weights includes the time that a relayed message took", (t) => {
  const one = createDaemon("one");
  const two = createDaemon("second");
  one.named.name(MODEL, {
    weights: brandId<WeightsVersion>(2),
    firstSeenAtMs: 400,
    isAgeKnown: true,
  });
  t.true(two.gossip.receive(one.gossip.composeMessage(), 350));
  t.is(two.named.history(MODEL)[0]?.firstSeenAtMs, 50);
});

test("a message about older weights does not mark an engine as loading", (t) => {
  const { gossip, registry } = createDaemon("one");
  registry.recordWeights(ENGINE, {
    model: MODEL,
    weights: brandId<WeightsVersion>(3),
    nowMs: 1_000,
  });
  const note = { server: ENGINE, model: MODEL, isDone: false };
  gossip.announceWeightsProgress({ ...note, weights: 2 });
  t.is(registry.get(ENGINE)?.loadingUntilMs, 0);
  gossip.announceWeightsProgress({ ...note, weights: 4 });
  t.true((registry.get(ENGINE)?.loadingUntilMs ?? 0) > 1_000);
});

test("a malformed record changes nothing and is logged", (t) => {
  const steps: string[] = [];
  const registry = new ServerRegistry();
  registry.upsert(listedEngine());
  const revisions: number[] = [];
  const applier = new RecordApplier({
    store: {
      readOperatorRecord: ({ key }): OperatorRecord =>
        key === "config"
          ? {
            kind: "configuration",
            configuration: { revision: 4 } as Configuration,
          }
          : { kind: "malformed" },
      readServer: () => undefined,
    },
    admission: {
      configure({ revision }: Configuration) {
        revisions.push(revision);
        return false;
      },
    } as unknown as AdmissionController,
    registry,
    named: new NamedWeightsRegistry(),
    nowMs: () => 0,
    applyLimits: () => t.fail("An older configuration changed the limits"),
    serverListed() {},
    rolloutOrdered() {},
    wasStoreAway: () => false,
    logDecision: (step) => steps.push(step),
  });
  const value = Buffer.from("{");
  t.false(applier.hasServerRecords);
  applier.applyServerRecords([{
    key: "e-1",
    value,
    position: logPosition(0, 1),
  }]);
  applier.applyOperatorRecords([
    { key: "version/m", value, position: logPosition(0, 2) },
    { key: "config", value, position: logPosition(0, 3) },
  ]);
  t.true(applier.hasServerRecords);
  t.is(registry.get(ENGINE)?.removedAtMs, undefined);
  t.deepEqual(revisions, [4]);
  t.deepEqual(steps, [
    "malformed_record",
    "malformed_record",
    "configuration",
  ]);
});

// Guards against an entry of another writer that replaces the server's own: its
// requests then had no version to expect, and ran on parts of older weights.
test("an entry that lacks what the server has stated does not replace it", (t) => {
  const registry = new ServerRegistry();
  const steps: string[] = [];
  let entry = listedEngine();
  const applier = new RecordApplier({
    store: {
      readOperatorRecord: (): OperatorRecord => ({ kind: "other" }),
      readServer: () => entry,
    },
    admission: {} as unknown as AdmissionController,
    registry,
    named: new NamedWeightsRegistry(),
    nowMs: () => 0,
    applyLimits() {},
    serverListed() {},
    rolloutOrdered() {},
    wasStoreAway: () => false,
    logDecision: (step) => steps.push(step),
  });
  const apply = (fields: Partial<ListedServer>) => {
    entry = listedEngine(fields);
    const value = Buffer.from("{}");
    applier.applyServerRecords([{
      key: ENGINE,
      value,
      position: logPosition(1, steps.length),
    }]);
  };
  apply({});
  apply({ weights: new Map() });
  apply({ startedAtMs: 0 });
  apply({ softwareVersion: undefined });
  t.deepEqual(steps, ["server", ...Array(3).fill("malformed_record")]);
  t.is(registry.get(ENGINE)?.listed.softwareVersion, "v1" as never);
  t.is(registry.get(ENGINE)?.weights.of(MODEL), 1 as never);
  apply({ startedAtMs: 2 });
  t.is(registry.get(ENGINE)?.listed.startedAtMs, 2);
});
