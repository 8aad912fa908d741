/**
 * Time that work takes at an engine: configured at first, then measured.
 *
 * @module
 */

/** Costs of one engine. */
export interface EngineCosts {
  readonly prefillMsPerToken: number;
  /** Time between two generated tokens of a running request. */
  readonly decodeMsPerToken: number;
  /** Time to fetch one block from a cache store or another engine. */
  readonly importMsPerBlock: number;
  /** Time to start an import, independent of its size. */
  readonly importSetupMs: number;
}

/** Costs assumed until measurements replace them. */
export const DEFAULT_ENGINE_COSTS: EngineCosts = {
  prefillMsPerToken: 0.1,
  decodeMsPerToken: 20,
  importMsPerBlock: 12,
  importSetupMs: 5,
};

/** Weight of a new measurement in the moving mean. */
const SAMPLE_WEIGHT = 0.1;
/**
 * A measurement is clamped to this factor above or below the mean, because a
 * stalled connection says nothing about the engine's speed.
 */
const MAX_DEVIATION_FACTOR = 4;
/** Smaller prefills are ignored: they measure the network, not the engine. */
const MIN_PREFILL_SAMPLE_TOKENS = 1_000;

/**
 * Exponentially weighted moving means of an engine's costs.
 *
 * @example
 * ```ts
 * const learned = new LearnedCosts();
 * learned.observePrefill({ tokens: 8000, durationMs: 900 });
 * learned.costs.prefillMsPerToken;
 * ```
 */
export class LearnedCosts {
  #costs: EngineCosts;

  constructor(initial: EngineCosts = DEFAULT_ENGINE_COSTS) {
    this.#costs = initial;
  }

  get costs(): EngineCosts {
    return this.#costs;
  }

  /**
   * Records a prefill. The duration must not include waiting time, nor the
   * tokens those that were imported or cached.
   */
  observePrefill(sample: { tokens: number; durationMs: number }): void {
    if (sample.tokens < MIN_PREFILL_SAMPLE_TOKENS) {
      return;
    }
    this.#updateMean("prefillMsPerToken", sample.durationMs / sample.tokens);
  }

  observeDecode(sample: { tokens: number; durationMs: number }): void {
    if (sample.tokens > 0) {
      this.#updateMean("decodeMsPerToken", sample.durationMs / sample.tokens);
    }
  }

  observeImport(sample: { blocks: number; durationMs: number }): void {
    if (sample.blocks > 0) {
      const transferMs = sample.durationMs - this.#costs.importSetupMs;
      this.#updateMean(
        "importMsPerBlock",
        Math.max(0, transferMs / sample.blocks),
      );
    }
  }

  #updateMean(cost: keyof EngineCosts, measured: number): void {
    const mean = this.#costs[cost];
    const clamped = Math.min(
      mean * MAX_DEVIATION_FACTOR,
      Math.max(mean / MAX_DEVIATION_FACTOR, measured),
    );
    const next = mean + SAMPLE_WEIGHT * (clamped - mean);
    this.#costs = { ...this.#costs, [cost]: next };
  }
}
