/**
 * What the daemon needs of the interfaces around it.
 *
 * @module
 */

import type { Clock, Scheduler } from "@endivebend/clock";
import type { KeyedRecord, RecordSource } from "@endivebend/fleet";
import type { RolloutLeaseLog, RolloutOrderClient } from "@endivebend/orders";
import type {
  AdmissionBounds,
  AdmissionController,
  CacheEventClient,
  CallerLimits,
  Configuration,
  ListedServer,
  ServerClient,
  WeightsVersion,
} from "@endivebend/request-path";
import type { BoundedLog, TextMetrics } from "@endivebend/telemetry";
import type { FailureDomainId, ModelName, VmId } from "@endivebend/types";

/** What the daemon's decisions depend on. */
export interface FrontSettings {
  readonly vm: VmId;
  readonly ip: string;
  readonly failureDomain: FailureDomainId;
  /** Daemons hear each other at this port and hand on records at the next. */
  readonly firstPeerPort: number;
  /** IPs of daemons that may be running already. */
  readonly seedIps: readonly string[];
  /** Time between the request to stop and the kill. */
  readonly graceMs: number;
  /** Time that a former holder of a duty may go on. */
  readonly leaseMs: number;
  /** After this time no request may begin on older weights. */
  readonly weightsBoundMs: number;
  readonly bounds: AdmissionBounds;
}

/** What one of the operator's records says. */
export type OperatorRecord =
  | { readonly kind: "configuration"; readonly configuration: Configuration }
  | {
    readonly kind: "weights";
    readonly model: ModelName;
    readonly weights: WeightsVersion;
  }
  | { readonly kind: "malformed" }
  /** Of no concern to this daemon. */
  | { readonly kind: "other" };

/** The store of records that outlast the daemons. */
export interface RecordStore {
  /** Whether the store served the last call. */
  readonly isReachable: boolean;
  /** Calls since the start, by what they asked for. */
  readonly callCounts: Readonly<Record<string, number>>;
  readonly operatorRecords: RecordSource;
  readonly serverRecords: RecordSource;
  readOperatorRecord(record: KeyedRecord): OperatorRecord;
  /** Undefined when the record names no server. */
  readServer(record: KeyedRecord): ListedServer | undefined;
  /** Makes this daemon known; returns all daemons with their IPs. */
  registerDaemon(vm: VmId, ip: string): Promise<ReadonlyMap<VmId, string>>;
}

/** Where callers connect. */
export interface CallerListener {
  /** Requests that have no final answer yet. */
  readonly openRequestCount: number;
  applyLimits(limits: CallerLimits): void;
  /** Takes no more connections and closes those that are idle. */
  stopListening(): void;
}

/** What a listener needs of the daemon. */
export interface ListenerContext {
  readonly admission: AdmissionController;
  /** Whether the daemon is about to end. */
  isLeaving(): boolean;
}

/** Tells the balancer whether the daemon takes callers. */
export interface StatusServer {
  close(): void;
}

/** The interfaces around the daemon. */
export interface FrontPorts {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: BoundedLog;
  readonly metrics: TextMetrics;
  readonly store: RecordStore;
  readonly rolloutLeaseLog: RolloutLeaseLog;
  readonly engineOrders: RolloutOrderClient;
  readonly serverClient: ServerClient;
  readonly cacheEventClient: CacheEventClient;
  listen(context: ListenerContext): CallerListener;
  serveStatus(isReady: () => boolean): StatusServer;
}
