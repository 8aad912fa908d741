import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import { ServerRegistry, summarizeWeights, type WeightsChange } from "./mod.ts";
import { replacedForMs } from "./weights_belief.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  MODEL,
  routedRequest,
  testContext,
} from "./testing.ts";
import { RequestRun } from "./request_run.ts";
import type { WeightsVersion } from "./types.ts";

const version = (weights: number) => brandId<WeightsVersion>(weights);
const entry = (weights: number) => new Map([[MODEL, version(weights)]]);
const ONE = brandId<BackendServerId>("one");

const NAMED = [
  { weights: version(2), firstSeenAtMs: 1_000, isAgeKnown: true },
  { weights: version(3), firstSeenAtMs: 6_000, isAgeKnown: false },
];

function watchedRegistry() {
  const changes: WeightsChange[] = [];
  const registry = new ServerRegistry({
    weightsChanged: (change) => changes.push(change),
  });
  registry.upsert(listedServer("one"));
  return { registry, changes };
}

test("the belief counts engines by version and the age of the oldest weights", (t) => {
  const registry = new ServerRegistry();
  registry.upsert(listedServer("a", { weights: entry(1) }));
  registry.upsert(listedServer("b", { weights: entry(2) }));
  registry.upsert(listedServer("c", { weights: entry(3) }));
  registry.upsert(listedServer("d", { weights: new Map() }));
  const at = { named: NAMED, nowMs: 7_500 };
  t.deepEqual(summarizeWeights(registry.all(), MODEL, at), {
    named: version(3),
    namedAgeMs: 1_500,
    isAgeKnown: false,
    engines: { "1": 1, "2": 1, "3": 1 },
    enginesBehind: 2,
    oldestReplacedMs: 6_500,
  });
  t.is(replacedForMs(version(2), at), 1_500);
  t.is(replacedForMs(version(3), at), undefined);
});

test("each change of a belief tells what taught it", (t) => {
  const { registry, changes } = watchedRegistry();
  const refusal = { expected: version(1), named: NAMED, nowMs: 2_000 };
  registry.recordOtherWeights(ONE, MODEL, refusal);
  registry.recordStatedWeights(ONE, {
    model: MODEL,
    weights: version(1),
    nowMs: 2_100,
  });
  registry.recordWeights(ONE, {
    model: MODEL,
    weights: version(2),
    nowMs: 2_200,
  });
  registry.upsert(listedServer("one", { weights: entry(3) }), 3_000);
  t.deepEqual(
    changes.map(({ by, before, after }) => `${by} ${before} to ${after}`),
    ["refusal 1 to 2", "answer 2 to 1", "peer 1 to 2", "entry 2 to 3"],
  );
});

test("a presumption that no entry confirms is told to have lapsed", (t) => {
  const { registry, changes } = watchedRegistry();
  const refusal = { expected: version(1), named: NAMED, nowMs: 2_000 };
  registry.recordOtherWeights(ONE, MODEL, refusal);
  registry.upsert(listedServer("one"), 8_000);
  t.deepEqual(changes.at(-1), {
    server: ONE,
    model: MODEL,
    by: "lapse",
    before: version(2),
    after: version(1),
  });
});

test("a refusal for old weights tells what was believed", (t) => {
  const steps: Record<string, unknown>[] = [];
  const counts: string[] = [];
  const context = testContext({
    namedWeights: () => NAMED,
    log: { decision: (step, fields) => steps.push({ ...fields, step }) },
    metrics: {
      count: (name, labels) => counts.push(`${name} ${labels?.["reason"]}`),
      observeMs() {},
    },
  });
  context.time.nowMs = 8_900;
  const request = routedRequest("stream", {
    deadlineMs: 15_000,
    timeoutAtMs: 15_000,
  });
  new RequestRun(context, request, new FakeCaller()).start();
  context.client.last.listener.head(
    answerHead({ status: 421, isMisdirected: true, isExpectedServer: true }),
  );
  const refuse = steps.find(({ step }) => step === "refuse");
  t.like(refuse, {
    reason: "stale_weights",
    named: version(3),
    namedAgeMs: 2_900,
    isAgeKnown: false,
    engines: { "1": 2 },
    enginesBehind: 2,
    oldestReplacedMs: 7_900,
  });
  t.true(counts.includes("refusals stale_weights"));
});

test("a request to replaced weights is measured and logged with their age", (t) => {
  const steps: Record<string, unknown>[] = [];
  const observed: [string, number][] = [];
  const context = testContext({
    namedWeights: () => NAMED.slice(0, 1),
    log: { decision: (step, fields) => steps.push({ ...fields, step }) },
    metrics: {
      count() {},
      observeMs: (name, valueMs) => observed.push([name, valueMs]),
    },
  });
  context.time.nowMs = 3_000;
  new RequestRun(context, routedRequest("stream"), new FakeCaller()).start();
  t.like(steps.find(({ step }) => step === "place"), { replacedMs: 2_000 });
  t.deepEqual(observed, [["replaced_weights_ms", 2_000]]);
});
