/**
 * The interfaces between the daemon's tasks. Each task owns its state and its
 * sockets; other tasks use it only through these interfaces.
 *
 * @module
 */

import type { Clock, Scheduler } from "@endivebend/clock";
import type {
  RouteRule,
  TeamLimits,
  TeamView,
} from "@endivebend/configuration";
import type { ServerView } from "@endivebend/membership";
import type { MetricsSink, StructuredLogger } from "@endivebend/telemetry";
import type {
  BackendServerId,
  FailureDomainId,
  IncarnationId,
  KeyId,
  LogOffset,
  LogRecord,
  LogStream,
  RequestId,
  ServiceName,
  Sha256Digest,
  TeamId,
  VmEntry,
  VmId,
} from "@endivebend/types";

export type { Clock, RouteRule, Scheduler, TeamLimits, TeamView };

/** The identity of this daemon. */
export interface Identity {
  readonly vmId: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
}

/** A record to append; its writer finds it in the log by its `recordId`. */
export interface AppendRecord {
  readonly recordId: string;
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** The result of an append. */
export type AppendResult =
  | { readonly kind: "appended"; readonly offset: LogOffset }
  /** The log does not hold the record, and this call will not add it later. */
  | { readonly kind: "not_appended"; readonly reason: string }
  /**
   * Neither an answer nor a read of the log settled it before the deadline:
   * the record may still appear.
   */
  | { readonly kind: "unknown"; readonly reason: string };

/** One stream of the platform's log, whose records are applied in order. */
export interface FollowedStream {
  readonly stream: LogStream;
  /** Offset of the next record to apply; all records before it are applied. */
  nextOffset(): number;
  /** True once the stream has been read to its end, from the log or a peer. */
  isCaughtUp(): boolean;
  /** Milliseconds since the platform last answered for this stream. */
  silenceMs(): number;
  /**
   * Appends a record. When the answer is lost, reads the log until the deadline
   * to find out whether the record was appended.
   */
  append(
    record: AppendRecord,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<AppendResult>;
  /**
   * Appends several records as one contiguous batch; the offset of the result
   * is that of the first record. Folds ignore a `recordId` they have applied,
   * so a batch whose answer was lost may be appended again.
   */
  appendBatch(
    records: readonly AppendRecord[],
    options: { readonly deadlineElapsedMs: number },
  ): Promise<AppendResult>;
  /**
   * Resolves to true when all records up to and including `offset` are applied,
   * and to false when the deadline passes first.
   */
  whenApplied(
    offset: LogOffset,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<boolean>;
}

/** Applies the records of a stream to a state; called by its follower. */
export interface StreamFold {
  /** Applies one record; called once for each offset, in order. */
  apply(record: LogRecord): void;
  /** Takes a snapshot for a peer, if this fold supports snapshots. */
  snapshot?():
    | { readonly json: string; readonly offset: LogOffset }
    | undefined;
  /** Replaces the state; called only with an offset ahead of the state's. */
  restore?(json: string, offset: LogOffset): void;
  /** False after a gap, until a snapshot that covers the gap is restored. */
  isComplete?(): boolean;
  /** Called when the log starts at `firstOffset`, after the next record needed. */
  onGap?(firstOffset: LogOffset): void;
}

/** A charge of a team's tokens, made before work is queued or dispatched. */
export interface ChargeInput {
  readonly team: TeamId;
  readonly costTokens: number;
  readonly requestId: RequestId;
  /** In milliseconds on the clock of `Clock.elapsedMs`. */
  readonly deadlineElapsedMs: number;
  /** Aborted when the caller disconnects; a charge that still waits then ends. */
  readonly signal?: AbortSignal;
}

/**
 * The result of a charge; `limitTokens`, `remainingTokens` and `resetMs` go
 * into the rate-limit headers.
 */
export interface ChargeResult {
  readonly granted: boolean;
  /** Set when refused. */
  readonly code?: "rate_limited" | "cost_exceeds_burst" | "not_ready";
  readonly retryAfterMs?: number;
  readonly limitTokens: number;
  readonly remainingTokens: number;
  readonly resetMs: number;
}

/** Charges a team's rate and burst, at this VM or at the VM that holds them. */
export interface Charger {
  charge(input: ChargeInput): Promise<ChargeResult>;
}

/** The result of checking a caller's key. */
export type KeyCheck =
  | { readonly kind: "valid"; readonly team: TeamId; readonly keyId: KeyId }
  | {
    readonly kind: "refused";
    readonly code: "unknown_key" | "key_withdrawn";
  };

/** The configuration in force on this VM. */
export interface ConfigurationView {
  appliedOffset(): number;
  isReady(): boolean;
  checkKey(digest: Sha256Digest): KeyCheck;
  team(team: TeamId): TeamView | undefined;
  /** The route without a key, of any template, that covers the path. */
  openRoute(method: string, path: string): RouteRule | undefined;
  isDrainRequested(vmId: VmId): boolean;
  /**
   * Registers a listener that is called after each applied change; returns a
   * function that unsubscribes it.
   */
  onChange(listener: () => void): () => void;
}

/** A call of a service that is not an engine. */
export interface ServiceCall {
  readonly requestId: RequestId;
  /** Undefined on open routes, which need no key. */
  readonly team: TeamId | undefined;
  readonly route: RouteRule;
  readonly method: string;
  /** Path with its query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  readonly deadlineElapsedMs: number;
}

/** The complete answer of a service that is not an engine. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Dispatches one attempt; its errors say whether any byte was sent. */
export interface ServiceDispatcher {
  /**
   * Sends the call once, without retries. Throws `no_backend_server` with
   * `ran: "not_run"` only when no byte was sent to a backend server.
   */
  dispatchOnce(call: ServiceCall): Promise<ServiceAnswer>;
}

/** Runs each non-repeatable call at most once across all daemons. */
export interface AtMostOnceRunner {
  run(call: ServiceCall): Promise<ServiceAnswer>;
}

/** A backend server as this daemon currently knows it. */
export type BackendServerView = ServerView;

/** The VMs and backend servers that this daemon knows. */
export interface MembershipView {
  /** Entry VMs that answer, including this one, sorted by id. */
  entryVms(): readonly VmEntry[];
  entryVm(vmId: VmId): VmEntry | undefined;
  /** Entry VMs that the settings or the VM list name, except this one. */
  knownPeers?(): readonly VmEntry[];
  /** The incarnation that an entry VM last reported. */
  incarnationOf(vmId: VmId): IncarnationId | undefined;
  /**
   * True when the VM was on the platform's list and a later list, taken after
   * `sinceWallMs` plus the list's lag bound, no longer has it.
   */
  hasEnded(vmId: VmId, sinceWallMs: number): boolean;
  backendServers(service: ServiceName): readonly BackendServerView[];
  backendServer(id: BackendServerId): BackendServerView | undefined;
  onChange(listener: () => void): () => void;
}

/** One decision in the explanation of a request. */
export interface ExplainEntry {
  readonly atMs: number;
  /** Such as `charge`, `route`, `queue`, `dispatch`, `resume`, `refuse`. */
  readonly step: string;
  readonly known?: unknown;
  readonly weighed?: unknown;
  readonly chosen?: unknown;
}

/** Records decisions by request id. */
export interface Explainer {
  record(requestId: RequestId, entry: Omit<ExplainEntry, "atMs">): void;
  explain(requestId: RequestId): readonly ExplainEntry[] | undefined;
}

/** Counters and gauges; names are listed in docs/metrics.md. */
export type Metrics = Pick<MetricsSink, "increment" | "gauge" | "timing">;

/** Writes log lines about changes of state. */
export type Logger = StructuredLogger;
