/**
 * One path for every request, whatever interface it came in by: place,
 * attempt, relay, resume, refuse.
 *
 * @module
 */

export { admit } from "./admit.ts";
export type { Admission, Arrival, DeniedReason } from "./admit.ts";
export { CallDesk } from "./call_desk.ts";
export type { CallDeskOptions, DeskBounds, Opened } from "./call_desk.ts";
export { CallRun } from "./call_run.ts";
export type { CallContext } from "./call_run.ts";
export { chooseServer } from "./choose_server.ts";
export type { Candidate, Choice, ChoiceRequest } from "./choose_server.ts";
export { ConfigurationView, pickDestination } from "./configuration.ts";
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
export { ServerBook } from "./server_book.ts";
export type { BookedServer, PeerWork } from "./server_book.ts";
export * from "./types.ts";
export { WeightsBook } from "./weights_book.ts";
export type { NamedWeights, WeightsHistory } from "./weights_book.ts";
