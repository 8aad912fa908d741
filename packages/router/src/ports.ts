/**
 * The interfaces between the daemon's tasks. Each task owns its state and its
 * sockets; the others reach it only through these.
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

/** Who this daemon is. */
export interface Identity {
  readonly vmId: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
}

/** A record to append; `recordId` lets its writer find it by reading back. */
export interface AppendRecord {
  readonly recordId: string;
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** How an append ended. */
export type AppendResult =
  | { readonly kind: "appended"; readonly offset: LogOffset }
  /** The log certainly holds no such record and never will through this call. */
  | { readonly kind: "not_appended"; readonly reason: string }
  /** No answer and no read-back before the deadline: it may still appear. */
  | { readonly kind: "unknown"; readonly reason: string };

/** One stream of the platform's log, followed from its start to its end. */
export interface FollowedStream {
  readonly stream: LogStream;
  /** Offset of the next record to apply; all before it are applied. */
  nextOffset(): number;
  /** True once the stream was read to its end, or taken from a peer, once. */
  isCaughtUp(): boolean;
  /** Milliseconds since the platform last answered for this stream. */
  silenceMs(): number;
  /** Appends, and settles a lost answer by reading back until the deadline. */
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
  /** Resolves when all records up to and including `offset` are applied. */
  whenApplied(
    offset: LogOffset,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<boolean>;
}

/** What a stream's fold gives to the follower. */
export interface StreamFold {
  /** Applies one record; called in offset order, each offset once. */
  apply(record: LogRecord): void;
  /** A snapshot for a peer, when this fold supports one. */
  snapshot?():
    | { readonly json: string; readonly offset: LogOffset }
    | undefined;
  /** Replaces the state; called only with an offset ahead of the state's. */
  restore?(json: string, offset: LogOffset): void;
  /** False after a gap, until a snapshot that covers it was taken. */
  isComplete?(): boolean;
  /** Called when the log no longer holds records between the state and its start. */
  onGap?(firstOffset: LogOffset): void;
}

/** A right to spend tokens, asked for before work is queued or dispatched. */
export interface ChargeInput {
  readonly team: TeamId;
  readonly costTokens: number;
  readonly requestId: RequestId;
  /** On the clock of `Clock.elapsedMs`. */
  readonly deadlineElapsedMs: number;
  /** Aborted when the caller has left: a charge that still waits ends then. */
  readonly signal?: AbortSignal;
}

/** The answer to a charge; the three numbers go into rate-limit headers. */
export interface ChargeResult {
  readonly granted: boolean;
  /** Set when refused. */
  readonly code?: "rate_limited" | "cost_exceeds_burst" | "not_ready";
  readonly retryAfterMs?: number;
  readonly limitTokens: number;
  readonly remainingTokens: number;
  readonly resetMs: number;
}

/** Charges a team's rate and burst, at this VM or at the holder's. */
export interface Charger {
  charge(input: ChargeInput): Promise<ChargeResult>;
}

/** The result of checking a key. */
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
  /** The open route that covers the path, over all templates. */
  openRoute(method: string, path: string): RouteRule | undefined;
  isDrainRequested(vmId: VmId): boolean;
  /** Called after each applied change; returns a function that unsubscribes. */
  onChange(listener: () => void): () => void;
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly requestId: RequestId;
  /** Undefined on open routes. */
  readonly team: TeamId | undefined;
  readonly route: RouteRule;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  readonly deadlineElapsedMs: number;
}

/** The whole answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Dispatches one attempt; throws typed errors that say whether bytes went out. */
export interface ServiceDispatcher {
  /**
   * Sends the call once, without retries. Throws `no_backend_server` with
   * `ran: "not_run"` only when no byte went to a backend server.
   */
  dispatchOnce(call: ServiceCall): Promise<ServiceAnswer>;
}

/** Runs non-repeatable calls at most once over the fleet. */
export interface AtMostOnceRunner {
  run(call: ServiceCall): Promise<ServiceAnswer>;
}

/** A backend server as this daemon sees it now. */
export type BackendServerView = ServerView;

/** The view of VMs and backend servers. */
export interface MembershipView {
  /** Entry VMs that answer, this one included, sorted by id. */
  entryVms(): readonly VmEntry[];
  entryVm(vmId: VmId): VmEntry | undefined;
  /** Entry VMs that the settings or the list name, this one left out. */
  knownPeers?(): readonly VmEntry[];
  /** Incarnation that an entry VM last told us. */
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

/** One entry of the explanation of a request. */
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

/** Log lines for changes of state. */
export type Logger = StructuredLogger;
