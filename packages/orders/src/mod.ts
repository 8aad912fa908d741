/**
 * Fences orders to engines, bounds concurrent weight loads, and rolls out new
 * weights.
 *
 * @module
 */

export { CLOCK_DRIFT, OrderLeases } from "./leases.ts";
export { compareEngineState, planOrder } from "./plan.ts";
export type {
  EngineOrderState,
  EngineStateVerdict,
  OrderPlan,
  OrderPlanContext,
} from "./plan.ts";
export { orderRecordSchema, readsWeightStore } from "./records.ts";
export type {
  OrderEnded,
  OrderIssued,
  OrderKind,
  OrderRecord,
} from "./records.ts";
export { MAX_WEIGHT_LOADS, OrdersState } from "./state.ts";
export type { EngineOrderEntry, OrderVerdict } from "./state.ts";
export type {
  LeaseAppendResult,
  LeaseLogState,
  LeaseRecord,
  RolloutLeaseLog,
} from "./lease_plan.ts";
export { planRolloutOrders } from "./weights_rollout.ts";
export type {
  EngineReport,
  OrderAnswer,
  RolloutEngine,
  RolloutOrderClient,
  WeightsOrder,
} from "./weights_rollout.ts";
export { VersionRolloutTask } from "./version_rollout_task.ts";
export type {
  OpenRollouts,
  VersionRolloutOptions,
} from "./version_rollout_task.ts";
export type {
  RolloutStatus,
  RolloutStatusLog,
  RolloutStatusState,
  StatusAppendResult,
} from "./rollout_status.ts";
export { WeightsRolloutTask } from "./weights_rollout_task.ts";
export type { WeightsRolloutOptions } from "./weights_rollout_task.ts";
