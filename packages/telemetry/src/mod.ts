/**
 * Logs, counters and traces.
 *
 * @module
 */

export {};
