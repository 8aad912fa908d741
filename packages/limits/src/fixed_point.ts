/**
 * Fixed-point arithmetic of bucket levels, so that accrual is exact.
 *
 * A rate is kept in thousandths of a token per second and time in whole
 * milliseconds; their product is a whole number of fixed-point units. A token
 * has 1% more units than the million that this would give, so a clock that runs
 * up to 1% fast accrues no more than the rate over true time.
 *
 * @module
 */

/** Largest drift of a VM's clock from true time, as a fraction. */
export const CLOCK_DRIFT_BOUND = 0.01;

/** Fixed-point units in one token. */
export const UNITS_PER_TOKEN = 1_010_000;

/** The largest burst whose level in fixed-point units is an exact integer. */
export const MAX_BURST_TOKENS = 8_000_000_000;

/** Thousandths of a token per second, from tokens per second. */
export function toRateMilli(rateTokensPerSecond: number): number {
  return Math.max(0, Math.round(rateTokensPerSecond * 1000));
}

/** How long a lender waits, on its own clock, until a loan counts as ended. */
export function lenderWaitMs(leaseMs: number): number {
  // One more millisecond because the moment of the grant was rounded down.
  return Math.ceil(leaseMs * (1 + CLOCK_DRIFT_BOUND)) + 1;
}

/** How long a borrower may use a loan, on its own clock, from its request. */
export function borrowerUseMs(leaseMs: number): number {
  return Math.floor(leaseMs * (1 - CLOCK_DRIFT_BOUND));
}
