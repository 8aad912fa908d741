/**
 * Selects the engines of a weights rollout and the prefix caches to watch from
 * the known backend servers.
 *
 * @module
 */

import type { RolloutEngine } from "@endivebend/orders";
import {
  firstNewer,
  type KnownServer,
  type NamedWeightsRegistry,
  type PrefixCacheId,
  type ServerRegistry,
  type WatchedCache,
  type WeightsVersion,
} from "@endivebend/request-path";
import { brandId } from "@endivebend/types";

/** Older than any version; of an engine that has stated none. */
const UNKNOWN_WEIGHTS = brandId<WeightsVersion>(0);

/**
 * Returns the reachable engines with a model whose weights the operator has
 * named, one entry per model. Excludes engines that are leaving or have just
 * failed, so that they get no order.
 *
 * @example
 * ```ts
 * const nowMs = steadyMs(clock);
 * const engines = findRolloutEngines(registry, named, { nowMs, weightsBoundMs });
 * ```
 */
export function findRolloutEngines(
  registry: ServerRegistry,
  named: NamedWeightsRegistry,
  { nowMs, weightsBoundMs }: {
    readonly nowMs: number;
    /** Time after naming newer weights when requests may not start on older. */
    readonly weightsBoundMs: number;
  },
): RolloutEngine[] {
  return [...registry.all()]
    .filter((server) => isReachable(registry, server, nowMs))
    .flatMap((server) =>
      [...server.listed.weights.keys()].flatMap((model) => {
        const namedWeights = named.newest(model);
        if (namedWeights === undefined) return [];
        const weights = server.weights.confirmedOf(model) ?? UNKNOWN_WEIGHTS;
        const newer = firstNewer(named.history(model), weights);
        return [{
          id: server.listed.id,
          address: server.listed.address,
          model,
          weights,
          namedWeights,
          weightsDeadlineMs: newer && newer.firstSeenAtMs + weightsBoundMs,
          running: registry.workAt(server).running,
        }];
      })
    );
}

function isReachable(
  registry: ServerRegistry,
  server: KnownServer,
  nowMs: number,
): boolean {
  return !registry.isLeaving(server) && server.removedAtMs === undefined &&
    nowMs >= server.avoidUntilMs;
}

/** Returns the listed engines that stay, and the configured cache stores. */
export function findWatchedCaches(
  registry: ServerRegistry,
  stores: readonly string[],
): WatchedCache[] {
  const engines = [...registry.all()]
    .filter((server) =>
      server.removedAtMs === undefined && server.listed.weights.size > 0 &&
      !registry.isLeaving(server)
    )
    .map(({ listed: { id, address } }) => ({ id, address }));
  const storeCaches = stores.map((address) => {
    registry.storeSegments(address);
    return { id: address as PrefixCacheId, address };
  });
  return [...engines, ...storeCaches];
}
