/**
 * Settings of the task that gives orders to engines.
 *
 * @module
 */

/** Settings of the orders task; all times in milliseconds. */
export interface OrdersTaskSettings {
  /** How long a writer may send one order, from before its append. */
  readonly leaseMs: number;
  /** Least time left in the lease that a send is begun with. */
  readonly minSendMs: number;
  /** Longest time that an append is tried. */
  readonly appendTimeoutMs: number;
  /** Pause before a failed append, send or read-back is tried again. */
  readonly retryDelayMs: number;
  /** How often open orders of ended writers are looked for. */
  readonly takeoverCheckMs: number;
  /** How long a taken over order may take. */
  readonly takeoverTimeoutMs: number;
}

/** Defaults; a load takes well under a second unless several run at once. */
export const DEFAULT_ORDERS_SETTINGS: OrdersTaskSettings = {
  leaseMs: 5000,
  minSendMs: 1000,
  appendTimeoutMs: 3000,
  retryDelayMs: 100,
  takeoverCheckMs: 1000,
  takeoverTimeoutMs: 60_000,
};
