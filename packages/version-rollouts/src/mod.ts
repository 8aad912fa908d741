/**
 * Decides how a service moves to another software version, and back when that
 * version answers badly.
 *
 * @module
 */

export { AnswerWatch } from "./answer_watch.ts";
export type { OtherPace, WatchedAttempt } from "./answer_watch.ts";
export { ExposureCredit } from "./exposure_credit.ts";
export type { CreditOffer } from "./exposure_credit.ts";
export { findFault, FleetEvidence } from "./fleet_evidence.ts";
export type { RouteSums, VersionFault } from "./fleet_evidence.ts";
export { lackingRoutes, planEnd, planShare } from "./rollout_plan.ts";
export type {
  EndPlanInput,
  SharePlan,
  SharePlanInput,
} from "./rollout_plan.ts";
export { planValidMs, ServiceRollout } from "./service_rollout.ts";
export type {
  ChoiceMoment,
  RolloutRequest,
  ServerChoice,
  ServiceServers,
} from "./service_rollout.ts";
export type {
  DoubtfulCounts,
  FinalPhase,
  RolloutBounds,
  RolloutNews,
  RolloutPhase,
  RolloutPlan,
  RouteCounts,
  VersionCounts,
  VersionOrder,
} from "./version_order.ts";
