/**
 * Small platform, engine, cache store and plain service, in one process or as
 * processes, with faults that can be switched while they run.
 *
 * @module
 */

export type { ListenOptions, StandIn } from "./stand_in_server.ts";
export { startPlatform } from "./platform/platform.ts";
export type {
  PlatformFaults,
  PlatformOptions,
  PlatformStandIn,
} from "./platform/platform.ts";
export { startEngine } from "./engine/engine.ts";
export type { EngineRecord, EngineStandIn } from "./engine/engine.ts";
export type {
  EngineFaults,
  EngineOptions,
  EngineTuning,
} from "./engine/engine_options.ts";
export { expectedCompletion } from "./engine/generated_text.ts";
export { startService } from "./service/bookings.ts";
export type {
  RanCall,
  ServiceFaults,
  ServiceOptions,
  ServiceStandIn,
} from "./service/bookings.ts";
export { startCacheStore } from "./cache_store/cache_store.ts";
export type { CacheStoreOptions } from "./cache_store/cache_store.ts";
export { runStandIn, STAND_IN_KINDS } from "./run_stand_in.ts";
export type { StandInKind } from "./run_stand_in.ts";
