/**
 * Enforces a team's rate and burst at the holder of its group, which lends to
 * and borrows from the holders of other failure domains. The state changes only
 * through events; the time is a parameter.
 *
 * @module
 */

export type { LimitsEffect, LimitsEvent } from "./events.ts";
export {
  borrowerUseMs,
  CLOCK_DRIFT_BOUND,
  lenderWaitMs,
  MAX_BURST_TOKENS,
  toRateMilli,
  UNITS_PER_TOKEN,
} from "./fixed_point.ts";
export { Holdings, mustConfirmSplit } from "./holdings.ts";
export type { HolderIdentity } from "./holdings.ts";
export { planMaintenance } from "./rights_maintenance.ts";
export type {
  MaintenanceInput,
  MaintenanceRecord,
} from "./rights_maintenance.ts";
export { chargingDomain, computeTerms, otherDomains } from "./terms.ts";
export type { LendingSettings } from "./terms.ts";
export { heldCapacityTokens, levelTokens } from "./level.ts";
export { measureRefusals } from "./measure_refusals.ts";
export type {
  RefusalCounts,
  RefusalOptions,
  RefusalScenario,
} from "./measure_refusals.ts";
export { Ledger } from "./simulation/ledger.ts";
export type { LedgerLimit } from "./simulation/ledger.ts";
export { runLimitsSeed, runLimitsSoak } from "./soak.ts";
export type { LimitsSoakReport } from "./soak.ts";
export { createTeamState } from "./state.ts";
export type {
  HoldingStart,
  LoanIn,
  LoanOut,
  RateAndCapacity,
  TeamState,
  TeamTerms,
  WaitingCharge,
} from "./state.ts";
export {
  hasNothingLent,
  isIdle,
  maxGrantableTokens,
  nextWakeAtMs,
  step,
} from "./step.ts";
export { SharedBucket } from "./shared_bucket.ts";
export type { BucketTerms, BucketTolerance } from "./shared_bucket.ts";
