/**
 * Replays traces in virtual time against baselines.
 *
 * @module
 */

export * from "./deployments.ts";
export * from "./generate_trace.ts";
export * from "./metrics.ts";
export * from "./policies.ts";
export * from "./run_trace.ts";
export * from "./trace.ts";
