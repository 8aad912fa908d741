/**
 * Charges, lends and borrows a team's rate and burst at the holder of its
 * group: pure state and events, time passed in.
 *
 * @module
 */

export type { LimitsEffect, LimitsEvent } from "./events.ts";
export {
  borrowerUseMs,
  CLOCK_DRIFT_BOUND,
  GRAINS_PER_TOKEN,
  lenderWaitMs,
  MAX_BURST_TOKENS,
  toRateMilli,
} from "./grains.ts";
export { heldAmount, levelTokens } from "./level.ts";
export { createTeamState } from "./state.ts";
export type {
  Amount,
  HoldingStart,
  LoanIn,
  LoanOut,
  TeamState,
  TeamTerms,
  WaitingCharge,
} from "./state.ts";
export {
  hasNothingLent,
  isIdle,
  nextWakeMs,
  reachableCapacityTokens,
  step,
} from "./step.ts";
