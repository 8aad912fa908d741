/**
 * Runs one request: places it, sends attempts, relays the answer, retries or
 * resumes where that is allowed, and otherwise refuses. A refusal says "not
 * run" only when no attempt can have run the request.
 *
 * @module
 */

import type { MemoryBudget } from "@endivebend/byte-buffers";
import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import type { ServerPaths } from "@endivebend/forwarding";
import type { BackendServerId, VmId } from "@endivebend/types";
import { type AnswerOrigin, originAt, versionToGoOn } from "./answer_origin.ts";
import { AnswerRelay } from "./answer_relay.ts";
import { type Attempt, newAttempt } from "./attempt.ts";
import { BEGINS_TOO_LATE } from "./begin_bound.ts";
import type { CrashGuard, RequestSuspects } from "./crash_guard.ts";
import { silenceTimeoutMs, UNANSWERED_MS } from "./silence_timeout.ts";
import {
  type Placement,
  type PlacementContext,
  placeProbe,
  placeRequest,
} from "./placement.ts";
import type {
  AnswerHead,
  AttemptFailure,
  CallerSink,
  DecisionLog,
  PathMetrics,
  RefusalReason,
  ServerClient,
  StreamOrigin,
  StreamOrigins,
} from "./ports.ts";
import type { ProcessCheck } from "./process_check.ts";
import { recordAnswerHead } from "./record_answer.ts";
import { RequestWeights } from "./request_weights.ts";
import type { KnownServer, PrefixCacheId } from "./server_registry.ts";
import {
  isRepeatable,
  isStream,
  isTakeUp,
  type RoutedRequest,
  type SoftwareVersion,
  urgencyOf,
} from "./types.ts";
import type { WeightsProbes } from "./weights_probes.ts";

/**
 * Why a request is sent once more: its attempt broke, its server did not run
 * it, its attempt is silent and stays open, or its attempt was withdrawn, as it
 * would have begun on weights that were replaced too long ago.
 */
export type RepeatCause = "broken" | "not_run" | "silent" | "withdrawn";

/** Dependencies and state that all requests share. */
export interface RequestContext extends PlacementContext {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: ServerClient;
  readonly crashGuard: CrashGuard;
  readonly paths: ServerPaths;
  readonly processCheck: Pick<ProcessCheck, "isFresh" | "check">;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
  /** What the daemon may hold of messages, over all requests. */
  readonly memory: MemoryBudget;
  readonly weightsProbes: WeightsProbes;
  readonly streamOrigins: StreamOrigins;
  /** Takes one repeat from the shared budget; false when it is used up. */
  tryRetry(request: RoutedRequest, cause: RepeatCause): boolean;
  /** Called once for each repeat taken: it has arrived, or will not. */
  settleRetry(request: RoutedRequest): void;
  /** Called once, when the request has ended. */
  ended(
    request: RoutedRequest,
    outcome: { readonly run: RequestRun; readonly hasRun: boolean },
  ): void;
}

/** Most attempts that reach no server or that a server refuses to run. */
const MAX_NOT_RUN_ATTEMPTS = 3;
/**
 * Statuses that promise callers that the request has not run and will not.
 * Only what an engine states expressly supports the promise.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Interval at which a running attempt is checked for silence. */
const CHECK_INTERVAL_MS = 100;
/** An outage leaves hundreds of attempts silent, and each looks for a place. */
const REPLACE_INTERVAL_MS = 300;
/** Stream events are about 40 ms apart, 100 ms while an engine prefills. */
const STREAM_SILENCE_MS = 400;
/** A connection is taken as alive if its server sent data this recently. */
const CONNECTION_FRESH_MS = 1_000;
/** A server takes longer than this to end and to start again. */
const RESTART_MS = 300;
/** Time for the server's own answer at its deadline to arrive. */
const DEADLINE_GRACE_MS = 60;
/** An attempt with less time left is of no use. */
const MIN_ATTEMPT_TIME_MS = 50;
/** Retry delay in a refusal while no server is known or free. */
const DEFAULT_RETRY_MS = 600;
/** Retries are spread by up to this share of the delay to avoid a herd. */
const RETRY_JITTER = 0.5;

/** What shows that an attempt is broken. */
type FaultSource = "answer" | "connection" | "silence";

/** Why a request is sent again, and what is said where that can't be done. */
interface RetryCauses {
  readonly reason: RefusalReason;
  readonly cause: RepeatCause;
}

/** The wait of an answer for a server of its software version. */
interface Wait extends RetryCauses {
  /** When the last event came. */
  readonly lastProgressMs: number;
  readonly nextMs: number;
}

type Placed = Placement & { readonly kind: "placed" };

/** A running request. */
export class RequestRun {
  readonly #context: RequestContext;
  readonly #request: RoutedRequest;
  readonly #caller: CallerSink;
  readonly #relay: AnswerRelay;
  readonly #suspects: RequestSuspects;
  readonly #weights: RequestWeights;
  readonly #startedAtMs: number;
  readonly #excluded = new Set<BackendServerId>();
  readonly #excludedForwarders = new Set<VmId>();
  #attempt: Attempt | undefined;
  /** The version that began the stream that the request takes up. */
  #takenUpVersion: SoftwareVersion | undefined;
  /** A second attempt, sent while the first is silent but may still go on. */
  #replacement: Attempt | undefined;
  /** Set while an answer that has begun has no server that may go on. */
  #wait: Wait | undefined;
  /** Whether the request is a trial after the end of a quarantine. */
  #isTrial = false;
  #cancelTimer = () => {};
  #hasEnded = false;
  #isCallerBlocked = false;
  /** The server whose event the caller got first. */
  #origin: AnswerOrigin | undefined;
  /** Whether the server that began the answer was asked which process it is. */
  #isOriginChecked = false;
  /** Time from the start to the first bytes of an answer. */
  #firstByteMs: number | undefined;
  /** Longest time between two chunks; a stream with a long one is late. */
  #longestPauseMs = 0;
  /** Number of attempts that may have run the request. */
  #possiblyRunAttempts = 0;
  #notRunAttempts = 0;
  /** Repeats that were taken and are not settled. */
  #pendingRepeats = 0;
  /** Attempts that may still arrive, also after they were given up. */
  #unsettledAttempts = 0;

