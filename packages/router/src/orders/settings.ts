/**
 * Settings of the task that issues orders to engines.
 *
 * @module
 */

/** Settings of the orders task; all times in milliseconds. */
export interface OrdersTaskSettings {
  /** Time in which a writer may send one order, from before its append. */
  readonly leaseMs: number;
  /** Remaining time of the lease below which no send is started. */
  readonly minSendMs: number;
  /** Time after which an append without an answer counts as failed. */
  readonly appendTimeoutMs: number;
  /** Delay before a failed append, send or state request is retried. */
  readonly retryDelayMs: number;
  /** Interval of the check for open orders of ended writers. */
  readonly takeoverCheckMs: number;
  /** Time limit of an order that was taken over. */
  readonly takeoverTimeoutMs: number;
}

/** Default settings. A load takes well under 1 s unless several run at once. */
export const DEFAULT_ORDERS_SETTINGS: OrdersTaskSettings = {
  leaseMs: 5000,
  minSendMs: 1000,
  appendTimeoutMs: 3000,
  retryDelayMs: 100,
  takeoverCheckMs: 1000,
  takeoverTimeoutMs: 60_000,
};
