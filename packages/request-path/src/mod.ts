/**
 * One path for every request, whatever interface it came in by: place,
 * attempt, relay, resume, refuse.
 *
 * @module
 */

export { admit } from "./admit.ts";
export type { Admission, Arrival, DeniedReason } from "./admit.ts";
export { AdmissionController } from "./admission_controller.ts";
export type {
  AdmissionBounds,
  AdmissionOptions,
  Opened,
} from "./admission_controller.ts";
export { CallRun } from "./call_run.ts";
export type { CallContext } from "./call_run.ts";
export { chooseServer } from "./choose_server.ts";
export type { Candidate, Choice, ChoiceRequest } from "./choose_server.ts";
export { ConfigurationView, pickDestination } from "./configuration.ts";
export { KeptParts, partKey } from "./kept_parts.ts";
export type { KeptChange, KeptTokens, PartKey } from "./kept_parts.ts";
export { assignMemories, KeptPartsWatch } from "./kept_parts_watch.ts";
export type {
  KeptPartsWatchOptions,
  MemoryClient,
  MemoryNews,
  WatchedMemory,
} from "./kept_parts_watch.ts";
export { EventFrames } from "./event_frames.ts";
export type { EventFrame } from "./event_frames.ts";
export { planLeaving } from "./leaving.ts";
export type { LeavingState, LeavingStep } from "./leaving.ts";
export { patienceMs } from "./patience.ts";
export { placeCall } from "./placement.ts";
export type { CachePlan, Placement, PlacementContext } from "./placement.ts";
export * from "./ports.ts";
export { RepeatWindow } from "./repeat_window.ts";
export type { RepeatBound } from "./repeat_window.ts";
export { ServerRegistry } from "./server_registry.ts";
export type { KnownServer, MemoryId, ServerWork } from "./server_registry.ts";
export { turnAway } from "./turn_away.ts";
export type { WaitingPrompt } from "./turn_away.ts";
export * from "./types.ts";
export { NamedWeightsRegistry } from "./named_weights.ts";
export type { NamedWeights, WeightsHistory } from "./named_weights.ts";
