/**
 * The path of every request, whichever interface it came in by: admission,
 * placement, attempts, relaying and resuming the answer, or refusal.
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
export { RequestRun } from "./request_run.ts";
export type { RequestContext } from "./request_context.ts";
export { chooseServer } from "./choose_server.ts";
export type { Candidate, Choice, ChoiceRequest } from "./choose_server.ts";
export { explainRoute } from "./explain_route.ts";
export type {
  ExplainContext,
  ExplainedCandidate,
  ExplainedService,
  RouteExplanation,
  RouteQuery,
} from "./explain_route.ts";
export { DomainBalance } from "./domain_balance.ts";
export type {
  BalanceState,
  DomainBalanceOptions,
  DomainSums,
  SenderWork,
} from "./domain_balance.ts";
export { ConfigurationView, pickDestination } from "./configuration.ts";
export { beginByMs, BEGINS_TOO_LATE } from "./begin_bound.ts";
export { CachedSegments, segmentKey } from "./cached_segments.ts";
export type {
  CacheChange,
  CachedTokens,
  SegmentKey,
} from "./cached_segments.ts";
export { assignCaches, CacheWatch } from "./cache_watch.ts";
export type {
  CacheEventBatch,
  CacheEventClient,
  CacheWatchOptions,
  WatchedCache,
} from "./cache_watch.ts";
export { CrashGuard } from "./crash_guard.ts";
export type { CrashGuardOptions, RequestSuspects } from "./crash_guard.ts";
export { EventFrames } from "./event_frames.ts";
export type { EventFrame } from "./event_frames.ts";
export { mayTakeRequest, planDrain } from "./drain_plan.ts";
export type { DrainState, DrainStep } from "./drain_plan.ts";
export { ForwardedRuns } from "./forwarded_run.ts";
export type {
  ForwardContext,
  ForwardedRun,
  ForwardSink,
} from "./forwarded_run.ts";
export { silenceTimeoutMs } from "./silence_timeout.ts";
export { summarizeWeights } from "./weights_belief.ts";
export { placeRequest } from "./placement.ts";
export type { CachePlan, Placement, PlacementContext } from "./placement.ts";
export * from "./ports.ts";
export { ProcessCheck } from "./process_check.ts";
export type { ProcessCheckOptions, StatedProcess } from "./process_check.ts";
export { RetryBudget } from "./retry_budget.ts";
export type { RetryLimits } from "./retry_budget.ts";
export { planAllowances } from "./plan_allowances.ts";
export type { LimitedServer, Sharer } from "./plan_allowances.ts";
export { ServerAllowances } from "./server_allowances.ts";
export type { ServerAllowancesOptions } from "./server_allowances.ts";
export { ServerEndCheck } from "./server_end_check.ts";
export type { ServerEndCheckOptions } from "./server_end_check.ts";
export { ServerRegistry } from "./server_registry.ts";
export type {
  KnownServer,
  PrefixCacheId,
  SeenLimit,
  ServerLimit,
  ServerWork,
  WeightsChange,
} from "./server_registry.ts";
export { PREFILL_TOKENS_PER_MS, ServerPaces } from "./server_pace.ts";
export type {
  PaceLookup,
  PaceTracker,
  ServerPace,
  ServerPacesOptions,
} from "./server_pace.ts";
export { shedRetryMs } from "./load_shedding.ts";
export type { WaitingPrompt } from "./load_shedding.ts";
export * from "./types.ts";
export type { VersionChoice, VersionNeed } from "./version_choice.ts";
export { firstNewer, NamedWeightsRegistry } from "./named_weights.ts";
export type { NamedWeights, WeightsHistory } from "./named_weights.ts";
