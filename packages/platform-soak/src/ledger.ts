/**
 * What callers and servers saw, in the order in which they saw it.
 *
 * @module
 */

import { BOUNDS } from "./daemon_process.ts";

/** What the kind of a request's route allows. */
export type RequestKind = "safe" | "unsafe" | "stream";

/** How an answer ended for its caller. */
export type AnswerEnd = "complete" | "broken" | "none" | "abandoned";

/** An answer as a caller got it. */
export interface CallerAnswer {
  /** Undefined when no head arrived. */
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly end: AnswerEnd;
  readonly atMs: number;
}

/** A request that a caller sent. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly service: string;
  /** Index of the daemon that it was sent to. */
  readonly daemon: number;
  readonly sentAtMs: number;
  /** Whether its caller tries it for the first time. */
  readonly isFirstTry: boolean;
  /** Names the stream over its take-ups. */
  readonly stream: string | undefined;
  /** Number of the stream's last event. */
  readonly lastEvent: number;
  /** Last event that the caller has, when it takes a stream up. */
  readonly resumeAfter: number;
  /** The request that brought the stream's first event, when taken up. */
  readonly resumes: string | undefined;
  /** Software versions of which two servers or more served when it was sent. */
  readonly servedVersions: readonly string[];
  answer: CallerAnswer | undefined;
}

/** A request that reached a server. */
export interface Arrival {
  readonly id: string;
  readonly server: string;
  readonly service: string;
  readonly atMs: number;
  /** Index of the daemon that has sent it to the server. */
  readonly via: number;
  /** Whether the server had said that it leaves, and since when. */
  readonly leavingSinceMs: number | undefined;
  /** How its answer was sent a second time, if it was. */
  readonly copy: string | undefined;
  /** The run, when the server began to work on it. */
  readonly run: Run | undefined;
}

/** A server's work on a request, and the answer that belongs to it. */
export interface Run {
  readonly server: string;
  readonly version: string;
  readonly proof: string;
  readonly status: number;
  /** The whole body of a plain answer; empty for streams. */
  readonly body: string;
}

/** A signal to a daemon, or a fault, with what it struck. */
export interface Disturbance {
  readonly atMs: number;
  readonly untilMs: number;
  /** Index of a daemon, or -1 for all. */
  readonly daemon: number;
  readonly name: string;
}

/** Links that were cut for a while. */
export interface LinkCutEntry {
  readonly atMs: number;
  readonly untilMs: number;
  /** Indexes of the daemons. */
  readonly daemons: ReadonlySet<number>;
  /** What was cut, and how. */
  readonly name: string;
  /** Whether some daemons were cut off from all servers, without a break. */
  readonly isWhole: boolean;
}

/** An order to move a service to another software version. */
export interface RolloutEntry {
  readonly service: string;
  readonly to: string;
  readonly orderedAtMs: number;
  readonly durationMs: number;
  /** Whether the new servers answer badly. */
  readonly isBad: boolean;
  /** Ids of the new servers. */
  readonly newServers: ReadonlySet<string>;
  /** The statuses, when each was first seen. */
  readonly phases: { readonly phase: string; readonly atMs: number }[];
}

/** All that a play saw. */
export class Ledger {
  readonly requests = new Map<string, SentRequest>();
  readonly arrivals: Arrival[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly linkCuts: LinkCutEntry[] = [];
  readonly rollouts: RolloutEntry[] = [];
  /** Attempts through other daemons, as each daemon counts them. */
  readonly forwardedAttempts = new Map<number, number>();
  /** Bytes that came on callers' connections without a request. */
  readonly strayBytes: { readonly atMs: number; readonly text: string }[] = [];
  /** Daemons that ended by themselves. */
  readonly ownEnds: { readonly atMs: number; readonly what: string }[] = [];
  /** Daemons that have taken more memory than their settings name. */
  readonly overMemory: { readonly atMs: number; readonly what: string }[] = [];
  #startedAtMs = performance.now();

  /** The play begins now. */
  restartClock(): void {
    this.#startedAtMs = performance.now();
  }

  /** Milliseconds since the start of the play. */
  nowMs(): number {
    return Math.round((performance.now() - this.#startedAtMs) * 10) / 10;
  }
}

/**
 * Whether nothing has struck a daemon within the contact time before, and
 * until another moment, if that is given.
 */
export function isInTouch(
  { disturbances }: Ledger,
  daemon: number,
  { fromMs, untilMs = fromMs }: {
    readonly fromMs: number;
    readonly untilMs?: number;
  },
): boolean {
  return !disturbances.some((one) =>
    (one.daemon === daemon || one.daemon === -1) && one.atMs <= untilMs &&
    one.untilMs + BOUNDS.contact_ms > fromMs
  );
}
