/**
 * Orders waiting work in front of an engine fairly over teams.
 *
 * @module
 */

export * from "./fair_queue.ts";
export * from "./queue_types.ts";
