/**
 * The daemon that takes callers, put together from the product's parts.
 *
 * @module
 */

export { FrontDaemon } from "./front_daemon.ts";
export { findRolloutEngines, findWatchedCaches } from "./engine_views.ts";
export { FleetGossip } from "./fleet_talk.ts";
export type { FleetGossipOptions } from "./fleet_talk.ts";
export * from "./ports.ts";
export { RecordApplier } from "./record_intake.ts";
export type { RecordApplierOptions } from "./record_intake.ts";
