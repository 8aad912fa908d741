/**
 * What the request path needs of the interfaces around it.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  ServiceName,
} from "@endivebend/types";
import type { CachePlan } from "./placement.ts";
import type { RoutedRequest } from "./types.ts";

/** One attempt to run a call at one backend server. */
export interface AttemptOrder {
  readonly request: RoutedRequest;
  readonly server: {
    readonly id: BackendServerId;
    readonly address: string;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomainId;
  };
  /** On the steady clock: when the server must stop working. */
  readonly deadlineMs: number;
  /** The last event that the caller has received. */
  readonly resumeAfter: string | undefined;
  readonly cache: CachePlan;
  /** Requests share prompt parts only within one scope. */
  readonly cacheScope: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency: number;
}

/** How much work a server said it has. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the head of an answer says. */
export interface AnswerHead {
  readonly status: number;
  /** Whether the server states that it has not run the call. */
  readonly isNotRun: boolean;
  /** Whether another server, or other weights, answered. */
  readonly isMisdirected: boolean;
  /** Whether the expected server itself answered; undefined when unknown. */
  readonly isExpectedServer: boolean | undefined;
  /** Whether the answer carries the proof that a success needs. */
  readonly hasProof: boolean;
  readonly load: ServerLoad | undefined;
  /** What the caller's interface needs to pass the answer on; opaque here. */
  readonly message: unknown;
}

/** Why an attempt has no whole answer. */
export type AttemptFailure =
  /** No byte of the request left; the call has not run there. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The call may have run. */
  | { readonly kind: "broken"; readonly reason: string };

/** Hears about an attempt. */
export interface AttemptListener {
  /** The request is on its way to the server. */
  sent(): void;
  head(head: AnswerHead): void;
  data(chunk: Buffer): void;
  /** The answer is whole. */
  end(): void;
  failed(failure: AttemptFailure): void;
}

/** A running attempt. */
export interface AttemptHandle {
  /** Closes the connection; the listener hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends attempts to backend servers. */
export interface ServerClient {
  start(order: AttemptOrder, listener: AttemptListener): AttemptHandle;
  /** Drops idle connections to a server that has fallen silent. */
  closeIdleConnections(address: string): void;
}

/** Why the path itself answers a call. */
export type RefusalReason =
  | "no_server"
  | "overloaded"
  | "deadline_passed"
  | "stale_weights"
  | "server_failed"
  | "server_silent";

/** An answer of the path itself. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** True only when the call has not run and never will. */
  readonly isNotRun: boolean;
  readonly retryAfterMs: number | undefined;
}

/** The caller's end of a call. */
export interface CallerSink {
  head(head: AnswerHead): void;
  /** False when the caller reads too slowly; `callerReady` follows. */
  data(chunk: Buffer): boolean;
  end(): void;
  refuse(refusal: Refusal): void;
  /** Breaks the connection, so that the answer cannot look complete. */
  abortAnswer(): void;
}

/** Records decisions; the implementation bounds the volume. */
export interface DecisionLog {
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Counts and durations of the path. */
export interface PathMetrics {
  count(name: string, labels?: Readonly<Record<string, string>>): void;
  observeMs(name: string, valueMs: number): void;
}
