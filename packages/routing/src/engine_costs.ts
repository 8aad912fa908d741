/**
 * What work costs at an engine: configured at first, then learned.
 *
 * @module
 */

/** Costs of one engine. */
export interface EngineCosts {
  readonly prefillMsPerToken: number;
  /** Time between two generated tokens of a running request. */
  readonly decodeMsPerToken: number;
  /** Time for one block to be fetched from a cache store or a peer engine. */
  readonly importMsPerBlock: number;
  /** Time for an import to start, whatever its size. */
  readonly importSetupMs: number;
}

/** Costs assumed until measurements replace them. */
export const DEFAULT_ENGINE_COSTS: EngineCosts = {
  prefillMsPerToken: 0.1,
  decodeMsPerToken: 20,
  importMsPerBlock: 12,
  importSetupMs: 5,
};

/** Weight of one new measurement against the mean so far. */
const SAMPLE_WEIGHT = 0.1;
/**
 * One measurement may differ from the mean by this factor at most, because a
 * stalled connection says nothing about the engine's speed.
 */
const MAX_DEVIATION_FACTOR = 4;
/** Smaller prefills measure the network rather than the engine. */
const MIN_PREFILL_SAMPLE_TOKENS = 1_000;

/**
 * Moving means of an engine's costs.
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

  /** A prefill without waiting; imported and cached tokens do not count. */
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
