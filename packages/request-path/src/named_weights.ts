/**
 * Weights that the operator has named, and since when. The platform's records
 * tell no time, so a daemon that starts late asks the others.
 *
 * @module
 */

import type { ModelName } from "@endivebend/types";
import type { WeightsVersion } from "./types.ts";

/** Weights that the operator has named for a model. */
export interface NamedWeights {
  readonly weights: WeightsVersion;
  /** On the steady clock: when a daemon first heard of them. */
  readonly firstSeenAtMs: number;
  /** False when they may have been named long before this daemon started. */
  readonly isAgeKnown: boolean;
}

/** Versions named lately, oldest first. */
export type WeightsHistory = readonly NamedWeights[];

/** Versions kept for each model; engines are seldom two behind. */
const MAX_VERSIONS = 16;
/** Older versions are in force everywhere, or their engines excluded. */
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

  /** Takes named weights; false when newer ones, or these, are known. */
  name(model: ModelName, named: NamedWeights): boolean {
    const history = this.#models.get(model) ?? [];
    const newest = history.at(-1);
    if (newest !== undefined && newest.weights >= named.weights) return false;
    this.#models.set(model, [...history, named].slice(-MAX_VERSIONS));
    return true;
  }

  /** Another daemon has known the weights since `heardAtMs`. */
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
    // The platform keeps the newest record only; peers know those before it.
    const merged = [...others, shared].sort((a, b) => a.weights - b.weights);
    this.#models.set(model, merged.slice(-MAX_VERSIONS));
  }

  /** Weights with known ages, for the other daemons. */
  ages(nowMs: number): Record<ModelName, [number, number][]> {
    const ages: Record<ModelName, [number, number][]> = {};
    for (const [model, history] of this.#models) {
      const shared = history
        .filter(({ isAgeKnown, firstSeenAtMs: firstSeenAtMs }) =>
          isAgeKnown && nowMs - firstSeenAtMs < MAX_SHARED_AGE_MS
        )
        .map(({ weights, firstSeenAtMs: firstSeenAtMs }): [number, number] => [
          weights,
          Math.round(nowMs - firstSeenAtMs),
        ]);
      if (shared.length > 0) ages[model] = shared;
    }
    return ages;
  }
}
