/**
 * Fences orders to engines and bounds concurrent weight loads.
 *
 * @module
 */

export { CLOCK_DRIFT, OrderLeases } from "./leases.ts";
export { checkReadBack, planOrder } from "./plan.ts";
export type {
  EngineReadBack,
  OrderContext,
  OrderPlan,
  ReadBackVerdict,
} from "./plan.ts";
export { loadsWeights, orderRecordSchema } from "./records.ts";
export type {
  OrderEnded,
  OrderIssued,
  OrderKind,
  OrderRecord,
} from "./records.ts";
export { MAX_WEIGHT_LOADS, OrdersState } from "./state.ts";
export type { EngineOrderEntry, OrderVerdict } from "./state.ts";
export { planWeightsOrders, shouldClaim } from "./weights_duty.ts";
export type {
  ClaimInput,
  ClaimResult,
  DutyLog,
  EngineOrders,
  EngineReport,
  OrderAnswer,
  OrderedEngine,
  WeightsOrder,
} from "./weights_duty.ts";
export { WeightsDutyTask } from "./weights_duty_task.ts";
export type { WeightsDutyOptions } from "./weights_duty_task.ts";
