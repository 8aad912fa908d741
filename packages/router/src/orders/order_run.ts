/**
 * Runs one order from its append to its end.
 *
 * @module
 */

import {
  compareEngineState,
  type EngineStateVerdict,
  type OrderKind,
  type OrderPlan,
  type OrdersState,
  planOrder,
} from "@endivebend/orders";
import { createError, type EndivebendError } from "@endivebend/errors";
import type { BackendServerId } from "@endivebend/types";
import type {
  AppendRecord,
  Clock,
  FollowedStream,
  Identity,
  MembershipView,
  Scheduler,
} from "../ports.ts";
import type { EngineOrderClient, SendAnswer } from "./engine_order_client.ts";
import type { OrdersTaskSettings } from "./settings.ts";

/** An order requested by an operator or a task. */
export interface OrderRequest {
  readonly engineId: BackendServerId;
  readonly kind: OrderKind;
  readonly model: string;
  readonly weightsVersion: string;
  /** The open order of an ended writer that this one replaces. */
  readonly takesOver?: string;
}

/** Result of an order. */
export type OrderResult =
  | { readonly kind: "finished"; readonly fence: number }
  /** A newer order for the engine replaced it. */
  | { readonly kind: "superseded" }
  | { readonly kind: "abandoned"; readonly reason: string };

/** Dependencies of {@link OrderRun}. */
export interface OrderRunOptions {
  readonly identity: Identity;
  readonly stream: FollowedStream;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: EngineOrderClient;
  readonly settings: OrdersTaskSettings;
  readonly state: OrdersState;
  /** Whether the engine is known to reject stale fencing tokens. */
  readonly checksFence: (engineId: BackendServerId) => boolean;
  readonly nextRecordId: (kind: string) => string;
  /** Resolves on the next applied record, at the latest after `waitMs`. */
  readonly whenChanged: (waitMs: number) => Promise<void>;
  readonly deadlineElapsedMs: number;
}

type PlanOf<Kind extends OrderPlan["kind"]> = Extract<
  OrderPlan,
  { kind: Kind }
>;

/** The order's result, or undefined when its next step must be planned. */
type StepResult = Promise<OrderResult | undefined>;

/** Issues one order, sends it and ends it in the log. */
export class OrderRun {
  readonly #order: OrderRequest;
  readonly #options: OrderRunOptions;
  /** Record ids of the order and of its renewals. */
  readonly #orderIds = new Set<string>();
  #orderId = "";
  #ownLeaseUntilMs = 0;
  /** Until then a send may still reach the engine or a load run there. */
  #sendsMayArriveUntilMs = 0;
  #hasUnansweredSend = false;
  #isAccepted = false;

  constructor(order: OrderRequest, options: OrderRunOptions) {
    this.#order = order;
    this.#options = options;
  }

