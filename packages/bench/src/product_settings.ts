/**
 * Settings of the product's code in the bench.
 *
 * @module
 */

import type { FairQueueOptions } from "@endivebend/queueing";
import type { EngineCosts, RoutePlan } from "@endivebend/routing";
import type { BlockSource, EngineModel } from "./engine_model.ts";
import type { World } from "./world.ts";

/** Costs as an operator would configure them for the engine. */
export function costsOf(world: World, engine: EngineModel): EngineCosts {
  const { network } = world.header;
  const { spec } = engine;
  const stepMs = spec.stepBaseMs / spec.chunkTokens;
  return {
    prefillMsPerToken: spec.prefillMsPerToken + stepMs,
    decodeMsPerToken: spec.stepBaseMs,
    importMsPerBlock: network.importMsPerBlock,
    importSetupMs: network.importSetupMs,
  };
}

/** Options of the engine's fair queue. */
export function queueOptionsOf(
  world: World,
  engineId: string,
): Partial<FairQueueOptions> {
  const engine = world.engines.get(engineId)!;
  return {
    prefillTokensPerMs: 1 / costsOf(world, engine).prefillMsPerToken,
    maxRunningRequests: engine.spec.maxRunning,
  };
}

/** The import of a plan, with the simulated source. */
export function sourceOf(
  world: World,
  plan: RoutePlan,
): { source: BlockSource; toBlock: number } | undefined {
  const { importPlan: importFrom, fallbackStore } = plan;
  if (importFrom !== undefined && importFrom.source !== world.store.id) {
    const source = world.engines.get(importFrom.source)!;
    return { source, toBlock: importFrom.toBlock };
  }
  const usesStore = importFrom !== undefined || fallbackStore !== undefined;
  return usesStore ? { source: world.store, toBlock: Infinity } : undefined;
}
