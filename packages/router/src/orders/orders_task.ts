/**
 * The task that issues orders to engines.
 *
 * @module
 */

import { type EngineOrderEntry, OrdersState } from "@endivebend/orders";
import { firstByRendezvous } from "@endivebend/routing";
import { createError } from "@endivebend/errors";
import type { BackendServerId, LogRecord } from "@endivebend/types";
import type {
  Clock,
  FollowedStream,
  Identity,
  Logger,
  MembershipView,
  Metrics,
  Scheduler,
  StreamFold,
} from "../ports.ts";
import { hasWriterEnded } from "../membership/writer_ended.ts";
import type { EngineOrderClient } from "./engine_order_client.ts";
import { type OrderRequest, type OrderResult, OrderRun } from "./order_run.ts";
import type { OrdersTaskSettings } from "./settings.ts";

/** Dependencies of {@link OrdersTask}. */
export interface OrdersTaskOptions {
  readonly identity: Identity;
  readonly stream: FollowedStream;
  readonly membership: MembershipView;
  readonly client: EngineOrderClient;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly settings: OrdersTaskSettings;
  /** Whether an engine is known to reject stale fencing tokens; default: no. */
  readonly checksFence?: (engineId: BackendServerId) => boolean;
}

/** Issues orders and applies the records of the `orders` stream. */
export class OrdersTask implements StreamFold {
  readonly #options: OrdersTaskOptions;
  readonly #state = new OrdersState();
  readonly #waiters = new Set<() => void>();
  readonly #takeoversInProgress = new Set<string>();
  #sequence = 0;
  #runningCount = 0;
  #cancelTimer: () => void = () => {};

  constructor(options: OrdersTaskOptions) {
    this.#options = options;
    this.#scheduleTakeovers();
  }

  /** Number of running orders of this daemon; a planned stop waits for 0. */
  get runningOrders(): number {
    return this.#runningCount;
  }

  /** Orders that have not ended, at most the newest of each engine. */
  openOrders(): readonly EngineOrderEntry[] {
    return this.#state.openOrders();
  }

  stop(): void {
    this.#cancelTimer();
  }

  apply(record: LogRecord): void {
    this.#state.apply(record, this.#options.clock.elapsedMs());
    for (const wake of [...this.#waiters]) wake();
  }

  /**
   * Issues an order and resolves when the engine has carried it out, when a
   * newer order replaced it, or at the deadline. Throws `no_backend_server` for
   * an unknown engine, and `platform_unavailable` when the log did not take the
   * order; it is not sent then, even if it appears in the log later.
   */
  async issue(
    order: OrderRequest,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<OrderResult> {
    const { membership } = this.#options;
    const isListed = membership.backendServer(order.engineId) !== undefined;
    // An order of an ended VM for a removed engine is taken over to abandon it.
    if (!isListed && order.takesOver === undefined) {
      throw createError(
        "no_backend_server",
        `No engine is named ${order.engineId}`,
      );
    }
    this.#runningCount++;
    try {
      const result = await this.#createRun(order, options).run();
      this.#reportEnd(order, result);
      return result;
    } finally {
      this.#runningCount--;
    }
  }

  #createRun(
    order: OrderRequest,
    options: { readonly deadlineElapsedMs: number },
  ): OrderRun {
    return new OrderRun(order, {
      ...this.#options,
      ...options,
      state: this.#state,
      checksFence: this.#options.checksFence ?? (() => false),
      nextRecordId: (kind) => this.#nextRecordId(kind),
      whenChanged: (waitMs) => this.#whenChanged(waitMs),
    });
  }

  #nextRecordId(kind: string): string {
    const { vmId, incarnation } = this.#options.identity;
    this.#sequence++;
    return `${vmId}/${incarnation}/${kind}/${this.#sequence}`;
  }

  #whenChanged(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        cancel();
        this.#waiters.delete(wake);
        resolve();
      };
      const cancel = this.#options.scheduler.after(waitMs, wake);
      this.#waiters.add(wake);
    });
  }

  #scheduleTakeovers(): void {
    const { scheduler, settings } = this.#options;
    this.#cancelTimer = scheduler.after(settings.takeoverCheckMs, () => {
      this.#takeOverOrphanedOrders();
      this.#scheduleTakeovers();
    });
  }

  /** Issues again the open orders whose writer has ended. */
  #takeOverOrphanedOrders(): void {
    if (!this.#options.stream.isCaughtUp()) return;
    for (const entry of this.#state.openOrders()) {
      if (!this.#hasEnded(entry) || !this.#isOwnerOf(entry.engineId)) continue;
      void this.#takeOver(entry);
    }
  }

  /** Briefly two VMs may be owners; the order of the log selects one. */
  #isOwnerOf(engineId: string): boolean {
    const { identity, membership } = this.#options;
    const vmIds = membership.entryVms().map((vm) => vm.vmId);
    return firstByRendezvous(engineId, vmIds) === identity.vmId;
  }

  #hasEnded(entry: EngineOrderEntry): boolean {
    const { vmId, incarnation, issuedAtMs: writtenAtMs } = entry;
    return hasWriterEnded({ vmId, incarnation, writtenAtMs }, this.#options);
  }

  async #takeOver(entry: EngineOrderEntry): Promise<void> {
    if (this.#takeoversInProgress.has(entry.recordId)) return;
    this.#takeoversInProgress.add(entry.recordId);
    const { clock, logger, settings } = this.#options;
    const { engineId, vmId, fence } = entry;
    logger.info(
      { engineId, vmId, fence },
      "Taking over an open order of an ended daemon",
    );
    try {
      await this.issue({
        engineId: engineId as BackendServerId,
        kind: entry.orderKind,
        model: entry.model,
        weightsVersion: entry.weightsVersion,
        takesOver: entry.recordId,
      }, {
        deadlineElapsedMs: clock.elapsedMs() + settings.takeoverTimeoutMs,
      });
    } catch (caught) {
      logger.warn(
        { engineId, cause: String(caught) },
        "Taking over an order failed; the next check tries it again",
      );
    } finally {
      this.#takeoversInProgress.delete(entry.recordId);
    }
  }

  #reportEnd(order: OrderRequest, result: OrderResult): void {
    const { logger, metrics } = this.#options;
    metrics.increment("orders.ended", { result: result.kind });
    logger.info({ ...order, result }, "An order has ended");
  }
}

/**
 * Creates the task. Pass it to the follower of the `orders` stream, which
 * applies the stream's records to it.
 *
 * @example
 * ```ts
 * const orders = createOrdersTask(options);
 * const result = await orders.issue({
 *   engineId,
 *   kind: "load_model",
 *   model: "chime-llm",
 *   weightsVersion: "w2",
 * }, { deadlineElapsedMs: clock.elapsedMs() + 30_000 });
 * ```
 */
export function createOrdersTask(options: OrdersTaskOptions): OrdersTask {
  return new OrdersTask(options);
}
