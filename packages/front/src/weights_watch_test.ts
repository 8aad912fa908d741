import test from "ava";
import {
  type ListedServer,
  NamedWeightsRegistry,
  ServerRegistry,
  type WeightsVersion,
} from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type ModelName,
  type ServiceName,
} from "@endivebend/types";
import { WeightsWatch } from "./weights_watch.ts";

const MODEL = brandId<ModelName>("m");

function listed(id: string, weights: number): ListedServer {
  return {
    id: brandId<BackendServerId>(id),
    service: brandId<ServiceName>("engines"),
    address: `10.0.0.1:${id.length}`,
    failureDomain: brandId<FailureDomainId>("a"),
    isLeaving: false,
    slots: 16,
    weights: new Map([[MODEL, brandId<WeightsVersion>(weights)]]),
    softwareVersion: undefined,
    startedAtMs: 1,
    reportCount: 1,
  };
}

test("gauges and log show engines behind and corrected beliefs", (t) => {
  const gauges = new Map<string, () => number>();
  const counts: unknown[] = [];
  const steps: unknown[] = [];
  const named = new NamedWeightsRegistry();
  const watch: WeightsWatch = new WeightsWatch({
    registry: () => registry,
    named,
    nowMs: () => 5_000,
    metrics: {
      count: (name, labels) => counts.push([name, labels]),
      gauge: (name, read) => gauges.set(name, read),
    },
    log: { decision: (step, fields) => steps.push([step, fields]) },
  });
  const registry = new ServerRegistry({
    weightsChanged: (change) => watch.note(change),
  });
  registry.upsert(listed("one", 1));
  registry.upsert(listed("second", 1));
  named.name(MODEL, {
    weights: brandId<WeightsVersion>(2),
    firstSeenAtMs: 2_000,
    isAgeKnown: true,
  });
  registry.upsert(listed("one", 2), 4_000);
  t.is(gauges.get("engines_behind")!(), 1);
  t.is(gauges.get("oldest_weights_ms")!(), 3_000);
  t.deepEqual(steps, [], "an entry with newer weights is no correction");
  const stated = { model: MODEL, weights: brandId<WeightsVersion>(1) };
  registry.recordStatedWeights(brandId("second"), { ...stated, nowMs: 1 });
  registry.upsert(listed("one", 1), 4_500);
  t.deepEqual(counts, [
    ["weights_beliefs", { by: "entry", direction: "newer" }],
    ["weights_beliefs", { by: "entry", direction: "older" }],
  ]);
  t.like(steps, [["weights_corrected", { by: "entry", direction: "older" }]]);
});
