/**
 * Runs one request: places it, sends attempts, relays the answer, retries or
 * resumes where that is allowed, and otherwise refuses. A refusal says "not
 * run" only when no attempt can have run the request.
 *
 * @module
 */

import type { AnswerRelay } from "./answer_relay.ts";
import type { Attempt } from "./attempt.ts";
import { AttemptEvidence, type FaultSource } from "./attempt_evidence.ts";
import { AttemptPlaces, type Placed } from "./attempt_places.ts";
import { type AttemptHandlers, AttemptSender } from "./attempt_sender.ts";
import { BEGINS_TOO_LATE } from "./begin_bound.ts";
import type { RequestSuspects } from "./crash_guard.ts";
import type {
  AnswerHead,
  AttemptFailure,
  CallerSink,
  RefusalReason,
} from "./ports.ts";
import { recordAnswerHead } from "./record_answer.ts";
import { RepeatSettlement } from "./repeat_settlement.ts";
import type { RequestContext } from "./request_context.ts";
import { RunState } from "./run_state.ts";
import {
  REPLACE_INTERVAL_MS,
  type RetryCauses,
  StreamContinuation,
} from "./stream_continuation.ts";
import { isTakeUp, type RoutedRequest } from "./types.ts";

/** Most attempts that reach no server or that a server refuses to run. */
const MAX_NOT_RUN_ATTEMPTS = 3;
/**
 * Statuses that promise callers that the request has not run and will not.
 * Only what an engine states expressly supports the promise.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Interval at which a running attempt is checked for silence. */
const CHECK_INTERVAL_MS = 100;
/** Time for the server's own answer at its deadline to arrive. */
const DEADLINE_GRACE_MS = 60;
/** An attempt with less time left is of no use. */
const MIN_ATTEMPT_TIME_MS = 50;
/** Retry delay in a refusal while no server is known or free. */
const DEFAULT_RETRY_MS = 600;
/** Retries are spread by up to this share of the delay to avoid a herd. */
const RETRY_JITTER = 0.5;

/** A running request. */
export class RequestRun {
  readonly #state: RunState;
  readonly #repeats: RepeatSettlement;
  readonly #places: AttemptPlaces;
  readonly #evidence: AttemptEvidence;
  readonly #sender: AttemptSender;
  readonly #continuation: StreamContinuation;
  readonly #context: RequestContext;
  readonly #request: RoutedRequest;
  readonly #caller: CallerSink;
  readonly #relay: AnswerRelay;
  readonly #suspects: RequestSuspects;
  #cancelTimer = () => {};
  #isCallerBlocked = false;

