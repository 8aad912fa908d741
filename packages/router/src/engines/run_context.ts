/**
 * Input and dependencies of a model run.
 *
 * @module
 */

import type { RetryBudget } from "@endivebend/routing";
import type { EngineUsage } from "@endivebend/streams";
import type { TraceSpan } from "@endivebend/telemetry";
import type { BackendServerId, RequestId, TeamId } from "@endivebend/types";
import type { ModelRequest } from "../callers/model_request.ts";
import type { Explainer, Metrics } from "../ports.ts";
import type { EngineConnections, EngineHeaders } from "./attempt_client.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import type { PlacementContext } from "./place_attempt.ts";

/** Receives the output of a run. */
export interface RunSink {
  /** Returns false when the caller reads too slowly; `callerReady` follows. */
  text(text: string): boolean;
  finish(end: {
    readonly finishReason: string;
    readonly usage: EngineUsage;
  }): void;
  fail(error: Error): void;
}

/** Records in membership what engines answered. */
export interface MembershipRecorder {
  recordServerAnswer(
    id: BackendServerId,
    answer: EngineHeaders & { readonly asOfMs: number },
  ): void;
  recordServerFailure(id: BackendServerId): void;
  recordServerLeaving(id: BackendServerId): void;
}

/** Dependencies that all runs of a router share. */
export interface RunContext extends PlacementContext {
  readonly connections: EngineConnections;
  readonly directory: EngineDirectory;
  readonly membershipRecorder: MembershipRecorder;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
  readonly explainer: Explainer;
  readonly progressTimeoutMs: number;
}

/** One request to run. */
export interface RunInput {
  readonly requestId: RequestId;
  readonly team: TeamId;
  readonly request: ModelRequest;
  readonly deadlineElapsedMs: number;
  /** End of the wait for the first engine's slot. */
  readonly queueDeadlineElapsedMs: number;
  /** How long a resumed stream may wait for another engine's slot. */
  readonly queueWaitMs: number;
  readonly sink: RunSink;
  readonly span: TraceSpan;
}
