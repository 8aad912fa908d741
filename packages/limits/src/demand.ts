/**
 * Recent demand of a team at one holder: decides what to keep, lend and
 * borrow. It never decides whether a charge is granted.
 *
 * @module
 */

/** Time after which a past demand counts for 37%. */
const DEMAND_TIME_CONSTANT_MS = 2000;

/** A decaying measure of what was asked for. */
export interface Demand {
  asOfMs: number;
  /** Tokens asked for, decayed. */
  tokens: number;
}

/** Makes the measure of a team that asked for nothing. */
export function createDemand(nowMs: number): Demand {
  return { asOfMs: nowMs, tokens: 0 };
}

function decay(demand: Demand, nowMs: number): void {
  if (nowMs <= demand.asOfMs) return;
  const factor = Math.exp((demand.asOfMs - nowMs) / DEMAND_TIME_CONSTANT_MS);
  demand.tokens *= factor;
  demand.asOfMs = nowMs;
}

/** Counts a cost that was asked for, granted or not. */
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
