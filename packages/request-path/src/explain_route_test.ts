import test from "ava";
import {
  brandId,
  type FailureDomainId,
  type ModelName,
  type RequestId,
  type ServiceName,
  type TeamId,
} from "@endivebend/types";
import { ConfigurationView } from "./configuration.ts";
import { type ExplainContext, explainRoute } from "./explain_route.ts";
import { listedServer, route, testContext } from "./testing.ts";
import type { Configuration, TeamRules } from "./types.ts";

const SERVICE = brandId<ServiceName>("llm");
const TEAM = brandId<TeamId>("st-mary");
const KEY = "the-key-of-st-mary";
const RULES: TeamRules = {
  id: TEAM,
  urgency: 3,
  isIsolated: false,
  ratePerS: 100,
  burst: 200,
  unit: "tokens",
  defaultTokens: 10,
};
const QUERY = { host: "bells.example", path: "/draft", team: TEAM };
const WORK = {
  model: brandId<ModelName>("peal"),
  promptTokens: 900,
  maxOutputTokens: 40,
  prompt: [],
};

function configurationOf(fields: Partial<Configuration> = {}): Configuration {
  return {
    revision: 1,
    routes: [
      route("repeatable", { destinations: [{ service: SERVICE, weight: 1 }] }),
    ],
    services: [],
    cacheStores: [],
    teams: [RULES],
    teamByKey: new Map([[KEY, RULES]]),
    callerLimits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...fields,
  };
}

function setUp(configuration: Configuration | undefined = configurationOf()) {
  const context = testContext();
  const { registry } = context;
  for (const [id, domain] of [["s-1", "a"], ["s-2", "a"], ["s-3", "b"]]) {
    registry.upsert(listedServer(id!, {
      service: SERVICE,
      failureDomain: brandId<FailureDomainId>(domain!),
      slots: 2,
    }));
  }
  const explaining: ExplainContext = {
    ...context,
    view: configuration && new ConfigurationView(configuration),
    overLimitMs: () => 0,
  };
  const explain = (
    query: Parameters<typeof explainRoute>[0],
    fields: Partial<ExplainContext> = {},
  ) =>
    explainRoute(query, {
      context: { ...explaining, ...fields },
      nowMs: 1_000,
    });
  return { registry, explain };
}

test("an explanation names the server, the cost of each, and what left others out", (t) => {
  const { registry, explain } = setUp();
  const full = registry.get(listedServer("s-1").id)!;
  for (let index = 0; index < 4; index++) {
    full.ownWork.set(brandId<RequestId>(`r-${index}`), { prefillTokens: 0 });
  }
  registry.recordQuiet(listedServer("s-2").id, 5_000);
  const explanation = explain(QUERY);
  if (explanation.kind !== "routed") return t.fail();
  t.is(explanation.urgency, 3);
  t.is(explanation.cost, 10);
  const [service] = explanation.services;
  t.is(service!.share, 1);
  t.like(service!.outcome, { kind: "placed", server: "s-3" });
  t.deepEqual(service!.candidates.map(({ server }) => server as string), [
    "s-3",
  ]);
  t.deepEqual(
    service!.excluded.map(({ server, by }) => `${server} ${by}`).sort(),
    ["s-1 room", "s-2 quiet"],
  );
});

test("candidates are in the order of their costs, of which the first is chosen", (t) => {
  const { registry, explain } = setUp();
  registry.get(listedServer("s-1").id)!.ownWork.set(
    brandId<RequestId>("r"),
    { prefillTokens: 2_000 },
  );
  const explanation = explain({ ...QUERY, work: WORK });
  if (explanation.kind !== "routed") return t.fail();
  const { outcome, candidates } = explanation.services[0]!;
  const costs = candidates.map(({ costMs }) => costMs);
  t.deepEqual(costs, costs.toSorted((one, other) => one - other));
  t.like(outcome, { kind: "placed", server: candidates[0]!.server });
  t.is(explanation.cost, 940);
});

test("a prompt that would be shed, or has no place, is said to be refused", (t) => {
  const { registry, explain } = setUp();
  for (const { ownWork } of registry.all()) {
    ownWork.set(brandId<RequestId>("r"), { prefillTokens: 900_000 });
  }
  const shed = explain({ ...QUERY, work: WORK });
  if (shed.kind !== "routed") return t.fail();
  t.like(shed.services[0]!.outcome, { kind: "refused", reason: "overloaded" });
  t.is(shed.services[0]!.candidateCount, 3);
  for (const { listed } of [...registry.all()]) {
    registry.remove(listed.id, { nowMs: 1_000, mayBeBack: false });
  }
  const none = explain(QUERY);
  if (none.kind !== "routed") return t.fail();
  t.like(none.services[0]!.outcome, { kind: "refused", reason: "no_server" });
  t.true(none.services[0]!.excluded.every(({ by }) => by === "listed"));
});

const DENIED = {
  unknown_route: { ...QUERY, host: "other.example" },
  unknown_team: { ...QUERY, team: brandId<TeamId>("none") },
  team_required: { ...QUERY, team: undefined },
};

for (const [reason, query] of Object.entries(DENIED)) {
  test(`a request that is refused before it is placed is said to be: ${reason}`, (t) => {
    t.like(setUp().explain(query), { kind: "denied", reason });
  });
}

test("a daemon without a configuration says so", (t) => {
  const { explain } = setUp();
  t.like(explain(QUERY, { view: undefined }), { reason: "no_configuration" });
});

test("a team over its limit and a quarantined segment are named", (t) => {
  const { explain } = setUp();
  t.like(explain(QUERY, { overLimitMs: () => 250.4 }), { overLimitMs: 250 });
  const crashGuard = {
    suspectsOf: () => ({ segments: [], request: "x" }) as never,
    findBlocked: () => ({ untilMs: 2_000 }) as never,
  };
  t.like(explain(QUERY, { crashGuard }), { isQuarantined: true });
});

test("an explanation changes nothing that the next placement depends on, and has no key", (t) => {
  const { registry, explain } = setUp();
  const first = explain({ ...QUERY, work: WORK });
  t.deepEqual(explain({ ...QUERY, work: WORK }), first);
  for (const { ownWork } of registry.all()) t.is(ownWork.size, 0);
  t.deepEqual(registry.recentPlacements.pending(1_000), {});
  t.false(JSON.stringify(first).includes(KEY));
});

test("an explanation of a large fleet is bounded", (t) => {
  const { registry, explain } = setUp();
  for (let index = 0; index < 500; index++) {
    registry.upsert(listedServer(`big-${index}`, { service: SERVICE }));
  }
  const explanation = explain(QUERY);
  if (explanation.kind !== "routed") return t.fail();
  t.is(explanation.services[0]!.candidates.length, 40);
  t.is(explanation.services[0]!.candidateCount, 503);
});
