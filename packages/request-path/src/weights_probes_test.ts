import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import { WeightsProbes } from "./weights_probes.ts";

const ENGINES = Array.from(
  { length: 82 },
  (_, index) => brandId<BackendServerId>(`e-${index}`),
);

/** Probes of one daemon that is asked to send one each 10 ms. */
function probeFor(durationMs: number, fleetSize: number) {
  const probes = new WeightsProbes(() => fleetSize);
  const probed: BackendServerId[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += 10) {
    const id = probes.choose(ENGINES, { key: `q-${nowMs}`, nowMs });
    if (id === undefined) continue;
    probes.take(id, nowMs);
    probed.push(id);
  }
  return probed;
}

for (const fleetSize of [1, 9, 48, 195]) {
  test(`a fleet of ${fleetSize} sends at most 100 probes a second whatever the traffic`, (t) => {
    const probed = probeFor(10_000, fleetSize);
    t.true(probed.length >= 5);
    t.true((probed.length - 1) * fleetSize / 10 <= 100);
    t.is(new Set(probed).size, probed.length, "each at another engine");
  });
}
