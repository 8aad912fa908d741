/**
 * The daemon that accepts callers' requests, assembled from the other packages.
 *
 * @module
 */

export { FrontDaemon } from "./front_daemon.ts";
export { findRolloutEngines, findWatchedCaches } from "./server_selection.ts";
export { FleetGossip } from "./fleet_gossip.ts";
export type { FleetGossipOptions } from "./fleet_gossip.ts";
export * from "./ports.ts";
export { RecordApplier } from "./record_applier.ts";
export type { RecordApplierOptions } from "./record_applier.ts";
export { QuarantineKeeper } from "./quarantine_keeper.ts";
export type { QuarantineKeeperOptions } from "./quarantine_keeper.ts";
