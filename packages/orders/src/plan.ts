/**
 * Decides the next step of the writer of an order.
 *
 * @module
 */

import type { OrdersState, OrderVerdict } from "./state.ts";

/** Input of the plan besides the state of the log. */
export interface OrderPlanContext {
  /** This order and the orders of the same run that it renews. */
  readonly ownOrderIds: ReadonlySet<string>;
  readonly engineId: string;
  readonly nowMs: number;
  /** End of this writer's lease, counted from before its append. */
  readonly ownLeaseUntilMs: number;
  /** Remaining time of the lease below which no send is started. */
  readonly minSendMs: number;
  /** Whether the engine is known to reject outdated fencing tokens. */
  readonly checksFence: boolean;
}

/** The next step of an order. */
export type OrderPlan =
  | { readonly kind: "wait_for_log" }
  /** The engine checks no fences, and an earlier order may still be sent. */
  | { readonly kind: "wait_until"; readonly atMs: number }
  /** Too little of the lease is left to send; append the order again. */
  | { readonly kind: "renew" }
  | {
    readonly kind: "send";
    readonly fence: number;
    readonly untilMs: number;
  }
  | {
    readonly kind: "stop";
    readonly verdict: Exclude<
      OrderVerdict,
      "unseen" | "waits_for_load_place" | "may_be_sent"
    >;
  };

/**
 * Decides the next step. Call it again after each record, after each wait, and
 * directly before each send.
 *
 * @example
 * ```ts
 * const plan = planOrder(state, orderId, context);
 * if (plan.kind === "send") await engine.send(plan.fence);
 * ```
 */
export function planOrder(
  state: OrdersState,
  orderId: string,
  context: OrderPlanContext,
): OrderPlan {
  const verdict = state.verdict(orderId);
  if (verdict === "unseen" || verdict === "waits_for_load_place") {
    return { kind: "wait_for_log" };
  }
  if (verdict !== "may_be_sent") return { kind: "stop", verdict };
  const { engineId, ownOrderIds, nowMs, ownLeaseUntilMs } = context;
  const otherLeasesEndMs = context.checksFence
    ? 0
    : state.otherLeasesEndMs(engineId, ownOrderIds);
  if (nowMs < otherLeasesEndMs) {
    return { kind: "wait_until", atMs: otherLeasesEndMs };
  }
  if (nowMs + context.minSendMs > ownLeaseUntilMs) return { kind: "renew" };
  const fence = state.newestOrder(engineId)?.fence ?? 0;
  return { kind: "send", fence, untilMs: ownLeaseUntilMs };
}

/** State that an engine reports after it was sent an order. */
export interface EngineOrderState {
  /** Fencing token of the last order that it accepted. */
  readonly lastFence: number | undefined;
  /** Weights version that it serves for the order's model. */
  readonly weightsVersion: string | undefined;
}

/** What an engine's state means for an order that was sent to it. */
export type EngineStateVerdict =
  | "done"
  | "loading"
  /** The engine accepted an older order last, or none at all. */
  | "send_again"
  | "superseded";

/**
 * Compares an engine's state with the order that was sent to it.
 *
 * @example
 * ```ts
 * compareEngineState({ lastFence: 7, weightsVersion: "w2" }, {
 *   fence: 7,
 *   weightsVersion: "w2",
 *   loadsModel: true,
 * }); // "done"
 * ```
 */
export function compareEngineState(
  engine: EngineOrderState,
  order: {
    readonly fence: number;
    readonly weightsVersion: string;
    /** Whether the engine lists the order's model when it is done. */
    readonly loadsModel: boolean;
  },
): EngineStateVerdict {
  if (engine.lastFence === undefined) return "send_again";
  if (engine.lastFence > order.fence) return "superseded";
  if (engine.lastFence < order.fence) return "send_again";
  if (!order.loadsModel) return "done";
  return engine.weightsVersion === order.weightsVersion ? "done" : "loading";
}
