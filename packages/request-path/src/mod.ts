/**
 * One path for every request, whatever interface it came in by: place,
 * attempt, relay, resume, refuse.
 *
 * @module
 */

export { admit } from "./admit.ts";
export type { Admission, DeniedReason, RequestHead } from "./admit.ts";
export { AdmissionController } from "./admission_controller.ts";
export type {
  AdmissionBounds,
  AdmissionOptions,
  OpenResult,
} from "./admission_controller.ts";
export { RequestRun } from "./call_run.ts";
export type { RequestContext } from "./call_run.ts";
export { chooseServer } from "./choose_server.ts";
export type { Candidate, Choice, ChoiceRequest } from "./choose_server.ts";
export { ConfigurationView, pickDestination } from "./configuration.ts";
export { CachedSegments, segmentKey } from "./kept_parts.ts";
export type { CacheChange, CachedTokens, SegmentKey } from "./kept_parts.ts";
export { assignCaches, CacheWatch } from "./kept_parts_watch.ts";
export type {
  CacheEventBatch,
  CacheEventClient,
  CacheWatchOptions,
  WatchedCache,
} from "./kept_parts_watch.ts";
export { EventFrames } from "./event_frames.ts";
export type { EventFrame } from "./event_frames.ts";
export { planDrain } from "./leaving.ts";
export type { DrainState, DrainStep } from "./leaving.ts";
export { silenceTimeoutMs } from "./patience.ts";
export { placeRequest } from "./placement.ts";
export type { CachePlan, Placement, PlacementContext } from "./placement.ts";
export * from "./ports.ts";
export { RetryBudget } from "./repeat_window.ts";
export type { RetryLimits } from "./repeat_window.ts";
export { ServerRegistry } from "./server_registry.ts";
export type {
  KnownServer,
  PrefixCacheId,
  ServerWork,
} from "./server_registry.ts";
export { shedRetryMs } from "./turn_away.ts";
export type { WaitingPrompt } from "./turn_away.ts";
export * from "./types.ts";
export { NamedWeightsRegistry } from "./named_weights.ts";
export type { NamedWeights, WeightsHistory } from "./named_weights.ts";
