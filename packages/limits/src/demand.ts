/**
 * Measures the recent demand of a team at one holder. The measure decides how
 * much to reserve, lend and borrow, but never whether a charge is granted.
 *
 * @module
 */

/** Time constant of the exponential decay: past demand counts 37% after it. */
const DEMAND_TIME_CONSTANT_MS = 2000;

/** Exponentially decaying sum of the tokens requested. */
export interface Demand {
  asOfMs: number;
  /** Decayed sum of requested tokens, as of `asOfMs`. */
  tokens: number;
}

/** Creates the measure of a team without any demand. */
export function createDemand(nowMs: number): Demand {
  return { asOfMs: nowMs, tokens: 0 };
}

function decay(demand: Demand, nowMs: number): void {
  if (nowMs <= demand.asOfMs) return;
  const factor = Math.exp((demand.asOfMs - nowMs) / DEMAND_TIME_CONSTANT_MS);
  demand.tokens *= factor;
  demand.asOfMs = nowMs;
}

/** Adds a requested cost, whether it is granted or not. */
export function recordDemand(
  demand: Demand,
  options: { readonly costTokens: number; readonly nowMs: number },
): void {
  decay(demand, options.nowMs);
  demand.tokens += options.costTokens;
}

/** Demand in thousandths of a token per second. */
export function demandRateMilli(demand: Demand, nowMs: number): number {
  decay(demand, nowMs);
  return demand.tokens * 1000 * 1000 / DEMAND_TIME_CONSTANT_MS;
}
