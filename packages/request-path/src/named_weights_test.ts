import test from "ava";
import { brandId } from "@endivebend/types";
import { NamedWeightsRegistry } from "./mod.ts";
import { MODEL } from "./testing.ts";
import type { WeightsVersion } from "./types.ts";

const version = (value: number) => brandId<WeightsVersion>(value);

test("a daemon that starts between two versions learns of both", (t) => {
  const late = new NamedWeightsRegistry();
  late.name(MODEL, {
    weights: version(3),
    firstSeenAtMs: 9_000,
    isAgeKnown: false,
  });
  late.recordFirstSeen(MODEL, version(2), 2_000);
  late.recordFirstSeen(MODEL, version(3), 6_400);
  t.deepEqual(late.history(MODEL), [
    { weights: version(2), firstSeenAtMs: 2_000, isAgeKnown: true },
    { weights: version(3), firstSeenAtMs: 6_400, isAgeKnown: true },
  ]);
});

test("naming older weights again changes nothing", (t) => {
  const registry = new NamedWeightsRegistry();
  const named = { firstSeenAtMs: 1, isAgeKnown: true };
  t.true(registry.name(MODEL, { ...named, weights: version(3) }));
  t.false(registry.name(MODEL, { ...named, weights: version(2) }));
  t.is(registry.newest(MODEL), version(3));
});

test("only known ages are shared with peers", (t) => {
  const registry = new NamedWeightsRegistry();
  registry.name(MODEL, {
    weights: version(2),
    firstSeenAtMs: 0,
    isAgeKnown: false,
  });
  t.deepEqual(registry.ages(100), {});
  registry.recordFirstSeen(MODEL, version(2), 40);
  t.deepEqual(registry.ages(100), { [MODEL]: [[2, 100]] });
});

test("ages do not grow as daemons pass them on", (t) => {
  let firstSeenAtMs = 40.4;
  for (let hop = 0; hop < 20; hop++) {
    const registry = new NamedWeightsRegistry();
    registry.recordFirstSeen(MODEL, version(2), firstSeenAtMs);
    const [[, ageMs]] = registry.ages(100)[MODEL] as [[number, number]];
    firstSeenAtMs = 100 - ageMs;
  }
  t.true(firstSeenAtMs >= 40.4, `first seen at ${firstSeenAtMs} ms`);
});
