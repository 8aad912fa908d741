/**
 * The unit in which levels are counted, so that accrual is exact.
 *
 * A rate is kept in thousandths of a token per second and time in whole
 * milliseconds; their product is a whole number of grains. A grain is 1% more
 * than a millionth of a token would be, so a clock that runs up to 1% fast
 * accrues no more than the rate over true time.
 *
 * @module
 */

/** How much faster or slower than true time a VM's clock may run, as a fraction. */
export const CLOCK_DRIFT_BOUND = 0.01;

/** Grains of one token. */
export const UNITS_PER_TOKEN = 1_010_000;

/** The largest burst whose level in grains is an exact integer. */
export const MAX_BURST_TOKENS = 8_000_000_000;

/** Thousandths of a token per second, from tokens per second. */
export function toRateMilli(rateTokensPerSecond: number): number {
  return Math.max(0, Math.round(rateTokensPerSecond * 1000));
}

/** How long the lender of a loan waits, on its own clock, before it resumes. */
export function lenderWaitMs(leaseMs: number): number {
  // One more millisecond because the moment of the grant was rounded down.
  return Math.ceil(leaseMs * (1 + CLOCK_DRIFT_BOUND)) + 1;
}

/** How long a borrower may use a loan, on its own clock, from before it asked. */
export function borrowerUseMs(leaseMs: number): number {
  return Math.floor(leaseMs * (1 - CLOCK_DRIFT_BOUND));
}
