import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import {
  type Candidate,
  type ChoiceRequest,
  chooseServer,
  placeRequest,
  segmentKey,
} from "./mod.ts";
import {
  listedServer,
  MODEL,
  routedRequest,
  SERVICE,
  testContext,
} from "./testing.ts";
import { placeProbe } from "./placement.ts";
import type {
  CacheScope,
  PromptSegmentId,
  SoftwareVersion,
  WeightsVersion,
} from "./types.ts";

const NONE: ReadonlySet<BackendServerId> = new Set();

const SCOPE = "1/" as CacheScope;
const SEGMENTS = ["rulebook", "parish"].map((id) =>
  segmentKey(SCOPE, brandId<PromptSegmentId>(id))
);

function weights(number: number) {
  return new Map([[MODEL, brandId<WeightsVersion>(number)]]);
}

test("prompts that share segments go to one engine while it is free", (t) => {
  const context = testContext();
  const chosen = new Set<string>();
  for (let count = 0; count < 5; count++) {
    const placement = placeRequest(routedRequest("stream"), {
      ...context,
      exclude: NONE,
      hasBegun: false,
      nowMs: 1_000,
    });
    if (placement.kind === "placed") chosen.add(placement.server.listed.id);
  }
  t.is(chosen.size, 1);
});

test("requests for a hot segment spread once its engine queues", (t) => {
  const context = testContext();
  const at = { ...context, exclude: NONE, hasBegun: false, nowMs: 1_000 };
  const first = placeRequest(routedRequest("stream"), at);
  if (first.kind !== "placed") return t.fail();
  for (let count = 0; count < 5; count++) {
    first.server.ownWork.set(brandId(`busy-${count}`), {
      prefillTokens: 9_000,
    });
  }
  const second = placeRequest(routedRequest("stream"), at);
  t.is(second.kind, "placed");
  if (second.kind === "placed") t.not(second.server, first.server);
});

test("an engine fetches segments that it lacks from one that has them", (t) => {
  const context = testContext({ cacheStores: () => ["10.9.9.9:1"] });
  const holder = context.registry.get(brandId("one"))!;
  context.registry.recordPlacement(holder.listed.id, SEGMENTS, 100);
  const placement = placeRequest(routedRequest("stream"), {
    ...context,
    exclude: new Set([holder.listed.id]),
    hasBegun: false,
    nowMs: 1_000,
  });
  if (placement.kind !== "placed") return t.fail();
  // The holder is excluded, so the store is the source.
  t.is(placement.cache.fetchFrom, "10.9.9.9:1");
  const busy = { prefillTokens: 50_000 };
  holder.ownWork.set(brandId("busy"), busy);
  const elsewhere = placeRequest(routedRequest("stream"), {
    ...context,
    exclude: NONE,
    hasBegun: false,
    nowMs: 1_000,
  });
  if (elsewhere.kind !== "placed") return t.fail();
  t.is(elsewhere.cache.fetchFrom, holder.listed.address);
  holder.ownWork.clear();
  const chosenHolder = placeRequest(routedRequest("stream"), {
    ...context,
    exclude: NONE,
    hasBegun: false,
    nowMs: 1_000,
  });
  if (chosenHolder.kind !== "placed") return t.fail();
  // The holder may have evicted the segments, so its source is the store.
  t.is(chosenHolder.server, holder);
  t.is(chosenHolder.cache.fetchFrom, "10.9.9.9:1");
});

test("no request starts on weights that were replaced too long ago", (t) => {
  const named = [
    {
      weights: brandId<WeightsVersion>(2),
      firstSeenAtMs: 1_000,
      isAgeKnown: true,
    },
    {
      weights: brandId<WeightsVersion>(3),
      firstSeenAtMs: 7_000,
      isAgeKnown: true,
    },
  ];
  const context = testContext({ namedWeights: () => named });
  const at = { ...context, exclude: NONE, hasBegun: false };
  t.is(
    placeRequest(routedRequest("stream"), { ...at, nowMs: 7_000 }).kind,
    "placed",
  );
  const late = placeRequest(routedRequest("stream"), { ...at, nowMs: 8_000 });
  t.deepEqual(late, { kind: "refused", reason: "stale_weights" });
  context.registry.upsert(listedServer("one", { weights: weights(3) }));
  t.is(
    placeRequest(routedRequest("stream"), { ...at, nowMs: 8_000 }).kind,
    "placed",
  );
});

