/**
 * What this daemon believes of the weights of engines, for metrics and logs.
 * Beside the engines' own reports it tells a daemon with wrong knowledge from
 * engines that do have old weights.
 *
 * @module
 */

import type { ModelName } from "@endivebend/types";
import { firstNewer, type WeightsHistory } from "./named_weights.ts";
import type { KnownServer } from "./server_registry.ts";
import type { WeightsVersion } from "./types.ts";

/** The believed weights of the engines of one model. */
export interface WeightsBelief {
  /** The newest named version; undefined when none was named. */
  readonly named: WeightsVersion | undefined;
  /** Time since this daemon or a peer first saw it, in milliseconds. */
  readonly namedAgeMs: number | undefined;
  /** False when it may have been named long before. */
  readonly isAgeKnown: boolean;
  /** Engines by version. */
  readonly engines: Readonly<Record<string, number>>;
  /** Engines with other weights than the newest named. */
  readonly enginesBehind: number;
  /** For how long the oldest weights among them have been replaced. */
  readonly oldestReplacedMs: number;
}

/**
 * Sums up the believed weights of the servers that have the model.
 *
 * @example
 * ```ts
 * const servers = registry.usable(service, nowMs);
 * const belief = summarizeWeights(servers, model, {
 *   named: named.history(model),
 *   nowMs,
 * });
 * ```
 */
export function summarizeWeights(
  servers: Iterable<KnownServer>,
  model: ModelName,
  at: { readonly named: WeightsHistory; readonly nowMs: number },
): WeightsBelief {
  const { named, nowMs } = at;
  const newest = named.at(-1);
  const engines: Record<string, number> = {};
  let enginesBehind = 0;
  let oldestReplacedMs = 0;
  for (const { weights: known } of servers) {
    const weights = known.of(model);
    if (weights === undefined) continue;
    engines[weights] = (engines[weights] ?? 0) + 1;
    const replacedMs = replacedForMs(weights, at);
    if (replacedMs === undefined) continue;
    enginesBehind += 1;
    oldestReplacedMs = Math.max(oldestReplacedMs, replacedMs);
  }
  return {
    named: newest?.weights,
    namedAgeMs: newest && Math.round(nowMs - newest.firstSeenAtMs),
    isAgeKnown: newest?.isAgeKnown ?? true,
    engines,
    enginesBehind,
    oldestReplacedMs: Math.round(oldestReplacedMs),
  };
}

/**
 * For how long newer weights than the given ones have been named; undefined
 * when none have.
 *
 * @example
 * ```ts
 * const replacedMs = replacedForMs(weights, { named, nowMs });
 * ```
 */
export function replacedForMs(
  weights: WeightsVersion,
  { named, nowMs }: { readonly named: WeightsHistory; readonly nowMs: number },
): number | undefined {
  const newer = firstNewer(named, weights);
  return newer && nowMs - newer.firstSeenAtMs;
}
