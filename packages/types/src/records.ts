/**
 * Records and constants that several packages use.
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

/** Number of groups that teams are hashed into; each group has one holder. */
export const TEAM_GROUP_COUNT = 1024;

/** Number of prompt tokens in one block of an engine's prefix cache. */
export const TOKENS_PER_BLOCK = 2000;

/** Number of bytes of UTF-8 text that count as one token. */
export const BYTES_PER_TOKEN = 4;

/** Role of a VM in the platform's VM list. */
export type VmRole = "entry" | "engine" | "service" | "cache_store";

/** Whether a listed VM takes new work. */
export type VmState = "live" | "leaving";

/** One entry of the platform's VM list. */
export interface VmEntry {
  readonly vmId: VmId;
  readonly role: VmRole;
  readonly state: VmState;
  /** IP address and port, such as `127.0.0.1:8080`. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  /** The service that a backend server offers; absent on entry VMs. */
  readonly service?: ServiceName;
}

/** The platform's VM list as of `asOfMs`, which may be seconds ago. */
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

/** Streams of the platform's log that the daemons read and write. */
export type LogStream = "configuration" | "rights" | "commitments" | "orders";

/** Load that an engine reported for the time `asOfMs`; it may have changed. */
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
