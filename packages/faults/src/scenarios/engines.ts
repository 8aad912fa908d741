/**
 * Engines that crash, go silent, stand still, leave or disturb their answers.
 *
 * @module
 */

import type { EngineRecord } from "@endivebend/stand-ins";
import { request } from "undici";
import type { BackendServer } from "../harness/fleet.ts";
import { MODEL } from "../harness/operator.ts";
import { mustBeZero } from "../run_scenario.ts";
import type { Scenario } from "../scenario.ts";

/** A leaving backend server gets no new work after this time. */
const LEAVING_TARGET_MS = 2000;

async function completionsOf({ standIn }: BackendServer): Promise<number> {
  return (await standIn.record<EngineRecord>()).completions;
}

async function orderWeights(
  { standIn }: BackendServer,
  order: { readonly weightsVersion: string; readonly fence: number },
): Promise<void> {
  const { body } = await request(`http://${standIn.address}/v1/orders`, {
    method: "POST",
    body: JSON.stringify({ kind: "load_model", model: MODEL, ...order }),
  });
  await body.dump();
}

const engineCrashes: Scenario = {
  name: "engine_crashes",
  summary: "Each engine in turn drops its streams and comes back empty",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    for (const { standIn } of fleet.engines) {
      await standIn.control({ crash: { downMs: 600 } });
      await pass(1000);
    }
  },
};

const engineKilled: Scenario = {
  name: "engine_killed",
  summary: "An engine's process is killed; the list drops it 2 s later",
  async run({ fleet, faultBegins, pass }) {
    const victim = fleet.engines[0]!;
    faultBegins();
    await victim.standIn.process.kill();
    await pass(2000);
    await fleet.unlist(victim.vm.vmId);
    await pass(1500);
  },
};

const engineSilent: Scenario = {
  name: "engine_silent",
  summary: "Open connections of every engine go silent; new ones work",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    for (const { standIn } of fleet.engines) {
      await standIn.control({ silence: true });
    }
    await pass(4000);
  },
};

const enginePaused: Scenario = {
  name: "engine_paused",
  summary: "An engine stands still for 3 s and goes on where it was",
  async run({ fleet, faultBegins, pass }) {
    const { process } = fleet.engines[0]!.standIn;
    faultBegins();
    process.pause();
    await pass(3000);
    process.resume();
    await pass(1500);
  },
};

const engineRefuses: Scenario = {
  name: "engine_refuses",
  summary: "Half of the engines refuse new connections for 3 s",
  async run({ fleet, faultBegins, pass }) {
    const half = fleet.engines.filter((_, index) => index % 2 === 0);
    faultBegins();
    for (const { standIn } of half) await standIn.control({ refuse: true });
    await pass(3000);
    for (const { standIn } of half) await standIn.control({ refuse: false });
    await pass(1000);
  },
};

const engineLeaves: Scenario = {
  name: "engine_leaves",
  summary: "The VM list marks an engine as leaving; it ends when it is idle",
  isPlanned: true,
  async run({ fleet, faultBegins, check, pass }) {
    const leaving = fleet.engines[0]!;
    faultBegins();
    await fleet.listState(leaving.vm, "leaving");
    // The list itself shows the change after its lag.
    await pass(Number(fleet.shape.platform.vmListLagMs) + LEAVING_TARGET_MS);
    const before = await completionsOf(leaving);
    await pass(2000);
    const late = await completionsOf(leaving) - before;
    check("new work for a leaving engine after 2 s", mustBeZero(late));
    await leaving.standIn.process.stop(5000);
    await fleet.unlist(leaving.vm.vmId);
    await pass(1000);
  },
};

const engineSaysLeaving: Scenario = {
  name: "engine_says_leaving",
  summary: "An engine refuses new work as leaving before the list knows",
  isPlanned: true,
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.engines[0]!.standIn.control({ drainingRefusal: true });
    await pass(3000);
  },
};

const chunksDisturbed: Scenario = {
  name: "chunks_disturbed",
  summary: "Engines swap, repeat and drop chunks of running streams",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    for (let round = 0; round < 3; round++) {
      for (const { standIn } of fleet.engines) {
        await standIn.control({ crossAnswers: 2, duplicateChunk: 3 });
        await pass(200);
        await standIn.control({ dropChunk: 2 });
        await pass(300);
      }
    }
  },
};

const cacheEventsLost: Scenario = {
  name: "cache_events_lost",
  summary: "Every third cache event is lost while small caches churn",
  shape: {
    engine: {
      decodeMsPerToken: 8,
      prefillUsPerToken: 10,
      cacheBlocks: 6,
      eventDelayMs: 300,
      dropEventEvery: 3,
      loadLagMs: 500,
    },
  },
  async run({ faultBegins, pass }) {
    faultBegins();
    await pass(4000);
  },
};

const weightsChange: Scenario = {
  name: "weights_change",
  summary: "All engines load new weights, one after the other, under load",
  load: { weightsVersions: ["w1", "w2"] },
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    let fence = 1;
    for (const engine of fleet.engines) {
      await orderWeights(engine, { weightsVersion: "w2", fence: fence++ });
      await pass(1000);
    }
  },
};

const vmListStale: Scenario = {
  name: "vm_list_stale",
  summary: "The VM list lags by a minute while an engine is killed for good",
  shape: { platform: { vmListLagMs: 60_000 } },
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.engines[1]!.standIn.process.kill();
    await pass(4000);
  },
};

/** Scenarios about engines. */
export const ENGINE_SCENARIOS: readonly Scenario[] = [
  engineCrashes,
  engineKilled,
  engineSilent,
  enginePaused,
  engineRefuses,
  engineLeaves,
  engineSaysLeaving,
  chunksDisturbed,
  cacheEventsLost,
  weightsChange,
  vmListStale,
];