  async run(): Promise<OrderResult> {
    await this.#append(this.#order.takesOver);
    while (this.#remainingMs() > 0) {
      const plan = this.#plan();
      // The table is typed per kind; the plan's kind selects the handler.
      const handler = this.#handlers[plan.kind] as (
        plan: OrderPlan,
      ) => StepResult;
      const result = await handler(plan);
      if (result !== undefined) return result;
    }
    return this.#abandon("The order's deadline has passed");
  }

  readonly #handlers: {
    readonly [Kind in OrderPlan["kind"]]: (plan: PlanOf<Kind>) => StepResult;
  } = {
    wait_for_log: () => this.#waitForChange(this.#remainingMs()),
    wait_until: ({ atMs }) => {
      return this.#waitForChange(atMs - this.#options.clock.elapsedMs());
    },
    renew: async () => {
      await this.#append(this.#orderId);
      return undefined;
    },
    send: (plan) => this.#send(plan),
    stop: ({ verdict }) => this.#handleStop(verdict),
  };

  #handleStop(verdict: PlanOf<"stop">["verdict"]): StepResult {
    if (verdict === "finished" || verdict === "abandoned") {
      const reason = `The order is ${verdict} already`;
      return Promise.resolve({ kind: "abandoned", reason });
    }
    // Ends the lease, because the newer order may be waiting for its end.
    this.#endOrder("order_abandoned", { reason: `The order is ${verdict}` });
    return Promise.resolve({ kind: "superseded" });
  }

  #plan(): OrderPlan {
    const { clock, settings, state, checksFence } = this.#options;
    const { engineId } = this.#order;
    return planOrder(state, this.#orderId, {
      ownOrderIds: this.#orderIds,
      engineId,
      nowMs: clock.elapsedMs(),
      ownLeaseUntilMs: this.#ownLeaseUntilMs,
      minSendMs: settings.minSendMs,
      checksFence: checksFence(engineId),
    });
  }

  #remainingMs(): number {
    return this.#options.deadlineElapsedMs - this.#options.clock.elapsedMs();
  }

  async #waitForChange(waitMs: number): StepResult {
    const boundedMs = Math.min(waitMs, this.#remainingMs());
    await this.#options.whenChanged(Math.max(0, boundedMs));
    return undefined;
  }

  /**
   * Appends the order; its lease starts before the append. Throws
   * `platform_unavailable` when the append failed or has no known result.
   */
  async #append(takesOver: string | undefined): Promise<void> {
    const { clock, settings, stream } = this.#options;
    const { engineId, kind, model, weightsVersion } = this.#order;
    const nowMs = clock.elapsedMs();
    const previousOrderId = this.#orderId;
    this.#orderId = this.#options.nextRecordId("order");
    this.#orderIds.add(this.#orderId);
    this.#ownLeaseUntilMs = nowMs + settings.leaseMs;
    const result = await stream.append({
      ...this.#writerFields(),
      kind: "order_issued",
      recordId: this.#orderId,
      engineId,
      orderKind: kind,
      model,
      weightsVersion,
      leaseMs: settings.leaseMs,
      ...(takesOver === undefined ? {} : { takesOver }),
    }, { deadlineElapsedMs: nowMs + settings.appendTimeoutMs });
    if (result.kind === "appended") return;
    this.#abandonUnsettled(this.#orderId);
    if (takesOver === previousOrderId) this.#abandonUnsettled(previousOrderId);
    throw this.#createLogError(result.reason);
  }

  /** Abandons an order that may still reach the log and hold a load's place. */
  #abandonUnsettled(orderId: string): void {
    const reason = "The append of the order failed or had no known result";
    void this.#persistEnd("order_abandoned", { orderId, reason });
  }

  #createLogError(reason: string): EndivebendError {
    return createError(
      "platform_unavailable",
      `The order was not sent: ${reason}`,
      {
        ran: "not_run",
        retryAfterMs: this.#options.settings.appendTimeoutMs,
      },
    );
  }

  /** Must run in the same event-loop turn as the plan, which is valid then. */
  async #send(plan: PlanOf<"send">): StepResult {
    const { client, clock, membership, settings } = this.#options;
    const { engineId, kind, model, weightsVersion } = this.#order;
    const address = membership.backendServer(engineId)?.entry.address;
    if (address === undefined) {
      return this.#abandon("The platform's list no longer has the engine");
    }
    const order = { kind, model, weightsVersion, fence: plan.fence };
    const nowMs = clock.elapsedMs();
    this.#sendsMayArriveUntilMs = nowMs + settings.leaseMs;
    const timeoutMs = plan.untilMs - nowMs;
    const answer = await client.send(address, order, { timeoutMs });
    return this.#handleSendAnswer(answer, { address, fence: plan.fence });
  }

  #handleSendAnswer(
    answer: SendAnswer,
    sentOrder: { readonly address: string; readonly fence: number },
  ): StepResult {
    if (answer.kind === "unknown") this.#hasUnansweredSend = true;
    if (answer.kind === "accepted") this.#isAccepted = true;
    if (answer.kind === "rejected") return this.#abandon(answer.reason);
    // The engine has accepted a newer order, which will appear in the log.
    if (answer.kind === "stale") return this.#waitForRetry();
    return this.#awaitCompletion(sentOrder);
  }

  async #awaitCompletion(
    { address, fence }: { readonly address: string; readonly fence: number },
  ): StepResult {
    const { client } = this.#options;
    const { kind, model, weightsVersion } = this.#order;
    const order = { fence, weightsVersion, loadsModel: kind !== "change_role" };
    let verdict: EngineStateVerdict = "loading";
    while (verdict === "loading" && this.#remainingMs() > 0) {
      const engineState = await client.fetchState(address, model);
      verdict = engineState
        ? compareEngineState(engineState, order)
        : "send_again";
      if (verdict === "done") return this.#finish(fence);
      await this.#waitForRetry();
    }
    return undefined;
  }

  #waitForRetry(): StepResult {
    return this.#waitForChange(this.#options.settings.retryDelayMs);
  }

  #finish(fence: number): Promise<OrderResult> {
    this.#endOrder("order_finished", {});
    return Promise.resolve({ kind: "finished", fence });
  }

  #abandon(reason: string): Promise<OrderResult> {
    this.#endOrder("order_abandoned", { reason, isLoading: this.#isAccepted });
    return Promise.resolve({ kind: "abandoned", reason });
  }

  /**
   * Ends the order in the log. The end is delayed while a send without an
   * answer may still reach the engine or the engine may still be loading.
   */
  #endOrder(
    kind: "order_finished" | "order_abandoned",
    options: { readonly reason?: string; readonly isLoading?: boolean },
  ): void {
    const { reason, isLoading } = options;
    const canEndNow = !this.#hasUnansweredSend && isLoading !== true;
    const nowMs = this.#options.clock.elapsedMs();
    const delayMs = canEndNow ? 0 : this.#sendsMayArriveUntilMs - nowMs;
    const fields = { orderId: this.#orderId, ...(reason ? { reason } : {}) };
    void this.#delay(delayMs).then(() => this.#persistEnd(kind, fields));
  }

  #persistEnd(
    kind: "order_finished" | "order_abandoned",
    fields: { readonly orderId: string; readonly reason?: string },
  ): Promise<void> {
    return this.#appendWithRetry({
      ...this.#writerFields(),
      ...fields,
      kind,
      recordId: this.#options.nextRecordId("end"),
      engineId: this.#order.engineId,
    });
  }

  /** Retries without limit: a load holds its place until its end is logged. */
  async #appendWithRetry(record: AppendRecord): Promise<void> {
    const { clock, settings, stream } = this.#options;
    for (;;) {
      const deadlineElapsedMs = clock.elapsedMs() + settings.appendTimeoutMs;
      const result = await stream.append(record, { deadlineElapsedMs });
      if (result.kind === "appended") return;
      await this.#delay(settings.retryDelayMs);
    }
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.scheduler.after(Math.max(0, delayMs), resolve);
    });
  }

  #writerFields() {
    const { vmId, incarnation } = this.#options.identity;
    return { vmId, incarnation };
  }
}
