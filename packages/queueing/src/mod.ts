/**
 * Queues the requests for an engine and serves teams fairly.
 *
 * @module
 */

export * from "./fair_queue.ts";
export * from "./queue_types.ts";
