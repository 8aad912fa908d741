/**
 * Weights versions that the operator has named, and when. The platform's
 * records have no time, so a daemon that starts later learns it from its peers.
 *
 * @module
 */

import type { ModelName } from "@endivebend/types";
import type { WeightsVersion } from "./types.ts";

/** A weights version that the operator has named for a model. */
export interface NamedWeights {
  readonly weights: WeightsVersion;
  /** When a daemon first saw the version, on the steady clock. */
  readonly firstSeenAtMs: number;
  /** False when it may have been named long before this daemon started. */
  readonly isAgeKnown: boolean;
}

/** Recently named versions, oldest first. */
export type WeightsHistory = readonly NamedWeights[];

/**
 * The first version that was named after the given weights.
 *
 * @example
 * ```ts
 * const next = firstNewer(named.history(model), weights)?.weights;
 * ```
 */
export function firstNewer(
  named: WeightsHistory,
  weights: WeightsVersion,
): NamedWeights | undefined {
  return named.find((later) => later.weights > weights);
}

/** Versions kept for each model; engines are rarely two versions behind. */
const MAX_VERSIONS = 16;
/** After this time all engines have the version or are excluded. */
const MAX_SHARED_AGE_MS = 30_000;

/** Named weights by model. */
export class NamedWeightsRegistry {
  readonly #models = new Map<ModelName, NamedWeights[]>();

  history(model: ModelName): WeightsHistory {
    return this.#models.get(model) ?? [];
  }

  newest(model: ModelName): WeightsVersion | undefined {
    return this.#models.get(model)?.at(-1)?.weights;
  }

  /** Adds a version; false when it, or a newer one, is already known. */
  name(model: ModelName, named: NamedWeights): boolean {
    const history = this.#models.get(model) ?? [];
    const newest = history.at(-1);
    if (newest !== undefined && newest.weights >= named.weights) return false;
    this.#models.set(model, [...history, named].slice(-MAX_VERSIONS));
    return true;
  }

  /** Records that another daemon first saw the version at `firstSeenAtMs`. */
  recordFirstSeen(
    model: ModelName,
    weights: WeightsVersion,
    firstSeenAtMs: number,
  ): void {
    const history = this.#models.get(model) ?? [];
    const known = history.find((named) => named.weights === weights);
    const others = history.filter((named) => named !== known);
    const sinceMs = Math.min(
      firstSeenAtMs,
      known?.firstSeenAtMs ?? firstSeenAtMs,
    );
    const shared = { weights, firstSeenAtMs: sinceMs, isAgeKnown: true };
    // The platform keeps only the newest record; peers know earlier ones.
    const merged = [...others, shared].sort((a, b) => a.weights - b.weights);
    this.#models.set(model, merged.slice(-MAX_VERSIONS));
  }

  /** Recent versions of known age, with the age in milliseconds, for peers. */
  ages(nowMs: number): Record<ModelName, [number, number][]> {
    const ages: Record<ModelName, [number, number][]> = {};
    for (const [model, history] of this.#models) {
      const shared = history
        .filter(({ isAgeKnown, firstSeenAtMs }) =>
          isAgeKnown && nowMs - firstSeenAtMs < MAX_SHARED_AGE_MS
        )
        .map(({ weights, firstSeenAtMs }): [number, number] => [
          weights,
          // Rounded up, it would grow each time that a daemon passes it on.
          Math.floor(nowMs - firstSeenAtMs),
        ]);
      if (shared.length > 0) ages[model] = shared;
    }
    return ages;
  }
}