  constructor(
    context: RequestContext,
    request: RoutedRequest,
    caller: CallerSink,
  ) {
    const state = new RunState(context, request, caller);
    this.#state = state;
    this.#context = context;
    this.#request = request;
    this.#caller = caller;
    this.#relay = state.relay;
    this.#suspects = state.suspects;
    const repeats = new RepeatSettlement(state);
    const places = new AttemptPlaces(state);
    this.#repeats = repeats;
    this.#places = places;
    this.#evidence = new AttemptEvidence(state);
    this.#sender = new AttemptSender(state, repeats, {
      handlers: this.#attemptHandlers(),
    });
    this.#continuation = new StreamContinuation(state, {
      places,
      repeats,
      actions: {
        contain: (handle) => this.#contain(handle),
        startAttempt: () => this.#startAttempt(),
        giveUp: (reason) => this.#giveUp(reason),
      },
    });
  }

  #attemptHandlers(): AttemptHandlers {
    return {
      onHead: (attempt, head) =>
        this.#contain(() => this.#onHead(attempt, head)),
      onData: (attempt, chunk) =>
        this.#contain(() => this.#onData(attempt, chunk)),
      onEnd: (attempt) => this.#contain(() => this.#onEnd(attempt)),
      onFailed: (attempt, failure) =>
        this.#contain(() => this.#onFailed(attempt, failure)),
    };
  }

  start(): void {
    this.#contain(() => {
      if (isTakeUp(this.#request)) this.#continuation.startTakeUp();
      else this.#startAttempt();
      this.#checkProgress();
    });
  }

  /** The caller reads again. */
  callerReady(): void {
    this.#isCallerBlocked = false;
    const attempt = this.#state.attempt;
    if (attempt === undefined) return;
    attempt.lastProgressMs = this.#state.nowMs();
    this.#contain(() => attempt.handle?.resume());
  }

  /** The caller has closed its connection. */
  callerGone(): void {
    if (this.#state.hasEnded) return;
    this.#contain(() => {
      this.#state.logDecision("caller_gone", {});
      for (const attempt of this.#state.openAttempts()) this.#abort(attempt);
      this.#end("gone");
    });
  }

  /** Ends the request with its last answer, as the daemon ends. */
  stop(): void {
    if (this.#state.hasEnded) return;
    this.#contain(() => {
      this.#abortAttempts();
      this.#giveUp("stopping");
    });
  }

  /**
   * Ends this request, and no other, when handling one of its events throws.
   * What servers and callers send reaches functions that throw, and nothing
   * surrounds the handlers of sockets and timers.
   */
  #contain(handle: () => void): void {
    try {
      handle();
    } catch (caught) {
      this.#state.logDecision("request_failed", { reason: String(caught) });
      this.#context.metrics.count("contained_errors", { at: "request" });
      this.#endAfterError();
    }
  }

  #endAfterError(): void {
    if (this.#state.hasEnded) return;
    // Where the error came from is unknown, so the request may have run.
    this.#state.possiblyRunAttempts += 1;
    try {
      this.#abortAttempts();
      this.#giveUp("internal_error");
    } catch (caught) {
      this.#state.logDecision("request_failed", { reason: String(caught) });
      this.#caller.abortAnswer();
      this.#end("broken_off");
    }
  }

  #startAttempt(): void {
    const nowMs = this.#state.nowMs();
    if (this.#state.finalDeadlineMs() - nowMs < MIN_ATTEMPT_TIME_MS) {
      return this.#giveUp("deadline_passed");
    }
    if (!this.#mayReachEngine(nowMs)) return;
    let placement = this.#places.place(this.#state.excluded, nowMs);
    if (placement.kind === "refused" && placement.reason === "stale_weights") {
      placement = this.#places.placeProbe(nowMs) ?? placement;
    }
    if (placement.kind === "refused") {
      return this.#giveUp(placement.reason, placement.retryInMs);
    }
    if (this.#places.hasNoForwarderLeft(placement.server)) {
      return this.#giveUp("overloaded");
    }
    const attempt = this.#sender.open(placement, nowMs);
    this.#state.attempt = attempt;
    this.#sender.send(attempt, placement);
  }

  /** Gives up when the request, or a segment of its prompt, crashes engines. */
  #mayReachEngine(nowMs: number): boolean {
    if (this.#state.isTrial) return true;
    const admission = this.#context.crashGuard.admit(this.#suspects);
    this.#state.isTrial = admission.kind === "trial";
    if (admission.kind !== "blocked") return true;
    this.#giveUp("quarantined", admission.untilMs - nowMs);
    return false;
  }

  #onHead(attempt: Attempt, head: AnswerHead): void {
    if (!this.#state.isOpen(attempt)) return;
    this.#repeats.settle(attempt);
    this.#repeats.settleRepeats();
    const nowMs = this.#state.nowMs();
    recordAnswerHead(this.#context, attempt.server, { head, nowMs });
    attempt.headAtMs = nowMs;
    attempt.lastProgressMs = nowMs;
    if (attempt.connectedAtMs !== undefined) {
      const { paths } = this.#context;
      paths.recordAnswer(attempt.server.listed, attempt.connectedAtMs);
    }
    if (attempt.isProbe) {
      const outcome = head.isMisdirected || head.isNotRun ? "refused" : "run";
      this.#context.metrics.count("weights_probes", { outcome });
    }
    if (head.isMisdirected) {
      const found = this.#evidence.recordMisdirected(attempt, head);
      return this.#handleNotRun(attempt, found);
    }
    this.#evidence.recordNewerWeights(attempt, head);
    if (head.isNotRun) {
      this.#state.context.slots?.noteRejected(attempt.server.listed.id, nowMs);
      return this.#handleNotRun(attempt, `not_run_${head.status}`);
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (!isSuccess) attempt.pace?.spoil();
    const isFailure = head.status >= 500 || (isSuccess && !head.hasProof);
    if (isFailure) this.#state.context.versions?.failed(attempt);
    if (isSuccess && !head.hasProof) {
      return this.#handleBroken(attempt, "no_proof", "answer");
    }
    if (!isSuccess && this.#isWithheld(attempt, head)) {
      return this.#handleBroken(attempt, `status_${head.status}`, "answer");
    }
    if (head.status >= 500 && this.#takeReplacement(attempt) !== undefined) {
      this.#endBroken(attempt, `status_${head.status}`, "answer");
      return this.#startAttempt();
    }
    // A replacement takes over with the first bytes of its answer.
    attempt.pendingHead = head;
    if (attempt === this.#state.attempt) this.#relayHead(attempt);
  }

  #relayHead(attempt: Attempt): void {
    const { pendingHead } = attempt;
    if (pendingHead === undefined) return;
    attempt.pendingHead = undefined;
    this.#relay.head(pendingHead);
  }

  /** Whether an error answer is kept from the caller. */
  #isWithheld(attempt: Attempt, { status }: AnswerHead): boolean {
    const hasOther = this.#state.replacement !== undefined &&
      (status >= 500 || attempt === this.#state.replacement);
    return this.#relay.hasBegun || hasOther || NOT_RUN_STATUSES.has(status);
  }

  /**
   * A place for another attempt while one is open, with a retry taken from the
   * budget; undefined when anything does not allow it. The open attempt must not
   * be ended before.
   */
  #takeReplacement(attempt: Attempt): Placed | undefined {
    const { server } = attempt;
    const nowMs = this.#state.nowMs();
    const { crashGuard } = this.#context;
    const isAllowed = this.#state.hasAttemptsLeft() &&
      this.#state.mayRepeat() &&
      crashGuard.findBlocked(this.#suspects) === undefined &&
      this.#state.finalDeadlineMs() - nowMs >= MIN_ATTEMPT_TIME_MS;
    if (!isAllowed) return undefined;
    const exclude = new Set([...this.#state.excluded, server.listed.id]);
    const placement = this.#places.place(exclude, nowMs);
    if (placement.kind === "refused") return undefined;
    const needsCheck = this.#relay.hasBegun &&
      !this.#continuation.isCurrent(placement.server);
    if (needsCheck) {
      this.#continuation.checkProcesses(placement.server, () => {
        if (attempt !== this.#state.attempt) return;
        attempt.replaceFromMs = this.#state.nowMs();
        this.#replaceSilent(attempt, attempt.silence);
      });
      return undefined;
    }
    return this.#repeats.tryRetry("silent") ? placement : undefined;
  }

  #onData(attempt: Attempt, chunk: Buffer): void {
    if (!this.#state.isOpen(attempt)) return;
    if (attempt === this.#state.replacement) this.#takeOver();
    const relayed = this.#relay.data(chunk);
    if (relayed.malformed !== undefined) {
      return this.#handleBroken(attempt, relayed.malformed, "answer");
    }
    this.#evidence.recordReceived(attempt);
    if (relayed.isProgress) {
      attempt.hasEvents = true;
      this.#evidence.recordOrigin(attempt);
      this.#dropReplacement("not_needed");
      this.#evidence.recordProgress(attempt);
      this.#evidence.recordSound(attempt, { isComplete: false });
    }
    const work = attempt.server.ownWork.get(this.#request.requestId);
    if (work !== undefined) work.prefillTokens = 0;
    if (relayed.callerAcceptsMore) return;
    this.#isCallerBlocked = true;
    attempt.handle?.pause();
  }

  #onEnd(attempt: Attempt): void {
    if (!this.#state.isOpen(attempt)) return;
    if (attempt === this.#state.replacement) this.#takeOver();
    const lacksEvents = this.#relay.isEventStream && !attempt.hasEvents;
    if (this.#relay.endsMidEvent || lacksEvents) {
      // An answer without a length ends like this when its engine crashes.
      this.#evidence.recordLoss(attempt);
      return this.#handleBroken(
        attempt,
        lacksEvents ? "no_events" : "cut_event",
      );
    }
    this.#dropReplacement("not_needed");
    this.#evidence.recordSound(attempt, { isComplete: true });
    this.#context.registry.recordSuccess(attempt.server.listed.id);
    attempt.pace?.ended(this.#state.nowMs());
    this.#release(attempt);
    this.#relay.end();
    if (this.#state.mayBeTakenUp()) {
      this.#context.streamOrigins.completed(this.#request);
    }
    this.#end("answered");
  }

  #onFailed(attempt: Attempt, failure: AttemptFailure): void {
    if (!this.#state.isOpen(attempt)) return;
    if (failure.reason === BEGINS_TOO_LATE) {
      return failure.kind === "unsent"
        ? this.#handleUnsent(attempt, failure.reason)
        : this.#withdraw(attempt);
    }
    if (failure.at === "forwarder") {
      return this.#onForwarderFailed(attempt, failure);
    }
    const { forwarder, server, wasSent } = attempt;
    // A VM that forwards says so itself when it has sent nothing on.
    const isUnsent = failure.kind === "unsent" &&
      (!wasSent || forwarder !== undefined);
    if (isUnsent) {
      const { paths } = this.#context;
      if (forwarder === undefined) {
        paths.recordNoConnection(server.listed, attempt.startedAtMs);
      }
      this.#evidence.recordSilence(attempt);
      return this.#handleUnsent(attempt, failure.reason);
    }
    this.#repeats.settle(attempt);
    this.#evidence.recordLoss(attempt);
    this.#handleBroken(attempt, failure.reason);
  }

  /** The VM that forwards has failed; its server is not to blame. */
  #onForwarderFailed(attempt: Attempt, failure: AttemptFailure): void {
    const { forwarder } = attempt;
    if (forwarder === undefined) return;
    this.#context.paths.recordForwarderFailure(forwarder);
    this.#state.excludedForwarders.add(forwarder.vm);
    if (failure.kind === "unsent") {
      return this.#handleUnsent(attempt, failure.reason);
    }
    this.#handleBroken(attempt, failure.reason);
  }

  /** Handles an attempt that reached no server, so the next is no retry. */
  #handleUnsent(attempt: Attempt, reason: string): void {
    this.#repeats.settle(attempt);
    this.#endNotRun(attempt, reason);
    if (this.#state.attempt !== undefined) return;
    const mayRetry = this.#state.notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
    if (!mayRetry) return this.#giveUp("overloaded");
    if (!this.#relay.hasBegun) return this.#continuation.startAgain();
    this.#continuation.retry(
      { reason: "overloaded", cause: "not_run" },
      attempt,
    );
  }

  /** Handles an attempt that its server has not run. */
  #handleNotRun(attempt: Attempt, reason: string): void {
    this.#endNotRun(attempt, reason);
    if (this.#state.attempt !== undefined) return;
    if (attempt.isProbe && !this.#places.hasPlace()) {
      return this.#giveUp("stale_weights");
    }
    const mayRetry = this.#state.notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
    if (mayRetry) {
      const causes = { reason: "overloaded", cause: "not_run" } as const;
      return this.#continuation.retry(causes, attempt);
    }
    this.#giveUp("overloaded");
  }

  #endNotRun(attempt: Attempt, reason: string): void {
    const { listed } = attempt.server;
    this.#state.logDecision("attempt_unrun", { server: listed.id, reason });
    this.#abort(attempt);
    this.#state.exclude(attempt);
    this.#state.notRunAttempts += 1;
  }

  /** Handles an attempt that may have run and has no complete answer. */
  #handleBroken(
    attempt: Attempt,
    reason: string,
    shownBy: FaultSource = "connection",
  ): void {
    this.#endBroken(attempt, reason, shownBy);
    const refusal = reason === "silent" ? "server_silent" : "server_failed";
    this.#retryIfRepeatable({ reason: refusal, cause: "broken" }, attempt);
  }

  /** Goes on after an attempt that may have run, unless another one is open. */
  #retryIfRepeatable(causes: RetryCauses, after: Attempt): void {
    if (this.#state.attempt !== undefined) return;
    const mayRetry = this.#state.mayRepeat() &&
      this.#state.possiblyRunAttempts < this.#request.route.maxAttempts;
    if (mayRetry) return this.#continuation.retry(causes, after);
    this.#giveUp(causes.reason);
  }

  /** Withdraws attempts that would begin too late. */
  #withdrawLate(): void {
    for (const attempt of this.#state.lateAttempts()) {
      if (this.#state.isOpen(attempt)) this.#withdraw(attempt);
    }
  }

  /**
   * Takes the request back from a server that may begin it too late; whether it
   * has begun is not known. The server is not to blame.
   */
  #withdraw(attempt: Attempt): void {
    if (!attempt.wasSent) return this.#handleUnsent(attempt, BEGINS_TOO_LATE);
    this.#evidence.recordWithdrawn(attempt, BEGINS_TOO_LATE);
    this.#abort(attempt);
    this.#state.possiblyRunAttempts += 1;
    this.#state.exclude(attempt);
    const causes = { reason: "stale_weights", cause: "withdrawn" } as const;
    this.#retryIfRepeatable(causes, attempt);
  }

  #endBroken(attempt: Attempt, reason: string, shownBy: FaultSource): void {
    this.#evidence.recordBroken(attempt, reason, shownBy);
    this.#abort(attempt);
    this.#state.possiblyRunAttempts += 1;
    this.#state.exclude(attempt);
  }

  /**
   * Looks for another server for an attempt that is silent, and sends the
   * request there too. The attempt stays open until the other one answers: its
   * server may only pause, and a retry may not be allowed or be refused.
   */
  #replaceSilent(attempt: Attempt, reason: "silent" | "cut_off"): void {
    const nowMs = this.#state.nowMs();
    if (
      this.#state.replacement !== undefined || nowMs < attempt.replaceFromMs
    ) {
      return;
    }
    attempt.silence = reason;
    attempt.replaceFromMs = nowMs + REPLACE_INTERVAL_MS;
    const placed = this.#takeReplacement(attempt);
    if (placed === undefined) return;
    const replacement = this.#sender.open(placed, nowMs);
    this.#state.replacement = replacement;
    this.#sender.send(replacement, placed);
  }

  /** Ends the silent attempt, as its replacement has begun to answer. */
  #takeOver(): void {
    if (this.#state.attempt !== undefined) {
      this.#endBroken(
        this.#state.attempt,
        this.#state.attempt.silence,
        "silence",
      );
    }
  }

  /** Ends the replacement; it may have run. */
  #dropReplacement(reason: string): void {
    const replacement = this.#state.replacement;
    if (replacement === undefined) return;
    const { id: server } = replacement.server.listed;
    this.#state.logDecision("replacement_dropped", { server, reason });
    if (replacement.wasSent) this.#state.possiblyRunAttempts += 1;
    this.#abort(replacement);
  }

  #giveUp(
    reason: RefusalReason,
    retryInMs = reason === "stale_weights"
      ? this.#state.weights.renewedInMs(this.#state.nowMs())
      : DEFAULT_RETRY_MS,
  ): void {
    if (this.#state.hasEnded) return;
    if (this.#relay.hasBegun) {
      const softwareVersion = this.#state.versionToGoOn();
      this.#state.logDecision("break_off", { reason, softwareVersion });
      this.#caller.abortAnswer();
      return this.#end("broken_off");
    }
    const isNotRun = this.#state.possiblyRunAttempts === 0;
    const retryAfterMs = isNotRun
      ? Math.round(retryInMs * (1 + RETRY_JITTER * Math.random()))
      : undefined;
    this.#context.metrics.count("refusals", { reason });
    this.#state.logDecision("refuse", {
      reason,
      isNotRun,
      retryAfterMs,
      ...(reason === "stale_weights" &&
        this.#state.weights.summary(this.#state.nowMs())),
    });
    this.#caller.refuse({ reason, isNotRun, retryAfterMs });
    this.#end("refused");
  }

  /** Ends attempts that are silent too long; repeats until the request ends. */
  #checkProgress(): void {
    if (this.#state.hasEnded) return;
    this.#cancelTimer = this.#context.scheduler.after(
      CHECK_INTERVAL_MS,
      () => this.#contain(() => this.#checkProgress()),
    );
    const nowMs = this.#state.nowMs();
    const attempt = this.#state.attempt;
    if (nowMs >= this.#state.finalDeadlineMs() + DEADLINE_GRACE_MS) {
      return this.#expire();
    }
    if (this.#state.lateAttempts().length > 0) {
      // After a pause of the process its timers run before its sockets are
      // looked at, and an answer may have come meanwhile.
      return void this.#context.scheduler.after(
        0,
        () => this.#contain(() => this.#withdrawLate()),
      );
    }
    const { wait } = this.#continuation;
    if (wait !== undefined && nowMs >= wait.nextMs) {
      return this.#continuation.retry(wait, wait);
    }
    if (attempt === undefined || this.#isCallerBlocked) return;
    if (this.#isToBeCalledBack()) return this.#callBack();
    this.#evidence.detectUnanswered(attempt, nowMs);
    this.#evidence.detectSilentStreams(attempt, nowMs);
    if (this.#evidence.isCutOff(attempt, nowMs)) {
      this.#replaceSilent(attempt, "cut_off");
    }
    const canRetry = this.#state.hasAttemptsLeft();
    if (!this.#evidence.isSilent(attempt, { canRetry, nowMs })) return;
    this.#evidence.suspect(attempt);
    if (!this.#evidence.isSilent(attempt, { canRetry: false, nowMs })) {
      return this.#replaceSilent(attempt, "silent");
    }
    this.#handleBroken(attempt, "silent", "silence");
  }

  /**
   * Whether the request was found to crash engines since it was sent. Once
   * the answer has begun the engine ends anyway, and its end has to be seen.
   */
  #isToBeCalledBack(): boolean {
    return !this.#state.isTrial &&
      this.#state.attempt?.headAtMs === undefined &&
      this.#context.crashGuard.findBlocked(this.#suspects) !== undefined;
  }

  /** Takes the request back from its engine; it may have run. */
  #callBack(): void {
    this.#abortAttempts();
    this.#giveUp("quarantined");
  }

  #expire(): void {
    const attempt = this.#state.attempt;
    if (attempt?.wasSent) {
      const isCallerBlocked = this.#isCallerBlocked;
      this.#evidence.recordExpired(attempt, { isCallerBlocked });
    }
    this.#abortAttempts();
    this.#giveUp("deadline_passed");
  }

  /** Ends what is open; what was sent may have run. */
  #abortAttempts(): void {
    for (const attempt of this.#state.openAttempts()) {
      if (attempt.wasSent) this.#state.possiblyRunAttempts += 1;
      this.#abort(attempt);
    }
  }

  #abort(attempt: Attempt): void {
    attempt.handle?.abort();
    this.#release(attempt);
  }

  /** Ends one attempt; its replacement, if there is one, takes its place. */
  #release(attempt: Attempt): void {
    if (!attempt.wasSent) this.#repeats.settle(attempt);
    this.#state.context.versions?.dropped(attempt);
    attempt.leaveForwarder();
    attempt.server.ownWork.delete(this.#request.requestId);
    const isFirst = attempt === this.#state.attempt;
    if (isFirst) this.#state.attempt = this.#state.replacement;
    this.#state.replacement = undefined;
    if (isFirst && this.#state.attempt !== undefined) {
      this.#relayHead(this.#state.attempt);
    }
  }

  #end(outcome: string): void {
    if (this.#state.hasEnded) return;
    this.#state.hasEnded = true;
    this.#cancelTimer();
    this.#relay.dropBuffered();
    this.#repeats.settleRepeats();
    this.#repeats.settleLate();
    const durationMs = this.#state.nowMs() - this.#state.startedAtMs;
    this.#context.metrics.count("calls", { outcome });
    this.#context.metrics.observeMs("call_ms", durationMs);
    this.#state.logDecision("end", {
      outcome,
      firstByteMs: this.#state.firstByteMs &&
        Math.round(this.#state.firstByteMs),
      longestPauseMs: Math.round(this.#state.longestPauseMs),
      durationMs: Math.round(durationMs),
    });
    const hasRun = this.#state.possiblyRunAttempts > 0 ||
      this.#relay.hasBegun ||
      outcome === "answered";
    this.#context.ended(this.#request, { run: this, hasRun });
  }
}
