import test from "ava";
import { brandId } from "@endivebend/types";
import { NamedWeightsRegistry } from "./mod.ts";
import { MODEL } from "./testing.ts";
import type { WeightsNumber } from "./types.ts";

const number = (value: number) => brandId<WeightsNumber>(value);

test("a daemon that starts between two versions learns of both", (t) => {
  const late = new NamedWeightsRegistry();
  late.name(MODEL, {
    weights: number(3),
    heardAtMs: 9_000,
    isAgeKnown: false,
  });
  late.knownSince(MODEL, number(2), 2_000);
  late.knownSince(MODEL, number(3), 6_400);
  t.deepEqual(late.history(MODEL), [
    { weights: number(2), heardAtMs: 2_000, isAgeKnown: true },
    { weights: number(3), heardAtMs: 6_400, isAgeKnown: true },
  ]);
});

test("older weights named again change nothing", (t) => {
  const registry = new NamedWeightsRegistry();
  const named = { heardAtMs: 1, isAgeKnown: true };
  t.true(registry.name(MODEL, { ...named, weights: number(3) }));
  t.false(registry.name(MODEL, { ...named, weights: number(2) }));
  t.is(registry.newest(MODEL), number(3));
});

test("ages are told to peers only where they are known", (t) => {
  const registry = new NamedWeightsRegistry();
  registry.name(MODEL, { weights: number(2), heardAtMs: 0, isAgeKnown: false });
  t.deepEqual(registry.ages(100), {});
  registry.knownSince(MODEL, number(2), 40);
  t.deepEqual(registry.ages(100), { [MODEL]: [[2, 100]] });
});
