/**
 * What the callers' handlers need of the other tasks.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { TraceSpan, Tracing } from "@endivebend/telemetry";
import type { RequestId } from "@endivebend/types";
import type { RunContext } from "../engines/run_context.ts";
import type {
  Charger,
  Clock,
  CommitmentGate,
  ConfigurationView,
  Explainer,
  MembershipView,
  Metrics,
  Scheduler,
  ServiceDispatcher,
} from "../ports.ts";
import type { OpenRequest } from "../http/connections.ts";
import type { ActiveRequests } from "./active_requests.ts";

/** Limits that the settings name. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly requestTimeoutMs: number;
  readonly queueWaitMs: number;
  readonly defaultMaxTokens: number;
}

/** The neighbours of the callers' handlers. */
export interface CallerContext {
  readonly configuration: ConfigurationView;
  readonly charger: Charger;
  readonly membership: MembershipView;
  readonly runContext: RunContext;
  readonly dispatcher: ServiceDispatcher;
  readonly commitments: CommitmentGate;
  readonly active: ActiveRequests;
  readonly tracing: Tracing;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly explainer: Explainer;
  readonly limits: CallerLimits;
  /** Whether the balancer should send requests here. */
  readonly isReady: () => boolean;
  /** Whether connections are to be given up after their answer. */
  readonly isDraining: () => boolean;
}

/** Records that a caller left before it had its answer. */
export function recordAbandoned(
  context: Pick<CallerContext, "metrics" | "explainer">,
  exchange: Pick<Exchange, "requestId">,
): void {
  context.metrics.increment("requests.abandoned");
  context.explainer.record(exchange.requestId, { step: "abandon" });
}

/** One request of a caller. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  readonly span: TraceSpan;
  readonly receivedAtMs: number;
  /** Tells when the caller leaves. */
  readonly openRequest: OpenRequest;
}
