/**
 * Settings of the daemon and the interfaces that it requires.
 *
 * @module
 */

import type { MemoryBudget } from "@endivebend/byte-buffers";
import type { Clock, Scheduler } from "@endivebend/clock";
import type {
  GossipTransport,
  KeyedRecord,
  LogPosition,
  RecordExchange,
  RecordExchangeOptions,
  RecordSource,
  UdpTransportOptions,
} from "@endivebend/fleet";
import type {
  RolloutLeaseLog,
  RolloutOrderClient,
  RolloutStatusLog,
} from "@endivebend/orders";
import type {
  AdmissionBounds,
  AdmissionController,
  CacheEventClient,
  CallerLimits,
  Configuration,
  ForwardedRuns,
  ListedServer,
  RouteExplanation,
  RouteQuery,
  ServerClient,
  SoftwareVersion,
  WeightsVersion,
} from "@endivebend/request-path";
import type { RateLimitedLog, TextMetrics } from "@endivebend/telemetry";
import type {
  FailureDomainId,
  ModelName,
  ServiceName,
  VmId,
} from "@endivebend/types";
import type { RolloutBounds } from "@endivebend/version-rollouts";

/** Settings that the daemon's decisions depend on. */
export interface FrontSettings {
  readonly vm: VmId;
  readonly ip: string;
  readonly failureDomain: FailureDomainId;
  /**
   * Port for gossip between daemons; the next port serves records to peers, the
   * one after it takes requests that they want forwarded.
   */
  readonly firstPeerPort: number;
  /** IPs of daemons that may already be running. */
  readonly seedIps: readonly string[];
  /** Time between the request to stop and the killing of the process. */
  readonly graceMs: number;
  /** Time for which a former holder of the rollout lease may continue. */
  readonly leaseMs: number;
  /** Time after which no request may start on older weights. */
  readonly weightsBoundMs: number;
  readonly bounds: AdmissionBounds;
  /** Bounds of version rollouts; without them both versions serve. */
  readonly rolloutBounds?: RolloutBounds;
}

/** A decoded operator record. */
export type OperatorRecord =
  | { readonly kind: "configuration"; readonly configuration: Configuration }
  | {
    readonly kind: "weights";
    readonly model: ModelName;
    readonly weights: WeightsVersion;
  }
  /** An order to move a service to a software version. */
  | {
    readonly kind: "rollout";
    readonly service: ServiceName;
    readonly to: SoftwareVersion;
    readonly durationMs: number;
  }
  | { readonly kind: "malformed" }
  /** A valid record that this daemon does not use. */
  | { readonly kind: "other" };

/** The store of records that persist across restarts of the daemons. */
export interface RecordStore {
  /** Whether the store answered the last call. */
  readonly isReachable: boolean;
  /** Number of calls since the start, by purpose. */
  readonly callCounts: Readonly<Record<string, number>>;
  readonly operatorRecords: RecordSource;
  readonly serverRecords: RecordSource;
  /** Prompt segments that crash engines. */
  readonly quarantineRecords: RecordSource;
  readOperatorRecord(record: KeyedRecord): OperatorRecord;
  /** Returns `undefined` when the record does not describe a server. */
  readServer(record: KeyedRecord): ListedServer | undefined;
  /** Stores a record of a quarantine; undefined removes it. */
  putQuarantine(key: string, value: Buffer | undefined): Promise<void>;
  /** Registers this daemon and returns all daemons with their IPs. */
  registerDaemon(vm: VmId, ip: string): Promise<ReadonlyMap<VmId, string>>;
}

/** The log in which daemons record which versions began streams. */
export interface StreamOriginLog {
  /** How often the store is known to have been restored. */
  readonly era: number;
  /** Write calls a second that the store takes from all daemons together. */
  readonly writesPerS: number;
  /** How long the log keeps a record, in milliseconds. */
  readonly keepMs: number;
  /**
   * Reads the records from a position on, or from the first that is kept. The
   * position after them has another era once the store has been restored.
   */
  read(from: LogPosition | undefined): Promise<{
    readonly records: readonly Buffer[];
    readonly next: LogPosition;
    readonly isEnd: boolean;
  }>;
  /** Appends a record and returns its position. */
  append(record: Buffer): Promise<LogPosition>;
  /** Deletes the records before the position. */
  trim(before: LogPosition): Promise<void>;
}

/** The listener that callers connect to. */
export interface CallerListener {
  /** Number of requests without a complete answer. */
  readonly openRequestCount: number;
  applyLimits(limits: CallerLimits): void;
  /** Stops accepting connections and closes idle ones. */
  stopListening(): void;
}

/** What a listener needs from the daemon. */
export interface ListenerContext {
  readonly admission: AdmissionController;
  /** Whether the daemon is draining before its end. */
  isLeaving(): boolean;
  /**
   * Whether a request may be run that has its final answer in `timeLeftMs` at
   * the latest; false for some while the daemon drains.
   */
  mayTake(timeLeftMs: number): boolean;
  /**
   * Resolves when requests may be admitted; undefined when they may at once.
   * After a pause of the process, what permits them is renewed first.
   */
  whenCurrent(): Promise<void> | undefined;
}

/** What the listener for other daemons needs from the daemon. */
export interface ForwardListenerContext {
  readonly ip: string;
  readonly port: number;
  readonly runs: ForwardedRuns;
  /** Whether a daemon of the fleet runs at the IP address. */
  isPeer(ip: string): boolean;
  failed(reason: string): void;
}

/** The listener that takes requests of daemons that don't reach servers. */
export interface ForwardListener {
  close(): void;
}

/** What the status server tells of the daemon. */
export interface StatusSources {
  /** Whether callers may be sent to this daemon. */
  isReady(): boolean;
  /** Where a request would go now and why. */
  explain(query: RouteQuery): RouteExplanation;
}

/**
 * Reports to the load balancer whether the daemon accepts callers, and to
 * operators where requests go.
 */
export interface StatusServer {
  close(): void;
}

/** The interfaces that the daemon requires. */
export interface FrontPorts {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: RateLimitedLog;
  readonly metrics: TextMetrics;
  /** What the daemon may hold of messages, over all requests. */
  readonly memory: MemoryBudget;
  readonly store: RecordStore;
  readonly rolloutLeaseLog: RolloutLeaseLog;
  readonly rolloutStatusLog: RolloutStatusLog;
  readonly streamOriginLog: StreamOriginLog;
  readonly engineOrders: RolloutOrderClient;
  readonly serverClient: ServerClient;
  readonly cacheEventClient: CacheEventClient;
  /** Carries gossip between the daemons. */
  createGossipTransport(options: UdpTransportOptions): GossipTransport;
  createRecordExchange(
    options: RecordExchangeOptions,
  ): Pick<RecordExchange, "pull" | "close">;
  listen(context: ListenerContext): CallerListener;
  listenForPeers(context: ForwardListenerContext): ForwardListener;
  serveStatus(sources: StatusSources): StatusServer;
}
