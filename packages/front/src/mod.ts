/**
 * The daemon that takes callers, put together from the product's parts.
 *
 * @module
 */

export { FrontDaemon } from "./front_daemon.ts";
export { findMemories, findOrderedEngines } from "./engine_views.ts";
export { FleetTalk } from "./fleet_talk.ts";
export type { FleetTalkOptions } from "./fleet_talk.ts";
export * from "./ports.ts";
export { RecordIntake } from "./record_intake.ts";
export type { RecordIntakeOptions } from "./record_intake.ts";
