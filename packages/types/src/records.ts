/**
 * Records that several packages exchange.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  LogOffset,
  ServiceName,
  VmId,
  WeightsVersion,
} from "./ids.ts";

/** How many groups the teams are hashed into; a holder is decided per group. */
export const TEAM_GROUP_COUNT = 1024;

/** Prompt tokens in one cache block. */
export const TOKENS_PER_BLOCK = 2000;

/** Bytes of UTF-8 text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** What a VM in the platform's list does. */
export type VmRole = "entry" | "engine" | "service" | "cache_store";

/** Whether a listed VM takes new work. */
export type VmState = "live" | "leaving";

/** One entry of the platform's VM list. */
export interface VmEntry {
  readonly vmId: VmId;
  readonly role: VmRole;
  readonly state: VmState;
  /** IP number and port, such as `127.0.0.1:8080`. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  /** The service that a backend server offers; absent on entry VMs. */
  readonly service?: ServiceName;
}

/** The platform's VM list as of a moment that may lie seconds back. */
export interface VmList {
  readonly asOfMs: number;
  readonly vms: readonly VmEntry[];
}

/** One record of a log stream. */
export interface LogRecord<Value = unknown> {
  readonly offset: LogOffset;
  readonly appendedAtMs: number;
  readonly value: Value;
}

/** The streams of the platform's log that the system uses. */
export type LogStream = "configuration" | "rights" | "commitments" | "orders";

/** The load that an engine reports; it lags behind the engine's state. */
export interface EngineLoad {
  readonly backendServerId: BackendServerId;
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion;
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedTokens: number;
  readonly freeBlocks: number;
  readonly asOfMs: number;
}

/** Whether a refused request ran at a backend server. */
export type ExecutionStatus = "not_run" | "unknown" | "ran";
