/**
 * What the writer of an order does next.
 *
 * @module
 */

import type { OrdersState, OrderVerdict } from "./state.ts";

/** What a plan depends on besides the log. */
export interface OrderPlanContext {
  /** The order and those of the same run that it renews. */
  readonly ownOrderIds: ReadonlySet<string>;
  readonly engineId: string;
  readonly nowMs: number;
  /** When this writer must have sent, counted from before its append. */
  readonly ownLeaseUntilMs: number;
  /** Least time left in the lease that a send is begun with. */
  readonly minSendMs: number;
  /** Whether the engine is known to reject stale fencing tokens. */
  readonly checksFence: boolean;
}

/** The next step of an order. */
export type OrderPlan =
  | { readonly kind: "wait_for_log" }
  /** An earlier order may still be sent to an engine that does not check fences. */
  | { readonly kind: "wait_until"; readonly atMs: number }
  /** The lease is too short to send; append the order again. */
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
 * Decides the next step. Ask again after each record and after each wait, and
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

/** What an engine says about itself after an order. */
export interface EngineOrderState {
  /** Fencing token of the last order that it accepted. */
  readonly lastFence: number | undefined;
  /** Version of the order's model that it serves. */
  readonly weightsVersion: string | undefined;
}

/** What a read-back means for an order that was sent. */
export type EngineStateVerdict =
  | "done"
  | "loading"
  /** An older order reached the engine last, or none did. */
  | "send_again"
  | "superseded";

/**
 * Compares an engine's state with the order that it was sent.
 *
 * @example
 * ```ts
 * checkReadBack({ lastFence: 7, weightsVersion: "w2" }, {
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