  constructor(
    context: RequestContext,
    request: RoutedRequest,
    caller: CallerSink,
  ) {
    this.#context = context;
    this.#request = request;
    this.#caller = caller;
    this.#startedAtMs = this.#nowMs();
    this.#relay = new AnswerRelay(request, caller, context.memory);
    this.#suspects = context.crashGuard.suspectsOf(request);
    this.#weights = new RequestWeights(context, request);
  }

  start(): void {
    this.#contain(() => {
      if (isTakeUp(this.#request)) this.#startTakeUp();
      else this.#startAttempt();
      this.#checkProgress();
    });
  }

  /** Starts an attempt once it is known which version began the stream. */
  #startTakeUp(): void {
    const origin = this.#context.streamOrigins.find(this.#request);
    if ("kind" in origin) return this.#takeUp(origin);
    void origin.then((found) => this.#contain(() => this.#takeUp(found)));
  }

  #takeUp(origin: StreamOrigin): void {
    if (this.#hasEnded) return;
    const { kind } = origin;
    const version = kind === "version" ? origin.version : undefined;
    this.#context.metrics.count("take_ups", { origin: kind });
    this.#logDecision("take_up", { origin: kind, version });
    if (version === undefined) return this.#giveUp("unknown_origin");
    this.#takenUpVersion = version;
    this.#startAtVersion();
  }

  /**
   * Starts a take-up's attempt once the server that it goes to has said that its
   * process is the one of its entry.
   */
  #startAtVersion(): void {
    if (this.#hasEnded) return;
    const server = this.#findNext();
    if (server === undefined || this.#isCurrent(server)) {
      return this.#startAttempt();
    }
    this.#checkProcesses(server, () => this.#startAtVersion());
  }

  /** The caller reads again. */
  callerReady(): void {
    this.#isCallerBlocked = false;
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    attempt.lastProgressMs = this.#nowMs();
    this.#contain(() => attempt.handle?.resume());
  }

  /** The caller has closed its connection. */
  callerGone(): void {
    if (this.#hasEnded) return;
    this.#contain(() => {
      this.#logDecision("caller_gone", {});
      for (const attempt of this.#openAttempts()) this.#abort(attempt);
      this.#end("gone");
    });
  }

  /** Ends the request with its last answer, as the daemon ends. */
  stop(): void {
    if (this.#hasEnded) return;
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
      this.#logDecision("request_failed", { reason: String(caught) });
      this.#context.metrics.count("contained_errors", { at: "request" });
      this.#endAfterError();
    }
  }

  #endAfterError(): void {
    if (this.#hasEnded) return;
    // Where the error came from is unknown, so the request may have run.
    this.#possiblyRunAttempts += 1;
    try {
      this.#abortAttempts();
      this.#giveUp("internal_error");
    } catch (caught) {
      this.#logDecision("request_failed", { reason: String(caught) });
      this.#caller.abortAnswer();
      this.#end("broken_off");
    }
  }

  #nowMs(): number {
    return steadyMs(this.#context.clock);
  }

  #finalDeadlineMs(): number {
    return Math.min(this.#request.deadlineMs, this.#request.timeoutAtMs);
  }

  #startAttempt(): void {
    const nowMs = this.#nowMs();
    if (this.#finalDeadlineMs() - nowMs < MIN_ATTEMPT_TIME_MS) {
      return this.#giveUp("deadline_passed");
    }
    if (!this.#mayReachEngine(nowMs)) return;
    let placement = this.#place(this.#excluded, nowMs);
    if (placement.kind === "refused" && placement.reason === "stale_weights") {
      placement = this.#placeProbe(nowMs) ?? placement;
    }
    if (placement.kind === "refused") {
      return this.#giveUp(placement.reason, placement.retryInMs);
    }
    if (this.#hasNoForwarderLeft(placement.server)) {
      return this.#giveUp("overloaded");
    }
    const attempt = this.#open(placement, nowMs);
    this.#attempt = attempt;
    this.#send(attempt, placement);
  }

  /**
   * Whether this VM is cut off and no other one takes on a request that runs at
   * most once. On the own links it would likely be lost, and could not be said
   * not to have run.
   */
  #hasNoForwarderLeft({ listed }: KnownServer): boolean {
    const { paths } = this.#context;
    return !isRepeatable(this.#request.route.kind) &&
      this.#excludedForwarders.size > 0 && paths.isCutOff(listed.service) &&
      paths.forwarderFor(listed, this.#excludedForwarders) === undefined;
  }

  #placeProbe(nowMs: number): Placed | undefined {
    const probe = this.#findProbe(nowMs);
    if (probe === undefined) return undefined;
    this.#context.weightsProbes.take(probe.server.listed.id, nowMs);
    return probe;
  }

