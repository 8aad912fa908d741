/**
 * Logs, counters and traces.
 *
 * @module
 */

export { createLogger } from "./logger.ts";
export type { LogOptions, StructuredLogger } from "./logger.ts";
export { createMetrics } from "./metrics.ts";
export type { MetricsOptions, MetricsSink } from "./metrics.ts";
export { createTracing } from "./tracing.ts";
export type {
  TraceSpan,
  TraceSpanOptions,
  Tracing,
  TracingOptions,
} from "./tracing.ts";
export { createDecisionLog } from "./decision_log.ts";
export type { DecisionLogOptions, RateLimitedLog } from "./decision_log.ts";
export { TextMetrics } from "./text_metrics.ts";
