/**
 * Topics of the records that daemons read from the store and pass on to each
 * other.
 *
 * @module
 */

/** Topic of the operator's records, also when daemons pass them on. */
export const OPERATOR_TOPIC = "operator";

/** Topic of the records that backend servers write about themselves. */
export const SERVER_TOPIC = "servers";

/** Topic of the prompt segments that crash engines. */
export const QUARANTINE_TOPIC = "quarantines";

/**
 * Minimum time between reads of server records. They change all the time, so
 * reads don't wait for a change; a drain leaves 2,000 ms to notice it.
 */
export const SERVER_READ_INTERVAL_MS = 400;