test("plain requests go to the server with free slots", (t) => {
  const context = testContext();
  const busy = context.registry.get(brandId("one"))!;
  for (let count = 0; count < 8; count++) {
    busy.ownWork.set(brandId(`busy-${count}`), { prefillTokens: 0 });
  }
  const placement = placeRequest(routedRequest("repeatable"), {
    ...context,
    exclude: NONE,
    hasBegun: false,
    nowMs: 1_000,
  });
  t.is(placement.kind, "placed");
  if (placement.kind === "placed") t.not(placement.server, busy);
});

test("a server that is leaving gets no new requests", (t) => {
  const context = testContext();
  context.registry.upsert(listedServer("one", { isLeaving: true }));
  context.registry.remove(brandId("second"), { nowMs: 1_000, mayBeBack: true });
  const at = { ...context, exclude: NONE, hasBegun: false };
  // Its entry may have lapsed in a store outage, so it stays usable briefly.
  t.is(
    placeRequest(routedRequest("repeatable"), { ...at, nowMs: 1_100 }).kind,
    "placed",
  );
  t.deepEqual(
    placeRequest(routedRequest("repeatable"), { ...at, nowMs: 3_000 }),
    {
      kind: "refused",
      reason: "no_server",
    },
  );
  t.is(context.registry.usable(SERVICE, 3_000).length, 0);
});

test("a daemon that starts late prefers engines with current weights", (t) => {
  const named = [{
    weights: brandId<WeightsVersion>(2),
    firstSeenAtMs: 1_000,
    isAgeKnown: false,
  }];
  const context = testContext({ namedWeights: () => named });
  const at = { ...context, exclude: NONE, hasBegun: false, nowMs: 1_000 };
  t.is(placeRequest(routedRequest("stream"), at).kind, "placed");
  context.registry.upsert(listedServer("second", { weights: weights(2) }));
  const updated = context.registry.get(brandId("second"))!;
  for (let count = 0; count < 7; count++) {
    updated.ownWork.set(brandId(`busy-${count}`), { prefillTokens: 1_000 });
  }
  const placement = placeRequest(routedRequest("stream"), at);
  t.is(placement.kind === "placed" && placement.server, updated);
});

test("requests for a segment being prefilled wait at its engine", (t) => {
  const context = testContext({ cacheStores: () => ["10.9.9.9:1"] });
  const reader = context.registry.get(brandId("one"))!;
  reader.ownWork.set(brandId("reading"), { prefillTokens: 6_300 });
  const at = { ...context, exclude: NONE, hasBegun: false };
  context.registry.recordPlacement(reader.listed.id, SEGMENTS, 900);
  const early = placeRequest(routedRequest("stream"), { ...at, nowMs: 1_000 });
  t.is(early.kind === "placed" && early.server, reader);
  // Once the segment is prefilled, another engine can fetch it.
  const later = placeRequest(routedRequest("stream"), { ...at, nowMs: 1_600 });
  t.not(later.kind === "placed" && later.server, reader);
});

test("no request queues so long that its engine's weights are too old", (t) => {
  const named = [{
    weights: brandId<WeightsVersion>(2),
    firstSeenAtMs: 1_000,
    isAgeKnown: true,
  }];
  const context = testContext({ namedWeights: () => named });
  const at = { ...context, exclude: NONE, hasBegun: false, nowMs: 7_000 };
  t.is(placeRequest(routedRequest("stream"), at).kind, "placed");
  // 67,000 tokens take 1.75 s to prefill. A request behind them started 57 ms
  // late in the users' scenario trouble-2 with seed 1011094296148.
  for (const server of context.registry.all()) {
    server.ownWork.set(brandId("queue"), { prefillTokens: 67_000 });
  }
  t.deepEqual(placeRequest(routedRequest("stream"), at), {
    kind: "refused",
    reason: "stale_weights",
  });
});

test("prompts with different shared segments use different stores", (t) => {
  const stores = ["10.9.9.1:1", "10.9.9.2:1", "10.9.9.3:1"];
  const context = testContext({ cacheStores: () => stores });
  const used = new Set<string | undefined>();
  for (let index = 0; index < 40; index++) {
    const id = brandId<PromptSegmentId>(`parish-${index}`);
    const { work } = routedRequest("stream");
    const prompt = work!.prompt.with(1, { id, tokens: 3_800 });
    const placement = placeRequest(
      routedRequest("stream", { work: { ...work!, prompt } }),
      { ...context, exclude: NONE, hasBegun: false, nowMs: 1_000 },
    );
    if (placement.kind === "placed") used.add(placement.cache.saveTo);
  }
  t.is(used.size, stores.length);
});

