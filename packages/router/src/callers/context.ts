/**
 * Types that the handlers of callers' requests share.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { TraceSpan, Tracing } from "@endivebend/telemetry";
import type { RequestId } from "@endivebend/types";
import type { RunContext } from "../engines/run_context.ts";
import type {
  AtMostOnceRunner,
  Charger,
  Clock,
  ConfigurationView,
  Explainer,
  MembershipView,
  Metrics,
  Scheduler,
  ServiceDispatcher,
} from "../ports.ts";
import type { OpenRequest } from "../http/connections.ts";
import type { ActiveRequests } from "./active_requests.ts";

/** Limits on callers' requests, from the settings. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly requestTimeoutMs: number;
  readonly queueWaitMs: number;
  readonly defaultMaxTokens: number;
}

/** Dependencies of the handlers of callers' requests. */
export interface CallerContext {
  readonly configuration: ConfigurationView;
  readonly charger: Charger;
  readonly membership: MembershipView;
  readonly runContext: RunContext;
  readonly dispatcher: ServiceDispatcher;
  readonly commitments: AtMostOnceRunner;
  readonly active: ActiveRequests;
  readonly tracing: Tracing;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly explainer: Explainer;
  readonly limits: CallerLimits;
  /** Whether the load balancer should send requests to this VM. */
  readonly isReady: () => boolean;
  /** Whether connections are to be closed after the answer in progress. */
  readonly isDraining: () => boolean;
}

/** Records that a caller disconnected before its answer was complete. */
export function recordAbandoned(
  context: Pick<CallerContext, "metrics" | "explainer">,
  exchange: Pick<Exchange, "requestId">,
): void {
  context.metrics.increment("requests.abandoned");
  context.explainer.record(exchange.requestId, { step: "abandon" });
}

/** One request of a caller, with its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  readonly span: TraceSpan;
  /** Time of arrival on the monotonic clock. */
  readonly receivedAtMs: number;
  /** Reports when the caller disconnects. */
  readonly openRequest: OpenRequest;
}
