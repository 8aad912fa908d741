/**
 * The interfaces between the request path and its callers, backend servers,
 * logs and metrics.
 *
 * @module
 */

import type {
  Forwarder,
  LinkState,
  ListenState,
  ReachableServer,
} from "@endivebend/forwarding";
import type {
  BackendServerId,
  FailureDomainId,
  RequestId,
  ServiceName,
} from "@endivebend/types";
import type { CachePlan } from "./placement.ts";
import type {
  ModelWork,
  RequestDigest,
  RoutedRequest,
  SoftwareVersion,
  WeightsVersion,
} from "./types.ts";

export type { Forwarder, LinkState, ListenState } from "@endivebend/forwarding";

/** One attempt to run a request at one backend server. */
export interface AttemptOrder {
  readonly request: RoutedRequest;
  readonly server: {
    readonly id: BackendServerId;
    readonly address: string;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomainId;
  };
  /** When the server must stop working, on the steady clock. */
  readonly deadlineMs: number;
  /**
   * The request is not sent from this time on, on the steady clock, as it would
   * begin on weights that were replaced too long ago.
   */
  readonly beginByMs?: number | undefined;
  /** The id of the last event that the caller has received. */
  readonly resumeAfter: string | undefined;
  readonly cache: CachePlan;
  /** Requests share cached segments only within one scope. */
  readonly cacheScope: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency: number;
  /** The VM to send through; undefined to connect to the server itself. */
  readonly forwarder: Forwarder | undefined;
  /**
   * When the server's process has started by its entry, if the request goes on
   * with a stream; a forwarder sends it to no other process.
   */
  readonly expectedStartMs: number | undefined;
}

/** A request of another VM that is forwarded to a server. */
export interface ForwardOrder {
  readonly requestId: RequestId;
  readonly digest: RequestDigest;
  readonly server: {
    readonly id: BackendServerId;
    readonly address: string;
  };
  readonly work: ModelWork | undefined;
  /** When the server must stop working, on the steady clock. */
  readonly deadlineMs: number;
  /** When the server must have begun; see {@link AttemptOrder.beginByMs}. */
  readonly beginByMs?: number | undefined;
  /** The start of the only process that may get it; undefined for any. */
  readonly expectedStartMs: number | undefined;
  /** The request as the other VM has sent it; opaque here. */
  readonly message: unknown;
}

/** The load that a server has reported. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes there at this moment, in percent of the usual time;
   * undefined where servers don't state it.
   */
  readonly slowdownPercent?: number;
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Whether the server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether another server answered, or one with other weights. */
  readonly isMisdirected: boolean;
  /** Whether the expected server itself answered; undefined when unknown. */
  readonly isExpectedServer: boolean | undefined;
  /** Whether the answer has the proof header that a success requires. */
  readonly hasProof: boolean;
  readonly load: ServerLoad | undefined;
  /** The server's version of the request's model; undefined when not stated. */
  readonly weights: WeightsVersion | undefined;
  /**
   * Requests a second that the server takes from all daemons together;
   * undefined while it names no limit.
   */
  readonly limitPerS: number | undefined;
  /**
   * Requests a second that a brittle server can turn away before it falls over;
   * undefined while it is not brittle.
   */
  readonly bearsPerS: number | undefined;
  /**
   * For how long the server wants nothing more from this daemon, which it says
   * when it turns a request away; undefined when it does not.
   */
  readonly quietMs: number | undefined;
  /** Whether the server says that it is leaving. */
  readonly isLeaving: boolean;
  /** Data with which the caller's interface relays the answer; opaque here. */
  readonly message: unknown;
}

/** Why an attempt has no complete answer. */
export type AttemptFailure =
  /** No byte of the request was sent, so it has not run there. */
  | (FailureCause & { readonly kind: "unsent" })
  /** The request may have run. */
  | (FailureCause & { readonly kind: "broken" });

interface FailureCause {
  readonly reason: string;
  /** Set when the VM that forwards has failed, or is not known to be sound. */
  readonly at?: "forwarder";
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  /** The server has accepted a new connection for the request. */
  connected(): void;
  /** The request is being sent to the server. */
  sent(): void;
  head(head: AnswerHead): void;
  data(chunk: Buffer): void;
  /** The answer is complete. */
  end(): void;
  failed(failure: AttemptFailure): void;
}

/** A running attempt. */
export interface AttemptHandle {
  /** Closes the connection; the listener gets no further events. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends attempts to backend servers. */
export interface ServerClient {
  start(order: AttemptOrder, listener: AttemptListener): AttemptHandle;
  /** Sends a request of another VM on as it came. */
  forward(order: ForwardOrder, listener: AttemptListener): AttemptHandle;
  /**
   * Opens a connection to the server and closes it: `closed` when nothing
   * listens there, `unknown` when there was no answer in time. Never rejects.
   */
  checkListening(address: string): Promise<ListenState>;
  /**
   * Asks the server for any answer on a new connection, which takes no slot of
   * it. Never rejects.
   */
  checkAnswering(
    server: Pick<ReachableServer, "id" | "address">,
  ): Promise<LinkState>;
  /** Closes idle connections to a server that may have become silent. */
  closeIdleConnections(address: string): void;
}

/** What began a stream that a caller takes up again. */
export type StreamOrigin =
  | { readonly kind: "version"; readonly version: SoftwareVersion }
  /** Several versions may have begun it, so no server may go on. */
  | { readonly kind: "unknown" };

/** Which software versions began the streams that callers may take up. */
export interface StreamOrigins {
  /** Records which server the first event that the caller got came from. */
  began(
    request: RoutedRequest,
    at: {
      readonly server: BackendServerId;
      /** Undefined when unknown. */
      readonly version: SoftwareVersion | undefined;
    },
  ): void;
  /** Records that the caller got the whole stream. */
  completed(request: RoutedRequest): void;
  /** What began the stream that the request takes up. Never rejects. */
  find(request: RoutedRequest): StreamOrigin | Promise<StreamOrigin>;
}

/** Why the request path refuses a request. */
export type RefusalReason =
  | "no_server"
  | "overloaded"
  /** Every server takes a limited number of requests, and no more now. */
  | "limited"
  | "deadline_passed"
  /** The daemon ends as planned. */
  | "stopping"
  | "stale_weights"
  /** It takes a stream up, and the version that began it is not known. */
  | "unknown_origin"
  /** The request, or a segment of its prompt, crashes engines. */
  | "quarantined"
  | "server_failed"
  | "server_silent"
  /** Handling one of its events raised an error, which is logged. */
  | "internal_error";

/** The refusal that a caller gets instead of a server's answer. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** True only when the request has not run and never will. */
  readonly isNotRun: boolean;
  readonly retryAfterMs: number | undefined;
}

/** The caller's side of a request. */
export interface CallerSink {
  head(head: AnswerHead): void;
  /** False when the caller reads too slowly; `callerReady` follows. */
  data(chunk: Buffer): boolean;
  end(): void;
  refuse(refusal: Refusal): void;
  /** Resets the connection, so that the answer cannot look complete. */
  abortAnswer(): void;
}

/** Logs decisions; the implementation limits the volume. */
export interface DecisionLog {
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Counters and durations of the request path. */
export interface PathMetrics {
  count(name: string, labels?: Readonly<Record<string, string>>): void;
  observeMs(name: string, valueMs: number): void;
}
