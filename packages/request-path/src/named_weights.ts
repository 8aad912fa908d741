/**
 * Weights that the operator has named, and since when. The platform's records
 * tell no time, so a daemon that starts late asks the others.
 *
 * @module
 */

import type { ModelName } from "@endivebend/types";
import type { WeightsNumber } from "./types.ts";

/** Weights that the operator has named for a model. */
export interface NamedWeights {
  readonly weights: WeightsNumber;
  /** On the steady clock: when a daemon first heard of them. */
  readonly heardAtMs: number;
  /** False when they may have been named long before this daemon started. */
  readonly isAgeKnown: boolean;
}

/** Versions named lately, oldest first. */
export type WeightsHistory = readonly NamedWeights[];

/** Versions kept for each model; engines are seldom two behind. */
const KEPT_VERSIONS = 16;
/** Older versions are in force everywhere, or their engines excluded. */
const TOLD_MS = 30_000;

/** Named weights by model. */
export class NamedWeightsRegistry {
  readonly #models = new Map<ModelName, NamedWeights[]>();

  history(model: ModelName): WeightsHistory {
    return this.#models.get(model) ?? [];
  }

  newest(model: ModelName): WeightsNumber | undefined {
    return this.#models.get(model)?.at(-1)?.weights;
  }

  /** Takes named weights; false when newer ones, or these, are known. */
  name(model: ModelName, named: NamedWeights): boolean {
    const history = this.#models.get(model) ?? [];
    const newest = history.at(-1);
    if (newest !== undefined && newest.weights >= named.weights) return false;
    this.#models.set(model, [...history, named].slice(-KEPT_VERSIONS));
    return true;
  }

  /** Another daemon has known the weights since `heardAtMs`. */
  knownSince(
    model: ModelName,
    weights: WeightsNumber,
    heardAtMs: number,
  ): void {
    const history = this.#models.get(model) ?? [];
    const known = history.find((named) => named.weights === weights);
    const others = history.filter((named) => named !== known);
    const sinceMs = Math.min(heardAtMs, known?.heardAtMs ?? heardAtMs);
    const told = { weights, heardAtMs: sinceMs, isAgeKnown: true };
    // The platform keeps the newest record only; peers know those before it.
    const merged = [...others, told].sort((a, b) => a.weights - b.weights);
    this.#models.set(model, merged.slice(-KEPT_VERSIONS));
  }

  /** Weights with known ages, for the other daemons. */
  ages(nowMs: number): Record<ModelName, [number, number][]> {
    const ages: Record<ModelName, [number, number][]> = {};
    for (const [model, history] of this.#models) {
      const told = history
        .filter(({ isAgeKnown, heardAtMs }) =>
          isAgeKnown && nowMs - heardAtMs < TOLD_MS
        )
        .map(({ weights, heardAtMs }): [number, number] => [
          weights,
          Math.round(nowMs - heardAtMs),
        ]);
      if (told.length > 0) ages[model] = told;
    }
    return ages;
  }
}