// A quarter of all engines falls silent in a large fleet. Each daemon would try
// a dark engine again and again with a request that is lost there.
test("a silent engine stays avoided until the daemon that watches it hears from it", (t) => {
  const { registry } = testContext();
  const server = registry.get(brandId<BackendServerId>("one"))!;
  const { id } = server.listed;
  registry.recordWatched(id, 1_000);
  registry.recordSuspicion(id, { nowMs: 3_000, roundMs: 200 });
  t.true(registry.isAvoided(server, 3_500));
  t.true(registry.isAvoided(server, 9_000), "nobody has heard from it");
  registry.recordWatched(id, 9_100);
  t.false(registry.isAvoided(server, 9_200));
});

test("a suspicion lasts until the suspecting daemon can be heard again", (t) => {
  const { registry } = testContext();
  const server = registry.get(brandId<BackendServerId>("one"))!;
  registry.recordSuspicion(server.listed.id, { nowMs: 3_000, roundMs: 1_800 });
  t.true(registry.isAvoided(server, 5_600));
  t.false(registry.isAvoided(server, 5_800));
});

test("an engine that its watcher hears is not avoided for one daemon's suspicion", (t) => {
  const { registry } = testContext();
  const server = registry.get(brandId<BackendServerId>("one"))!;
  for (let nowMs = 3_000; nowMs < 9_000; nowMs += 1_400) {
    registry.recordWatched(server.listed.id, nowMs);
  }
  registry.recordSuspicion(server.listed.id, { nowMs: 8_000, roundMs: 200 });
  t.false(registry.isAvoided(server, 8_700));
});

// A quarter of all engines is dark. Daemons see slightly different queues, and
// each sent the segments of a dark engine elsewhere, to be prefilled again.
test("daemons with different queues in view agree on a dark engine's successor", (t) => {
  const request: ChoiceRequest = {
    promptTokens: 9_000,
    sharedTokens: 6_300,
    fetchableTokens: 0,
    affinityKey: "parish",
    failureDomain: "a",
    usesPools: false,
  };
  const choose = (busy: number, dark: readonly string[]) =>
    chooseServer(
      request,
      Array.from({ length: 12 }, (_, index): Candidate => ({
        id: brandId<BackendServerId>(`e${index}`),
        failureDomain: "a",
        running: index === busy ? 2 : 6,
        slots: 16,
        prefillTokens: index === busy ? 0 : 1_500,
        cachedTokens: 0,
        failureRate: 0,
        isAvoided: dark.includes(`e${index}`),
        isLoading: false,
        staleWeightsCostMs: 0,
        scarcity: 0,
      })),
    )!.id;
  const views = [1, 4, 7, 10];
  const owners = new Set(views.map((idle) => choose(idle, [])));
  t.is(owners.size, 1);
  const successors = new Set(views.map((idle) => choose(idle, [...owners])));
  t.is(successors.size, 1);
});

test("a request bound to a software version is placed at no other and at no unknown one", (t) => {
  const { registry, ...context } = testContext({
    namedWeights: () => [
      { weights: brandId(1), firstSeenAtMs: -20_000, isAgeKnown: true },
      { weights: brandId(2), firstSeenAtMs: -20_000, isAgeKnown: true },
    ],
  });
  const upsert = (id: string, version: string | undefined, named = 2) =>
    registry.upsert(listedServer(id, {
      softwareVersion: version as SoftwareVersion | undefined,
      weights: weights(named),
    }));
  const bound = {
    ...context,
    registry,
    exclude: NONE,
    hasBegun: true,
    softwareVersion: brandId<SoftwareVersion>("v2"),
    nowMs: 1_000,
  };
  const request = routedRequest("resumable_stream");
  upsert("one", "v1");
  upsert("second", undefined);
  t.deepEqual(placeRequest(request, bound), {
    kind: "refused",
    reason: "no_server",
  });
  upsert("third", "v2");
  const placement = placeRequest(request, bound);
  if (placement.kind !== "placed") return t.fail();
  t.is(placement.server.listed.id, brandId<BackendServerId>("third"));

  upsert("one", "v1", 1);
  upsert("second", undefined, 1);
  upsert("third", "v3", 1);
  t.is(placeProbe(request, bound), undefined);
  const unknown = { ...bound, softwareVersion: undefined };
  t.is(placeRequest(request, unknown).kind, "refused");
  t.is(placeProbe(request, unknown), undefined);
  t.truthy(placeProbe(request, { ...unknown, hasBegun: false }));
});
