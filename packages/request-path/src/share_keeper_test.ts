import test from "ava";
import { deflateRawSync } from "node:zlib";
import {
  brandId,
  type RequestId,
  type ServiceName,
  type TeamId,
} from "@endivebend/types";
import {
  findShareRules,
  placeRequest,
  ServerRegistry,
  ShareKeeper,
  type TeamWorkEntry,
} from "./mod.ts";
import {
  listedServer,
  route,
  routedRequest,
  SERVICE,
  team,
  testContext,
} from "./testing.ts";
import type { Configuration, Route, RoutedRequest } from "./types.ts";

const URGENT = route("stream", { urgency: 0, targetMs: 400 });
const LESS = route("stream", { urgency: 2, targetMs: 1_200 });
const OWN = team({ id: brandId<TeamId>("own") });
const OTHER = team({ id: brandId<TeamId>("other") });

function configurationOf(
  routes: readonly Route[],
  teams: Configuration["teams"],
): Configuration {
  return {
    revision: 1,
    routes,
    services: [],
    cacheStores: [],
    teams,
    teamByKey: new Map(),
    callerLimits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** A keeper for a dozen servers that have so many prompts each. */
function keeperAt(
  promptsEach: number,
  {
    routes = [URGENT, LESS],
    teams = [OWN, OTHER],
    peers = [] as readonly TeamWorkEntry[],
  } = {},
) {
  const registry = new ServerRegistry();
  const logged: Record<string, unknown>[] = [];
  const counted: string[] = [];
  const keeper = new ShareKeeper({
    registry,
    log: { decision: (step, fields) => logged.push({ step, ...fields }) },
    metrics: {
      count: (name, labels) =>
        counted.push([name, ...Object.values(labels ?? {})].join(" ")),
      observeMs() {},
    },
    peerTeamWork: () => peers,
  });
  keeper.configure(configurationOf(routes, teams));
  for (let index = 0; index < 12; index++) {
    registry.upsert(listedServer(`e${index}`));
    const server = registry.get(brandId(`e${index}`))!;
    for (let prompt = 0; prompt < promptsEach; prompt++) {
      const request = requestOf({
        requestId: brandId<RequestId>(`w${index}-${prompt}`),
      });
      keeper.opened(request);
      server.ownWork.set(request.requestId, { prefillTokens: 9_000 });
    }
  }
  const server = registry.get(brandId("e0"))!;
  const refusal = (
    fields: Partial<RoutedRequest> = {},
    isAdmitted = false,
  ) =>
    keeper.refusal(requestOf(fields), {
      server,
      tokensToRead: 9_000,
      isAdmitted,
      nowMs: 1_000,
    });
  return { keeper, registry, logged, counted, refusal };
}

function requestOf(fields: Partial<RoutedRequest> = {}): RoutedRequest {
  return routedRequest("stream", { route: LESS, team: OWN, ...fields });
}

// Guards against changing how deployments are served that rank routes by one
// level, or whose urgent prompts can wait for longer than the others.
test("only services whose stream routes differ by two levels of urgency are shared", (t) => {
  const plain = route("at_most_once", { urgency: 3 });
  const oneLevel = route("stream", { urgency: 1, targetMs: 1_200 });
  const shorter = route("stream", { urgency: 2, targetMs: 300 });
  const find = (routes: readonly Route[], teams = [OWN]) =>
    findShareRules({ routes, teams }).get(SERVICE);
  t.is(find([LESS, plain]), undefined);
  t.is(find([URGENT, oneLevel]), undefined);
  t.is(find([URGENT, shorter]), undefined);
  t.is(find([URGENT, LESS], []), undefined);
  t.like(find([LESS, plain, URGENT]), {
    urgencies: [0, 2],
    smallestTargetMs: 400,
  });
});

test("teams weigh as their rates among those of the same unit", (t) => {
  const teams = [
    team({ id: brandId<TeamId>("a"), ratePerS: 3_000, unit: "tokens" }),
    team({ id: brandId<TeamId>("b"), ratePerS: 1_000, unit: "tokens" }),
    team({ id: brandId<TeamId>("c"), ratePerS: 7, unit: "calls" }),
    team({ id: brandId<TeamId>("d") }),
  ];
  const { weights } = findShareRules({ routes: [URGENT, LESS], teams })
    .get(SERVICE)!;
  t.deepEqual([...weights.values()], [1.5, 0.5, 1]);
  t.false(weights.has(brandId<TeamId>("d")));
});

test("without a shortage, teams or different urgencies nothing is refused", (t) => {
  t.is(keeperAt(0).refusal(), undefined);
  t.is(keeperAt(9, { routes: [LESS] }).refusal(), undefined);
  t.is(keeperAt(9, { teams: [] }).refusal(), undefined);
  t.truthy(keeperAt(9).refusal());
});

test("streams that have begun, take-ups and plain requests are not refused", (t) => {
  const { refusal } = keeperAt(9);
  t.is(refusal({}, true), undefined);
  t.is(refusal({ resumeAfter: "4" }), undefined);
  const resumable = route("resumable_stream", { urgency: 2 });
  t.is(
    refusal({ route: resumable, takesUp: brandId<RequestId>("q-0") }),
    undefined,
  );
  t.is(refusal({ work: undefined }), undefined);
});

test("a shortage and each refusal are logged and counted", (t) => {
  const { refusal, logged, counted, registry } = keeperAt(9);
  refusal();
  t.deepEqual(counted, ["shortages begun", "shed 2 queue"]);
  t.like(logged[0], { step: "shortage", change: "begun", requests: 108 });
  t.like(logged[1], { step: "shed", team: "own", urgency: 2, cause: "queue" });
  for (const { ownWork } of registry.all()) ownWork.clear();
  t.is(refusal(), undefined);
  t.like(logged[2], { change: "ended", refused: { queue: 1 } });
});

test("servers that are avoided count neither as places nor as work", (t) => {
  const { refusal, registry } = keeperAt(9);
  for (const server of registry.all()) {
    if (server.listed.id !== "e0") server.avoidUntilMs = 9_000;
    else server.ownWork.clear();
  }
  t.is(refusal(), undefined);
});

test("peers are told of sums by team and urgency, in a shortage only", (t) => {
  t.deepEqual(keeperAt(0).keeper.teamWork(1_000), {});
  const { keeper, registry } = keeperAt(3);
  const urgent = requestOf({
    requestId: brandId<RequestId>("u"),
    route: URGENT,
    team: OTHER,
  });
  keeper.opened(urgent);
  registry.get(brandId("e1"))!.ownWork.set(urgent.requestId, {
    prefillTokens: 620,
  });
  const told = keeper.teamWork(1_000);
  t.deepEqual(told, {
    [SERVICE]: [["own", 2, 36, 3_240, 0], ["other", 0, 1, 6, 0]],
  } as Record<ServiceName, readonly TeamWorkEntry[]>);
  keeper.ended(urgent);
  t.is(keeper.teamWork(1_000)[SERVICE]!.length, 1);
});

test("peers are told of what arrives, refused or not, as long as it counts", (t) => {
  const { keeper, refusal, registry } = keeperAt(9);
  for (let index = 0; index < 5; index++) refusal({ team: OTHER });
  for (const { ownWork } of registry.all()) ownWork.clear();
  registry.get(brandId("e1"))!.ownWork.set(brandId("peer"), {
    prefillTokens: 900_000,
  });
  const told = (nowMs: number) => keeper.teamWork(nowMs)[SERVICE];
  // 5 requests of 9,000 tokens within a second.
  t.deepEqual(told(1_000), [["other", 2, 0, 0, 450]]);
  t.deepEqual(told(2_000), [["other", 2, 0, 0, 166]]);
});

// Bytes between failure domains are charged for.
test("what a daemon tells of five teams takes some 60 bytes", (t) => {
  const entries = Array.from(
    { length: 5 },
    (_, index) => [
      `team-${index}`,
      index % 2 * 2,
      index + 1,
      90 + index * 7,
      40 + index * 13,
    ],
  );
  const rest = '"work":{"e-1":[3,9190],"e-2":[1,826]},"records":{"servers":9}';
  const sizeOf = (text: string) => deflateRawSync(text).length;
  const added =
    sizeOf(`${rest},"teamWork":${JSON.stringify({ engines: entries })}`) -
    sizeOf(rest);
  t.log(`${added} bytes`);
  t.true(added <= 80);
});

test("placement refuses by the shares, and by the queue where they don't decide", (t) => {
  const context = testContext();
  const at = { ...context, exclude: new Set<never>(), hasBegun: false };
  const refusal = {
    cause: "team",
    retryInMs: 700,
    aheadMs: 1,
    limitMs: 1,
    level: 0,
  } as const;
  const place = (isRefused: boolean, decides: boolean) =>
    placeRequest(requestOf(), {
      ...at,
      shares: {
        refusal: () => isRefused ? refusal : undefined,
        decides: () => decides,
      },
      nowMs: 1_000,
    });
  t.deepEqual(place(true, true), {
    kind: "refused",
    reason: "overloaded",
    retryInMs: 700,
  });
  for (const server of context.registry.all()) {
    server.ownWork.set(brandId("queue"), { prefillTokens: 60_000 });
  }
  t.is(place(false, true).kind, "placed");
  t.is(place(false, false).kind, "refused");
});
