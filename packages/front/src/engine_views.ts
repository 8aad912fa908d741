/**
 * Which engines may need new weights, and which memories of prompt parts are
 * to be watched.
 *
 * @module
 */

import type { RolloutEngine } from "@endivebend/orders";
import type {
  KnownServer,
  NamedWeightsRegistry,
  PrefixCacheId,
  ServerRegistry,
  WatchedCache,
} from "@endivebend/request-path";

/**
 * Engines in reach whose model has named weights. One that is leaving or has
 * just failed gets no order.
 *
 * @example
 * ```ts
 * const engines = findOrderedEngines(registry, named, clock.steadyMs());
 * ```
 */
export function findRolloutEngines(
  registry: ServerRegistry,
  named: NamedWeightsRegistry,
  nowMs: number,
): RolloutEngine[] {
  return [...registry.all()]
    .filter((server) => isReachable(server, nowMs))
    .flatMap((server) =>
      [...server.listed.weights.keys()].flatMap((model) => {
        const namedWeights = named.newest(model);
        if (namedWeights === undefined) return [];
        return [{
          id: server.listed.id,
          address: server.listed.address,
          model,
          weights: registry.weightsOf(server, model) ?? 0,
          namedWeights,
          running: registry.workAt(server).running,
        }];
      })
    );
}

function isReachable(server: KnownServer, nowMs: number): boolean {
  return !server.listed.isLeaving && server.removedAtMs === undefined &&
    nowMs >= server.avoidUntilMs;
}

/** Engines that are listed, and the configured stores of prompt parts. */
export function findWatchedCaches(
  registry: ServerRegistry,
  stores: readonly string[],
): WatchedCache[] {
  const engines = [...registry.all()]
    .filter(({ listed, removedAtMs: lapsedAtMs }) =>
      lapsedAtMs === undefined && listed.weights.size > 0
    )
    .map(({ listed: { id, address } }) => ({ id, address }));
  const storeCaches = stores.map((address) => {
    registry.storeSegments(address);
    return { id: address as PrefixCacheId, address };
  });
  return [...engines, ...storeCaches];
}
