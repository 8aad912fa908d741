import test from "ava";
import { brandId } from "@endivebend/types";
import { ServerWeights } from "./server_weights.ts";
import { MODEL } from "./testing.ts";
import type { WeightsVersion } from "./types.ts";

const version = (weights: number) => brandId<WeightsVersion>(weights);

function named(...versions: readonly number[]) {
  return versions.map((weights) => ({
    weights: version(weights),
    firstSeenAtMs: 0,
    isAgeKnown: true,
  }));
}

function weightsAt(listed: number) {
  return new ServerWeights(new Map([[MODEL, version(listed)]]));
}

// Guards against a refusal that is taken for the newest named weights: the
// server was never brought up to date, and got requests that it refused.
test("a refusal shows the next named version, not the newest", (t) => {
  const weights = weightsAt(1);
  const refusal = { expected: version(1), named: named(2, 3, 4), nowMs: 0 };
  t.true(weights.refuse(MODEL, refusal));
  t.is(weights.of(MODEL), version(2));
  t.is(weights.confirmedOf(MODEL), version(1), "the server has not said so");
  t.true(weights.refuse(MODEL, { ...refusal, expected: version(2) }));
  t.is(weights.of(MODEL), version(3));
});

test("a refusal of what is known to be replaced changes nothing", (t) => {
  const weights = weightsAt(3);
  weights.refuse(MODEL, { expected: version(1), named: named(2, 3), nowMs: 0 });
  t.is(weights.of(MODEL), version(3));
});

test("a server that refuses every named version has what it stated before", (t) => {
  const weights = weightsAt(1);
  const refusal = { named: named(2, 3), nowMs: 0 };
  weights.report(MODEL, version(2), 0);
  t.true(weights.refuse(MODEL, { ...refusal, expected: version(2) }));
  t.false(weights.refuse(MODEL, { ...refusal, expected: version(3) }));
  t.is(weights.of(MODEL), version(1));
});

test("what a server states itself wins over what was concluded", (t) => {
  const weights = weightsAt(1);
  weights.refuse(MODEL, { expected: version(1), named: named(3, 4), nowMs: 0 });
  t.is(weights.of(MODEL), version(3));
  weights.report(MODEL, version(2), 0);
  t.is(weights.of(MODEL), version(2));
  weights.report(MODEL, version(9), 0);
  weights.state(MODEL, version(3), 0);
  t.is(weights.of(MODEL), version(3));
});

test("a report that peers repeat ends no later conclusion", (t) => {
  const weights = weightsAt(1);
  weights.report(MODEL, version(2), 0);
  weights.refuse(MODEL, { expected: version(2), named: named(2, 3), nowMs: 0 });
  weights.report(MODEL, version(2), 0);
  t.is(weights.of(MODEL), version(3));
  weights.report(MODEL, version(1), 0);
  t.is(weights.of(MODEL), version(3));
});

test("what no entry has confirmed for 5 s lapses", (t) => {
  const entry = new Map([[MODEL, version(2)]]);
  const weights = weightsAt(1);
  weights.report(MODEL, version(9), 1_000);
  weights.list(entry, 5_900);
  t.is(weights.of(MODEL), version(9));
  weights.list(entry, 6_100);
  t.is(weights.of(MODEL), version(2));
});