  #findProbe(nowMs: number): Placed | undefined {
    return placeProbe(this.#request, {
      ...this.#context,
      exclude: this.#excluded,
      hasBegun: this.#relay.hasBegun,
      softwareVersion: this.#versionToGoOn(),
      nowMs,
    });
  }

  #place(exclude: ReadonlySet<BackendServerId>, nowMs: number): Placement {
    return placeRequest(this.#request, {
      ...this.#context,
      exclude,
      hasBegun: this.#relay.hasBegun,
      softwareVersion: this.#versionToGoOn(),
      nowMs,
    });
  }

  /**
   * The software version that began the stream; undefined when unknown, or when
   * none has begun.
   */
  #versionToGoOn(): SoftwareVersion | undefined {
    return this.#origin === undefined
      ? this.#takenUpVersion
      : versionToGoOn(this.#origin, this.#context.registry);
  }

  /** Opens an attempt at the place that was found; it is not sent yet. */
  #open(
    { server, choice, cache, isProbe = false }: Placed,
    nowMs: number,
  ): Attempt {
    const { paths } = this.#context;
    const isFirst = !this.#relay.hasBegun && !isTakeUp(this.#request);
    const forwarder = isFirst
      ? paths.forwarderForNewRequest(server.listed, this.#excludedForwarders)
      : paths.forwarderFor(server.listed, this.#excludedForwarders);
    this.#logDecision("place", {
      server: server.listed.id,
      scoreMs: Math.round(choice.scoreMs),
      waitMs: Math.round(choice.waitMs),
      cachedTokens: choice.cachedTokens,
      tokensToRead: cache.tokensToRead,
      softwareVersion: server.listed.softwareVersion,
      weights: cache.weights,
      replacedMs: this.#weights.replacedMs(cache.weights, nowMs),
      fetchFrom: cache.fetchFrom,
      candidates: choice.candidateCount,
      isProbe: isProbe || undefined,
      limitPerS: server.limit?.perS,
      forwarder: forwarder?.vm,
      attempt: this.#possiblyRunAttempts + this.#notRunAttempts + 1,
      replaces: this.#attempt?.server.listed.id,
    });
    this.#unsettledAttempts += 1;
    return newAttempt({
      server,
      origin: originAt(server.listed),
      forwarder,
      leaveForwarder: forwarder ? paths.take(forwarder) : () => {},
      expectedWeights: cache.weights,
      isProbe,
      startedAtMs: nowMs,
    });
  }

  /** Gives up when the request, or a segment of its prompt, crashes engines. */
  #mayReachEngine(nowMs: number): boolean {
    if (this.#isTrial) return true;
    const admission = this.#context.crashGuard.admit(this.#suspects);
    this.#isTrial = admission.kind === "trial";
    if (admission.kind !== "blocked") return true;
    this.#giveUp("quarantined", admission.untilMs - nowMs);
    return false;
  }

  #send(attempt: Attempt, { cache }: Placed): void {
    const { server, forwarder, startedAtMs: nowMs } = attempt;
    const { registry, client } = this.#context;
    const request = this.#request;
    server.ownWork.set(request.requestId, {
      prefillTokens: cache.tokensToRead,
    });
    registry.recordPlacement(server.listed.id, cache.parts, nowMs);
    registry.recentPlacements.add(server.listed.id, cache.parts, nowMs);
    if (cache.saveTo !== undefined) {
      const store = cache.saveTo as PrefixCacheId;
      registry.recordPlacement(store, cache.parts, nowMs);
      registry.recentPlacements.add(store, cache.parts, nowMs);
    }
    const { metrics } = this.#context;
    const replacedMs = this.#weights.replacedMs(cache.weights, nowMs);
    if (replacedMs !== undefined) {
      metrics.observeMs("replaced_weights_ms", replacedMs);
    }
    this.#context.allowances.take(server, nowMs);
    if (server.limit !== undefined) metrics.count("limited_attempts");
    if (forwarder !== undefined) metrics.count("forwarded_attempts");
    // An idle connection may be dead. A request sent on it would get no answer
    // and could not be retried; a new connection fails before anything is sent.
    const needsNewConnection = forwarder === undefined &&
      !isRepeatable(request.route.kind) &&
      nowMs - server.lastReceivedMs > CONNECTION_FRESH_MS;
    if (needsNewConnection) client.closeIdleConnections(server.listed.address);
    const { tokensToRead } = cache;
    this.#context.versions?.sent(attempt, { request, server, tokensToRead });
    attempt.handle = client.start({
      request,
      server: {
        id: server.listed.id,
        address: server.listed.address,
        service: server.listed.service,
        failureDomain: server.listed.failureDomain,
      },
      deadlineMs: this.#finalDeadlineMs(),
      beginByMs: this.#weights.beginByMs(attempt.expectedWeights),
      resumeAfter: this.#relay.lastEventId ?? request.resumeAfter,
      cache,
      // An engine without a scope would share its cache with everyone.
      cacheScope: request.work !== undefined || server.listed.weights.size > 0
        ? cache.scope
        : undefined,
      urgency: urgencyOf(request),
      forwarder,
      expectedStartMs: this.#versionToGoOn() === undefined
        ? undefined
        : server.listed.startedAtMs,
    }, {
      connected: () => {
        if (forwarder !== undefined) return;
        attempt.connectedAtMs = this.#nowMs();
        this.#checkNewConnection(server);
      },
      sent: () => {
        attempt.wasSent = true;
      },
      head: (head) => this.#contain(() => this.#onHead(attempt, head)),
      data: (chunk) => this.#contain(() => this.#onData(attempt, chunk)),
      end: () => this.#contain(() => this.#onEnd(attempt)),
      failed: (failure) =>
        this.#contain(() => this.#onFailed(attempt, failure)),
    });
  }

  #isOpen(attempt: Attempt): boolean {
    return attempt === this.#attempt || attempt === this.#replacement;
  }

  #onHead(attempt: Attempt, head: AnswerHead): void {
    if (!this.#isOpen(attempt)) return;
    this.#settle(attempt);
    this.#settleRepeats();
    const nowMs = this.#nowMs();
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
    if (head.isMisdirected) return this.#handleMisdirected(attempt, head);
    this.#recordNewerWeights(attempt, head);
    if (head.isNotRun) {
      return this.#handleNotRun(attempt, `not_run_${head.status}`);
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    const isFailure = head.status >= 500 || (isSuccess && !head.hasProof);
    if (isFailure) this.#context.versions?.failed(attempt);
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
    if (attempt === this.#attempt) this.#relayHead(attempt);
  }

  #relayHead(attempt: Attempt): void {
    const { pendingHead } = attempt;
    if (pendingHead === undefined) return;
    attempt.pendingHead = undefined;
    this.#relay.head(pendingHead);
  }

  /**
   * Records weights that show in an answer and are newer than believed. Older
   * ones may come from an answer that others have overtaken.
   */
  #recordNewerWeights(
    { server, expectedWeights }: Attempt,
    { weights, isNotRun, hasProof }: AnswerHead,
  ): void {
    const model = this.#request.work?.model;
    // A server runs only requests that expect its weights.
    const shown = weights ??
      (hasProof && !isNotRun ? expectedWeights : undefined);
    if (model === undefined || shown === undefined) return;
    const believed = server.weights.of(model);
    if (believed !== undefined && believed >= shown) return;
    this.#context.registry.recordStatedWeights(server.listed.id, {
      model,
      weights: shown,
      nowMs: this.#nowMs(),
    });
  }

  /** Another server has the address, or the server has other weights. */
  #handleMisdirected(attempt: Attempt, head: AnswerHead): void {
    const { registry } = this.#context;
    const { id } = attempt.server.listed;
    const model = this.#request.work?.model;
    const { expectedWeights: expected } = attempt;
    const isOtherWeights = head.isExpectedServer && model !== undefined &&
      expected !== undefined;
    if (!isOtherWeights) {
      registry.forgetMoved(id);
      return this.#handleNotRun(attempt, "other_server");
    }
    const nowMs = this.#nowMs();
    if (head.weights === undefined || head.weights === expected) {
      const named = this.#context.namedWeights(model);
      registry.recordOtherWeights(id, model, { expected, named, nowMs });
    } else {
      const { weights } = head;
      registry.recordStatedWeights(id, { model, weights, nowMs });
    }
    this.#handleNotRun(attempt, "other_weights");
  }

  /** Whether an error answer is kept from the caller. */
  #isWithheld(attempt: Attempt, { status }: AnswerHead): boolean {
    const hasOther = this.#replacement !== undefined &&
      (status >= 500 || attempt === this.#replacement);
    return this.#relay.hasBegun || hasOther || NOT_RUN_STATUSES.has(status);
  }

  /**
   * A place for another attempt while one is open, with a retry taken from the
   * budget; undefined when anything does not allow it. The open attempt must not
   * be ended before.
   */
  #takeReplacement(attempt: Attempt): Placed | undefined {
    const { server } = attempt;
    const nowMs = this.#nowMs();
    const { crashGuard } = this.#context;
    const isAllowed = this.#hasAttemptsLeft() &&
      isRepeatable(this.#request.route.kind) && this.#relay.canResume &&
      !this.#isTrial && crashGuard.mayRetry(this.#suspects) &&
      crashGuard.findBlocked(this.#suspects) === undefined &&
      this.#finalDeadlineMs() - nowMs >= MIN_ATTEMPT_TIME_MS;
    if (!isAllowed) return undefined;
    const exclude = new Set([...this.#excluded, server.listed.id]);
    const placement = this.#place(exclude, nowMs);
    if (placement.kind === "refused") return undefined;
    const needsCheck = this.#relay.hasBegun &&
      !this.#isCurrent(placement.server);
    if (needsCheck) {
      this.#checkProcesses(placement.server, () => {
        if (attempt !== this.#attempt) return;
        attempt.replaceFromMs = this.#nowMs();
        this.#replaceSilent(attempt, attempt.silence);
      });
      return undefined;
    }
    return this.#tryRetry("silent") ? placement : undefined;
  }

  #tryRetry(cause: RepeatCause): boolean {
    const isAllowed = this.#context.tryRetry(this.#request, cause);
    if (isAllowed) this.#pendingRepeats += 1;
    return isAllowed;
  }

  #settle(attempt: Attempt): void {
    if (attempt.isSettled) return;
    attempt.isSettled = true;
    this.#unsettledAttempts -= 1;
  }

  /** Settles the repeats beyond the attempts that may still arrive. */
  #settleRepeats(): void {
    while (this.#pendingRepeats > this.#unsettledAttempts) {
      this.#pendingRepeats -= 1;
      this.#context.settleRetry(this.#request);
    }
  }

  /** Attempts that were given up may arrive until the caller's deadline. */
  #settleLate(): void {
    if (this.#pendingRepeats === 0) return;
    const leftMs = this.#finalDeadlineMs() - this.#nowMs();
    this.#context.scheduler.after(Math.max(0, leftMs), () => {
      this.#unsettledAttempts = 0;
      this.#settleRepeats();
    });
  }

  #hasAttemptsLeft(): boolean {
    const openAttempts = this.#replacement === undefined ? 1 : 2;
    return this.#possiblyRunAttempts + openAttempts <
      this.#request.route.maxAttempts;
  }

  #onData(attempt: Attempt, chunk: Buffer): void {
    if (!this.#isOpen(attempt)) return;
    if (attempt === this.#replacement) this.#takeOver();
    const relayed = this.#relay.data(chunk);
    if (relayed.malformed !== undefined) {
      return this.#handleBroken(attempt, relayed.malformed, "answer");
    }
    this.#recordReceived(attempt);
    if (relayed.isProgress) {
      attempt.hasEvents = true;
      this.#context.versions?.began(attempt);
      this.#recordOrigin(attempt);
      this.#dropReplacement("not_needed");
      this.#recordProgress(attempt);
      this.#recordSound(attempt, { isComplete: false });
    }
    const work = attempt.server.ownWork.get(this.#request.requestId);
    if (work !== undefined) work.prefillTokens = 0;
    if (relayed.callerAcceptsMore) return;
    this.#isCallerBlocked = true;
    attempt.handle?.pause();
  }

  /** Records the server whose event the caller got first. */
  #recordOrigin({ origin }: Attempt): void {
    if (this.#origin !== undefined) return;
    this.#origin = origin;
    if (!this.#mayBeTakenUp()) return;
    const { registry, streamOrigins } = this.#context;
    const version = versionToGoOn(origin, registry);
    streamOrigins.began(this.#request, { server: origin.server, version });
  }

  #mayBeTakenUp(): boolean {
    return this.#request.route.kind === "resumable_stream" &&
      this.#relay.isEventStream;
  }

  /** Records that part of the answer came, and the pause before it. */
  #recordProgress(attempt: Attempt): void {
    const nowMs = this.#nowMs();
    const pauseMs = nowMs - attempt.lastProgressMs;
    attempt.lastProgressMs = nowMs;
    if (this.#firstByteMs !== undefined) {
      this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
      return;
    }
    this.#firstByteMs = nowMs - this.#startedAtMs;
    this.#context.metrics.observeMs("first_byte_ms", this.#firstByteMs);
  }

  #onEnd(attempt: Attempt): void {
    if (!this.#isOpen(attempt)) return;
    if (attempt === this.#replacement) this.#takeOver();
    const lacksEvents = this.#relay.isEventStream && !attempt.hasEvents;
    if (this.#relay.endsMidEvent || lacksEvents) {
      // An answer without a length ends like this when its engine crashes.
      this.#recordLoss(attempt);
      return this.#handleBroken(
        attempt,
        lacksEvents ? "no_events" : "cut_event",
      );
    }
    this.#context.versions?.answered(attempt);
    this.#dropReplacement("not_needed");
    this.#recordSound(attempt, { isComplete: true });
    this.#context.registry.recordSuccess(attempt.server.listed.id);
    this.#release(attempt);
    this.#relay.end();
    if (this.#mayBeTakenUp()) {
      this.#context.streamOrigins.completed(this.#request);
    }
    this.#end("answered");
  }

  #onFailed(attempt: Attempt, failure: AttemptFailure): void {
    if (!this.#isOpen(attempt)) return;
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
      this.#recordSilence(attempt);
      return this.#handleUnsent(attempt, failure.reason);
    }
    this.#settle(attempt);
    this.#recordLoss(attempt);
    this.#handleBroken(attempt, failure.reason);
  }

  /** The VM that forwards has failed; its server is not to blame. */
  #onForwarderFailed(attempt: Attempt, failure: AttemptFailure): void {
    const { forwarder } = attempt;
    if (forwarder === undefined) return;
    this.#context.paths.recordForwarderFailure(forwarder);
    this.#excludedForwarders.add(forwarder.vm);
    if (failure.kind === "unsent") {
      return this.#handleUnsent(attempt, failure.reason);
    }
    this.#handleBroken(attempt, failure.reason);
  }

  /**
   * Unless this VM's own links may be at fault. A VM that forwards tells of the
   * servers that it does not reach itself.
   */
  #recordSilence({ server, forwarder }: Attempt): void {
    const { paths, registry } = this.#context;
    const { id, service } = server.listed;
    if (forwarder !== undefined || paths.isCutOff(service)) return;
    registry.recordSilence(id, this.#nowMs());
  }

  /** Records once that the prompt's answer goes on or is complete. */
  #recordSound(
    attempt: Attempt,
    { isComplete }: { readonly isComplete: boolean },
  ): void {
    const { headAtMs: beganAtMs } = attempt;
    if (attempt.isKnownSound || beganAtMs === undefined) return;
    attempt.isKnownSound = this.#context.crashGuard.recordProgress(
      this.#suspects,
      { beganAtMs, isComplete },
    );
  }

  /** Records that the connection was lost; its engine may have crashed. */
  #recordLoss(attempt: Attempt): void {
    const { server, headAtMs, hasEvents, isKnownSound, forwarder } = attempt;
    // A VM that forwards sees for itself whether the engine has ended.
    if (forwarder !== undefined) return;
    this.#context.paths.suspect(server.listed);
    if (headAtMs === undefined) {
      const { paths } = this.#context;
      paths.noteUnanswered(server.listed, attempt.startedAtMs);
    }
    void this.#context.crashGuard.recordLoss(this.#suspects, {
      server: server.listed,
      headAtMs,
      hasEvents,
      isKnownSound,
    });
  }

  /** Handles an attempt that reached no server, so the next is no retry. */
  #handleUnsent(attempt: Attempt, reason: string): void {
    this.#settle(attempt);
    this.#endNotRun(attempt, reason);
    if (this.#attempt !== undefined) return;
    const mayRetry = this.#notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
    if (!mayRetry) return this.#giveUp("overloaded");
    if (!this.#relay.hasBegun) return this.#startAgain();
    this.#retry({ reason: "overloaded", cause: "not_run" }, attempt);
  }

  /** Handles an attempt that its server has not run. */
  #handleNotRun(attempt: Attempt, reason: string): void {
    this.#endNotRun(attempt, reason);
    if (this.#attempt !== undefined) return;
    if (attempt.isProbe && !this.#hasPlace()) {
      return this.#giveUp("stale_weights");
    }
    const mayRetry = this.#notRunAttempts < MAX_NOT_RUN_ATTEMPTS;
    if (mayRetry) {
      const causes = { reason: "overloaded", cause: "not_run" } as const;
      return this.#retry(causes, attempt);
    }
    this.#giveUp("overloaded");
  }

  /**
   * Sends the request to another server, with a retry taken from the budget. An
   * answer that has begun waits for a server of its software version.
   */
  #retry({ reason, cause }: RetryCauses, after: Attempt | Wait): void {
    this.#wait = undefined;
    const nowMs = this.#nowMs();
    const server = this.#relay.hasBegun ? this.#findNext() : undefined;
    const mayStart = !this.#relay.hasBegun ||
      (server !== undefined && this.#isCurrent(server));
    if (mayStart) {
      // Many are withdrawn at once, and often there is no place for any.
      const hasPlace = cause !== "withdrawn" || this.#hasPlaceOrProbe();
      const mayRetry = hasPlace && this.#tryRetry(cause);
      return mayRetry ? this.#startAgain() : this.#giveUp(reason);
    }
    const { lastProgressMs } = after;
    const untilMs = lastProgressMs + this.#maxWaitMs();
    if (nowMs >= untilMs || !this.#hasServerToWaitFor()) {
      return this.#giveUp(reason);
    }
    const nextMs = Math.min(nowMs + REPLACE_INTERVAL_MS, untilMs);
    this.#wait = { reason, cause, lastProgressMs, nextMs };
    if (server === undefined) return;
    this.#checkProcesses(server, () => {
      if (this.#wait !== undefined) this.#retry(this.#wait, this.#wait);
    });
  }

  /** Starts the next attempt; a take-up's first event is still to come. */
  #startAgain(): void {
    const needsCheck = this.#takenUpVersion !== undefined &&
      !this.#relay.hasBegun;
    if (needsCheck) this.#startAtVersion();
    else this.#startAttempt();
  }

  /**
   * Asks a server which process it is when a new connection may be the first to
   * another one. It matters only while several software versions serve.
   */
  #checkNewConnection(server: KnownServer): void {
    const { processCheck, registry } = this.#context;
    const nowMs = this.#nowMs();
    const mayBeOther = isStream(this.#request.route.kind) &&
      nowMs - server.lastReceivedMs > RESTART_MS &&
      registry.hasSeveralVersions(this.#request.service);
    if (mayBeOther && !processCheck.isFresh(server, nowMs)) {
      void processCheck.check(server);
    }
  }

  /** The server at which an answer that has begun would go on now. */
  #findNext(): KnownServer | undefined {
    const placement = this.#place(this.#excluded, this.#nowMs());
    return placement.kind === "placed" ? placement.server : undefined;
  }

  /**
   * Whether the server's process is known to be the one of its entry. A VM that
   * reaches the server only through another one can't ask.
   */
  #isCurrent(server: KnownServer): boolean {
    const { paths, processCheck } = this.#context;
    return processCheck.isFresh(server, this.#nowMs()) ||
      paths.forwarderFor(server.listed, this.#excludedForwarders) !== undefined;
  }

  /**
   * Asks the server, and once the one that began the answer, which process they
   * are; a server that does not answer is left out from then on.
   */
  #checkProcesses(server: KnownServer, done: () => void): void {
    const { processCheck, registry } = this.#context;
    const origin = this.#origin && registry.get(this.#origin.server);
    const mayAskOrigin = origin !== undefined && !this.#isOriginChecked &&
      !registry.isLeaving(origin) && this.#nowMs() >= origin.quietUntilMs;
    this.#isOriginChecked = true;
    void Promise.all([
      processCheck.check(server),
      mayAskOrigin ? processCheck.check(origin) : true,
    ]).then(([hasAnswered]) => {
      if (this.#hasEnded) return;
      if (!hasAnswered) this.#excluded.add(server.listed.id);
      this.#contain(done);
    });
  }

  /** A stream whose server is lost waits as long as for a silent server. */
  #maxWaitMs(): number {
    return silenceTimeoutMs(this.#request, {
      hasBegun: true,
      canRetry: true,
      isServerSilent: false,
    });
  }

  /**
   * Whether a server of the answer's software version is listed, be it one that
   * has failed: it may be back soon, or have room.
   */
  #hasServerToWaitFor(): boolean {
    const version = this.#versionToGoOn();
    const { registry } = this.#context;
    return version !== undefined &&
      registry.usable(this.#request.service, this.#nowMs())
        .some(({ listed }) => listed.softwareVersion === version);
  }

  #hasPlace(): boolean {
    return this.#place(this.#excluded, this.#nowMs()).kind === "placed";
  }

  /** Whether an attempt can be sent now, be it as a probe. */
  #hasPlaceOrProbe(): boolean {
    const nowMs = this.#nowMs();
    const placement = this.#place(this.#excluded, nowMs);
    return placement.kind === "placed" ||
      (placement.reason === "stale_weights" &&
        this.#findProbe(nowMs) !== undefined);
  }

  #endNotRun(attempt: Attempt, reason: string): void {
    const { listed } = attempt.server;
    this.#logDecision("attempt_unrun", { server: listed.id, reason });
    this.#abort(attempt);
    this.#exclude(attempt);
    this.#notRunAttempts += 1;
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
    if (this.#attempt !== undefined) return;
    const mayRetry = isRepeatable(this.#request.route.kind) &&
      this.#possiblyRunAttempts < this.#request.route.maxAttempts &&
      this.#relay.canResume && !this.#isTrial &&
      this.#context.crashGuard.mayRetry(this.#suspects);
    if (mayRetry) return this.#retry(causes, after);
    this.#giveUp(causes.reason);
  }

  #lateAttempts(): Attempt[] {
    const nowMs = this.#nowMs();
    return this.#openAttempts().filter((attempt) =>
      this.#weights.isTooLate(attempt, nowMs)
    );
  }

  /** Withdraws attempts that would begin too late. */
  #withdrawLate(): void {
    for (const attempt of this.#lateAttempts()) {
      if (this.#isOpen(attempt)) this.#withdraw(attempt);
    }
  }

  /**
   * Takes the request back from a server that may begin it too late; whether it
   * has begun is not known. The server is not to blame.
   */
  #withdraw(attempt: Attempt): void {
    if (!attempt.wasSent) return this.#handleUnsent(attempt, BEGINS_TOO_LATE);
    const nowMs = this.#nowMs();
    const { server, forwarder, expectedWeights: weights } = attempt;
    this.#logDecision("attempt_withdrawn", {
      server: server.listed.id,
      forwarder: forwarder?.vm,
      reason: BEGINS_TOO_LATE,
      weights,
      replacedMs: this.#weights.replacedMs(weights, nowMs),
      afterMs: Math.round(nowMs - attempt.startedAtMs),
    });
    this.#context.metrics.count("withdrawn_attempts");
    this.#abort(attempt);
    this.#possiblyRunAttempts += 1;
    this.#exclude(attempt);
    const causes = { reason: "stale_weights", cause: "withdrawn" } as const;
    this.#retryIfRepeatable(causes, attempt);
  }

  #endBroken(attempt: Attempt, reason: string, shownBy: FaultSource): void {
    const { id } = attempt.server.listed;
    this.#judgeVersion(attempt, shownBy);
    if (shownBy === "connection") this.#blame(attempt, reason);
    if (shownBy === "answer") {
      this.#context.registry.recordFailure(id, this.#nowMs());
    }
    this.#logDecision("attempt_broken", {
      server: id,
      reason,
      afterMs: Math.round(this.#nowMs() - attempt.startedAtMs),
      hasHead: attempt.headAtMs !== undefined,
      hasBegun: this.#relay.hasBegun,
      digest: this.#request.digest,
      segments: this.#request.work?.prompt.map(({ id }) => id),
    });
    this.#context.metrics.count("broken_attempts", {
      phase: phaseOf(attempt, this.#relay),
    });
    this.#abort(attempt);
    this.#possiblyRunAttempts += 1;
    this.#exclude(attempt);
  }

  /**
   * Looks for another server for an attempt that is silent, and sends the
   * request there too. The attempt stays open until the other one answers: its
   * server may only pause, and a retry may not be allowed or be refused.
   */
  #replaceSilent(attempt: Attempt, reason: "silent" | "cut_off"): void {
    const nowMs = this.#nowMs();
    if (this.#replacement !== undefined || nowMs < attempt.replaceFromMs) {
      return;
    }
    attempt.silence = reason;
    attempt.replaceFromMs = nowMs + REPLACE_INTERVAL_MS;
    const placed = this.#takeReplacement(attempt);
    if (placed === undefined) return;
    const replacement = this.#open(placed, nowMs);
    this.#replacement = replacement;
    this.#send(replacement, placed);
  }

  /** Records once that an attempt is silent; its server may have ended. */
  #suspect(attempt: Attempt): void {
    if (attempt.isSuspect) return;
    attempt.isSuspect = true;
    const { address } = attempt.server.listed;
    this.#context.client.closeIdleConnections(address);
    this.#recordLoss(attempt);
    this.#blame(attempt, "silent");
  }

  /** Ends the silent attempt, as its replacement has begun to answer. */
  #takeOver(): void {
    if (this.#attempt !== undefined) {
      this.#endBroken(this.#attempt, this.#attempt.silence, "silence");
    }
  }

  /** Ends the replacement; it may have run. */
  #dropReplacement(reason: string): void {
    const replacement = this.#replacement;
    if (replacement === undefined) return;
    const { id: server } = replacement.server.listed;
    this.#logDecision("replacement_dropped", { server, reason });
    if (replacement.wasSent) this.#possiblyRunAttempts += 1;
    this.#abort(replacement);
  }

  /** Another VM may reach a server that the failed one did not. */
  #exclude({ server, forwarder }: Attempt): void {
    const isForwarders = forwarder !== undefined &&
      this.#excludedForwarders.has(forwarder.vm);
    if (!isForwarders) this.#excluded.add(server.listed.id);
  }

  /** A lost connection tells of the version unless a link may be at fault. */
  #judgeVersion(attempt: Attempt, shownBy: FaultSource): void {
    const { paths, versions } = this.#context;
    const mayBeLink = attempt.forwarder !== undefined ||
      paths.isCutOff(attempt.server.listed.service);
    if (shownBy === "answer") versions?.failed(attempt);
    else if (mayBeLink) versions?.dropped(attempt);
    else versions?.lost(attempt);
  }

  /** Counts a lost connection against whoever may have caused it. */
  #blame(attempt: Attempt, reason: string): void {
    const { paths, registry } = this.#context;
    const { server, forwarder } = attempt;
    if (forwarder !== undefined) {
      // Its own links, or the way to it, may be at fault as well.
      return paths.recordForwarderFailure(forwarder);
    }
    if (reason === "silent") return this.#recordSilence(attempt);
    if (paths.isCutOff(server.listed.service)) return;
    registry.recordFailure(server.listed.id, this.#nowMs());
  }

  #giveUp(
    reason: RefusalReason,
    retryInMs = reason === "stale_weights"
      ? this.#weights.renewedInMs(this.#nowMs())
      : DEFAULT_RETRY_MS,
  ): void {
    if (this.#hasEnded) return;
    if (this.#relay.hasBegun) {
      const softwareVersion = this.#versionToGoOn();
      this.#logDecision("break_off", { reason, softwareVersion });
      this.#caller.abortAnswer();
      return this.#end("broken_off");
    }
    const isNotRun = this.#possiblyRunAttempts === 0;
    const retryAfterMs = isNotRun
      ? Math.round(retryInMs * (1 + RETRY_JITTER * Math.random()))
      : undefined;
    this.#context.metrics.count("refusals", { reason });
    this.#logDecision("refuse", {
      reason,
      isNotRun,
      retryAfterMs,
      ...(reason === "stale_weights" && this.#weights.summary(this.#nowMs())),
    });
    this.#caller.refuse({ reason, isNotRun, retryAfterMs });
    this.#end("refused");
  }

  /** Any byte shows that the server is alive; only events are progress. */
  #recordReceived(attempt: Attempt): void {
    this.#context.registry.recordActivity(
      attempt.server.listed.id,
      this.#nowMs(),
    );
  }

  /** Ends attempts that are silent too long; repeats until the request ends. */
  #checkProgress(): void {
    if (this.#hasEnded) return;
    this.#cancelTimer = this.#context.scheduler.after(
      CHECK_INTERVAL_MS,
      () => this.#contain(() => this.#checkProgress()),
    );
    const nowMs = this.#nowMs();
    const attempt = this.#attempt;
    if (nowMs >= this.#finalDeadlineMs() + DEADLINE_GRACE_MS) {
      return this.#expire();
    }
    if (this.#lateAttempts().length > 0) {
      // After a pause of the process its timers run before its sockets are
      // looked at, and an answer may have come meanwhile.
      return void this.#context.scheduler.after(
        0,
        () => this.#contain(() => this.#withdrawLate()),
      );
    }
    if (this.#wait !== undefined && nowMs >= this.#wait.nextMs) {
      return this.#retry(this.#wait, this.#wait);
    }
    if (attempt === undefined || this.#isCallerBlocked) return;
    if (this.#isToBeCalledBack()) return this.#callBack();
    this.#detectUnanswered(attempt, nowMs);
    this.#detectSilentStreams(attempt, nowMs);
    if (this.#isCutOff(attempt, nowMs)) this.#replaceSilent(attempt, "cut_off");
    const silentMs = nowMs - attempt.lastProgressMs;
    const limitMs = (canRetry: boolean) =>
      silenceTimeoutMs(this.#request, {
        hasBegun: this.#relay.hasBegun,
        canRetry,
        isServerSilent: attempt.server.lastReceivedMs <= attempt.startedAtMs,
      });
    if (silentMs <= limitMs(this.#hasAttemptsLeft())) return;
    this.#suspect(attempt);
    if (silentMs <= limitMs(false)) {
      return this.#replaceSilent(attempt, "silent");
    }
    this.#handleBroken(attempt, "silent", "silence");
  }

  /**
   * Whether the request was found to crash engines since it was sent. Once
   * the answer has begun the engine ends anyway, and its end has to be seen.
   */
  #isToBeCalledBack(): boolean {
    return !this.#isTrial && this.#attempt?.headAtMs === undefined &&
      this.#context.crashGuard.findBlocked(this.#suspects) !== undefined;
  }

  /** Takes the request back from its engine; it may have run. */
  #callBack(): void {
    this.#abortAttempts();
    this.#giveUp("quarantined");
  }

  /**
   * Whether the attempt waits on a connection that this VM has likely lost, and
   * the request can go on through another VM.
   */
  #isCutOff(attempt: Attempt, nowMs: number): boolean {
    const { server, forwarder, lastProgressMs } = attempt;
    return forwarder === undefined && this.#hasAttemptsLeft() &&
      isRepeatable(this.#request.route.kind) &&
      nowMs - Math.max(lastProgressMs, server.lastReceivedMs) >
        STREAM_SILENCE_MS &&
      this.#context.paths.isCutOff(server.listed.service);
  }

  /**
   * Notes that nothing has come for the attempt for some time, unless it went
   * on a connection that was kept and others of its server are answered.
   */
  #detectUnanswered(attempt: Attempt, nowMs: number): void {
    const { server, forwarder, startedAtMs, connectedAtMs } = attempt;
    const isAnswered = attempt.headAtMs !== undefined ||
      (connectedAtMs === undefined && server.lastReceivedMs > startedAtMs);
    const isWaiting = forwarder === undefined && attempt.wasSent &&
      nowMs - startedAtMs > UNANSWERED_MS;
    if (!isWaiting || isAnswered) return;
    this.#context.paths.noteUnanswered(server.listed, startedAtMs);
  }

  /** Records a server as silent when none of its streams has sent an event. */
  #detectSilentStreams(attempt: Attempt, nowMs: number): void {
    const { listed, lastReceivedMs, silentUntilMs } = attempt.server;
    const isPaused = attempt.forwarder === undefined &&
      this.#relay.hasBegun &&
      isStream(this.#request.route.kind) &&
      nowMs - lastReceivedMs > STREAM_SILENCE_MS &&
      // The pause of a caller that reads again is not the server's.
      nowMs - attempt.lastProgressMs > STREAM_SILENCE_MS;
    if (!isPaused || nowMs < silentUntilMs) return;
    this.#logDecision("server_silent", {
      server: listed.id,
      heardAgoMs: Math.round(nowMs - lastReceivedMs),
    });
    this.#context.paths.suspect(listed);
    this.#recordSilence(attempt);
  }

  #expire(): void {
    const attempt = this.#attempt;
    if (attempt?.wasSent) {
      const isPlain = !isStream(this.#request.route.kind);
      const isOwn = attempt.forwarder === undefined;
      const { paths } = this.#context;
      if (isOwn) paths.suspect(attempt.server.listed);
      const mayBeLink = !isOwn ||
        paths.isCutOff(attempt.server.listed.service);
      if (isPlain && !this.#isCallerBlocked && !mayBeLink) {
        this.#context.registry.recordFailure(
          attempt.server.listed.id,
          this.#nowMs(),
        );
      }
    }
    this.#abortAttempts();
    this.#giveUp("deadline_passed");
  }

  /** The replacement comes first, so that it does not take over. */
  #openAttempts(): Attempt[] {
    return [this.#replacement, this.#attempt]
      .filter((attempt) => attempt !== undefined);
  }

  /** Ends what is open; what was sent may have run. */
  #abortAttempts(): void {
    for (const attempt of this.#openAttempts()) {
      if (attempt.wasSent) this.#possiblyRunAttempts += 1;
      this.#abort(attempt);
    }
  }

  #abort(attempt: Attempt): void {
    attempt.handle?.abort();
    this.#release(attempt);
  }

  /** Ends one attempt; its replacement, if there is one, takes its place. */
  #release(attempt: Attempt): void {
    if (!attempt.wasSent) this.#settle(attempt);
    this.#context.versions?.dropped(attempt);
    attempt.leaveForwarder();
    attempt.server.ownWork.delete(this.#request.requestId);
    const isFirst = attempt === this.#attempt;
    if (isFirst) this.#attempt = this.#replacement;
    this.#replacement = undefined;
    if (isFirst && this.#attempt !== undefined) this.#relayHead(this.#attempt);
  }

  #end(outcome: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelTimer();
    this.#relay.dropBuffered();
    this.#settleRepeats();
    this.#settleLate();
    const durationMs = this.#nowMs() - this.#startedAtMs;
    this.#context.metrics.count("calls", { outcome });
    this.#context.metrics.observeMs("call_ms", durationMs);
    this.#logDecision("end", {
      outcome,
      firstByteMs: this.#firstByteMs && Math.round(this.#firstByteMs),
      longestPauseMs: Math.round(this.#longestPauseMs),
      durationMs: Math.round(durationMs),
    });
    const hasRun = this.#possiblyRunAttempts > 0 || this.#relay.hasBegun ||
      outcome === "answered";
    this.#context.ended(this.#request, { run: this, hasRun });
  }

  #logDecision(step: string, fields: Readonly<Record<string, unknown>>): void {
    this.#context.log.decision(step, {
      requestId: this.#request.requestId,
      ...fields,
    });
  }
}

/** How far the answer of an attempt had come. */
function phaseOf(
  { headAtMs }: Attempt,
  { hasBegun }: AnswerRelay,
): "waiting" | "head" | "events" {
  if (headAtMs === undefined) return "waiting";
  return hasBegun ? "events" : "head";
}
