/**
 * State of a running request that its parts share: the open attempts, what was
 * excluded, and how many attempts may have run.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import type { BackendServerId, VmId } from "@endivebend/types";
import { type AnswerOrigin, versionToGoOn } from "./answer_origin.ts";
import { AnswerRelay } from "./answer_relay.ts";
import type { Attempt } from "./attempt.ts";
import type { RequestSuspects } from "./crash_guard.ts";
import type { CallerSink } from "./ports.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestWeights } from "./request_weights.ts";
import {
  isRepeatable,
  type RoutedRequest,
  type SoftwareVersion,
} from "./types.ts";

/** State of a running request. */
export class RunState {
  readonly context: RequestContext;
  readonly request: RoutedRequest;
  readonly relay: AnswerRelay;
  readonly suspects: RequestSuspects;
  readonly weights: RequestWeights;
  readonly startedAtMs: number;
  readonly excluded = new Set<BackendServerId>();
  readonly excludedForwarders = new Set<VmId>();
  attempt: Attempt | undefined;
  /** The version that began the stream that the request takes up. */
  takenUpVersion: SoftwareVersion | undefined;
  /** A second attempt, sent while the first is silent but may still go on. */
  replacement: Attempt | undefined;
  /** Whether the request is a trial after the end of a quarantine. */
  isTrial = false;
  hasEnded = false;
  /** The server whose event the caller got first. */
  origin: AnswerOrigin | undefined;
  /** Time from the start to the first bytes of an answer. */
  firstByteMs: number | undefined;
  /** Longest time between two chunks; a stream with a long one is late. */
  longestPauseMs = 0;
  /** Number of attempts that may have run the request. */
  possiblyRunAttempts = 0;
  notRunAttempts = 0;

  constructor(
    context: RequestContext,
    request: RoutedRequest,
    caller: CallerSink,
  ) {
    this.context = context;
    this.request = request;
    this.startedAtMs = this.nowMs();
    this.relay = new AnswerRelay(request, caller, context.memory);
    this.suspects = context.crashGuard.suspectsOf(request);
    this.weights = new RequestWeights(context, request);
  }

  nowMs(): number {
    return steadyMs(this.context.clock);
  }

  finalDeadlineMs(): number {
    return Math.min(this.request.deadlineMs, this.request.timeoutAtMs);
  }

  /**
   * The software version that began the stream; undefined when unknown, or when
   * none has begun.
   */
  versionToGoOn(): SoftwareVersion | undefined {
    return this.origin === undefined
      ? this.takenUpVersion
      : versionToGoOn(this.origin, this.context.registry);
  }

  isOpen(attempt: Attempt): boolean {
    return attempt === this.attempt || attempt === this.replacement;
  }

  /** The replacement comes first, so that it does not take over. */
  openAttempts(): Attempt[] {
    return [this.replacement, this.attempt]
      .filter((attempt) => attempt !== undefined);
  }

  hasAttemptsLeft(): boolean {
    const openAttempts = this.replacement === undefined ? 1 : 2;
    return this.possiblyRunAttempts + openAttempts <
      this.request.route.maxAttempts;
  }

  /** The open attempts that would begin too late. */
  lateAttempts(): Attempt[] {
    const nowMs = this.nowMs();
    return this.openAttempts().filter((attempt) =>
      this.weights.isTooLate(attempt, nowMs)
    );
  }

  /** Whether the request may be run once more, given what it is and its answer. */
  mayRepeat(): boolean {
    return isRepeatable(this.request.route.kind) && this.relay.canResume &&
      !this.isTrial && this.context.crashGuard.mayRetry(this.suspects);
  }

  mayBeTakenUp(): boolean {
    return this.request.route.kind === "resumable_stream" &&
      this.relay.isEventStream;
  }

  /** Another VM may reach a server that the failed one did not. */
  exclude({ server, forwarder }: Attempt): void {
    const isForwarders = forwarder !== undefined &&
      this.excludedForwarders.has(forwarder.vm);
    if (!isForwarders) this.excluded.add(server.listed.id);
  }

  logDecision(step: string, fields: Readonly<Record<string, unknown>>): void {
    this.context.log.decision(step, {
      requestId: this.request.requestId,
      ...fields,
    });
  }
}
