/**
 * Records what attempts of one request show of servers, of this VM's links and
 * of the prompt: silent, unanswered and cut-off attempts, lost connections,
 * weights and sound answers.
 *
 * @module
 */

import { versionToGoOn } from "./answer_origin.ts";
import type { AnswerRelay } from "./answer_relay.ts";
import type { Attempt } from "./attempt.ts";
import type { AnswerHead } from "./ports.ts";
import type { RunState } from "./run_state.ts";
import { silenceTimeoutMs, UNANSWERED_MS } from "./silence_timeout.ts";
import { isRepeatable, isStream } from "./types.ts";

/** Stream events are about 40 ms apart, 100 ms while an engine prefills. */
const STREAM_SILENCE_MS = 400;

/** What shows that an attempt is broken. */
export type FaultSource = "answer" | "connection" | "silence";

/** Records what the attempts of one request show. */
export class AttemptEvidence {
  readonly #state: RunState;

  constructor(state: RunState) {
    this.#state = state;
  }

  /**
   * Records weights that show in an answer and are newer than believed. Older
   * ones may come from an answer that others have overtaken.
   */
  recordNewerWeights(
    { server, expectedWeights }: Attempt,
    { weights, isNotRun, hasProof }: AnswerHead,
  ): void {
    const model = this.#state.request.work?.model;
    // A server runs only requests that expect its weights.
    const shown = weights ??
      (hasProof && !isNotRun ? expectedWeights : undefined);
    if (model === undefined || shown === undefined) return;
    const believed = server.weights.of(model);
    if (believed !== undefined && believed >= shown) return;
    this.#state.context.registry.recordStatedWeights(server.listed.id, {
      model,
      weights: shown,
      nowMs: this.#state.nowMs(),
    });
  }

  /**
   * Records that another server has the address, or that the server has other
   * weights.
   */
  recordMisdirected(
    attempt: Attempt,
    head: AnswerHead,
  ): "other_server" | "other_weights" {
    const { registry } = this.#state.context;
    const { id } = attempt.server.listed;
    const model = this.#state.request.work?.model;
    const { expectedWeights: expected } = attempt;
    const isOtherWeights = head.isExpectedServer && model !== undefined &&
      expected !== undefined;
    if (!isOtherWeights) {
      registry.forgetMoved(id);
      return "other_server";
    }
    const nowMs = this.#state.nowMs();
    if (head.weights === undefined || head.weights === expected) {
      const named = this.#state.context.namedWeights(model);
      registry.recordOtherWeights(id, model, { expected, named, nowMs });
    } else {
      const { weights } = head;
      registry.recordStatedWeights(id, { model, weights, nowMs });
    }
    return "other_weights";
  }

  /** Any byte shows that the server is alive; only events are progress. */
  recordReceived(attempt: Attempt): void {
    this.#state.context.registry.recordActivity(
      attempt.server.listed.id,
      this.#state.nowMs(),
    );
  }

  /** Records the server whose event the caller got first. */
  recordOrigin({ origin }: Attempt): void {
    if (this.#state.origin !== undefined) return;
    this.#state.origin = origin;
    if (!this.#state.mayBeTakenUp()) return;
    const { registry, streamOrigins } = this.#state.context;
    const version = versionToGoOn(origin, registry);
    streamOrigins.began(this.#state.request, {
      server: origin.server,
      version,
    });
  }

  /** Records that part of the answer came, and the pause before it. */
  recordProgress(attempt: Attempt): void {
    const nowMs = this.#state.nowMs();
    const pauseMs = nowMs - attempt.lastProgressMs;
    attempt.lastProgressMs = nowMs;
    attempt.pace?.progressed(nowMs);
    if (this.#state.firstByteMs !== undefined) {
      this.#state.longestPauseMs = Math.max(
        this.#state.longestPauseMs,
        pauseMs,
      );
      return;
    }
    this.#state.firstByteMs = nowMs - this.#state.startedAtMs;
    this.#state.context.metrics.observeMs(
      "first_byte_ms",
      this.#state.firstByteMs,
    );
  }

  /** Records once that the prompt's answer goes on or is complete. */
  recordSound(
    attempt: Attempt,
    { isComplete }: { readonly isComplete: boolean },
  ): void {
    const { headAtMs: beganAtMs } = attempt;
    const { versions } = this.#state.context;
    if (isComplete) versions?.answered(attempt);
    else versions?.began(attempt);
    if (attempt.isKnownSound || beganAtMs === undefined) return;
    attempt.isKnownSound = this.#state.context.crashGuard.recordProgress(
      this.#state.suspects,
      { beganAtMs, isComplete },
    );
  }

  /**
   * Unless this VM's own links may be at fault. A VM that forwards tells of the
   * servers that it does not reach itself.
   */
  recordSilence({ server, forwarder }: Attempt): void {
    const { paths, registry } = this.#state.context;
    const { id, service } = server.listed;
    if (forwarder !== undefined || paths.isCutOff(service)) return;
    registry.recordSilence(id, this.#state.nowMs());
  }

  /** Records that the connection was lost; its engine may have crashed. */
  recordLoss(attempt: Attempt): void {
    const { server, headAtMs, hasEvents, isKnownSound, forwarder } = attempt;
    // A VM that forwards sees for itself whether the engine has ended.
    if (forwarder !== undefined) return;
    this.#state.context.paths.suspect(server.listed);
    if (headAtMs === undefined) {
      const { paths } = this.#state.context;
      paths.noteUnanswered(server.listed, attempt.startedAtMs);
    }
    void this.#state.context.crashGuard.recordLoss(this.#state.suspects, {
      server: server.listed,
      headAtMs,
      hasEvents,
      isKnownSound,
    });
  }

  /** Records an attempt that may have run and has no complete answer. */
  recordBroken(attempt: Attempt, reason: string, shownBy: FaultSource): void {
    const { id } = attempt.server.listed;
    this.#judgeVersion(attempt, shownBy);
    if (shownBy === "connection") this.#blame(attempt, reason);
    if (shownBy === "answer") {
      this.#state.context.registry.recordFailure(id, this.#state.nowMs());
    }
    this.#state.logDecision("attempt_broken", {
      server: id,
      reason,
      afterMs: Math.round(this.#state.nowMs() - attempt.startedAtMs),
      hasHead: attempt.headAtMs !== undefined,
      hasBegun: this.#state.relay.hasBegun,
      digest: this.#state.request.digest,
      segments: this.#state.request.work?.prompt.map(({ id }) => id),
    });
    this.#state.context.metrics.count("broken_attempts", {
      phase: phaseOf(attempt, this.#state.relay),
    });
  }

  /** A lost connection tells of the version unless a link may be at fault. */
  #judgeVersion(attempt: Attempt, shownBy: FaultSource): void {
    const { paths, versions } = this.#state.context;
    const mayBeLink = attempt.forwarder !== undefined ||
      paths.isCutOff(attempt.server.listed.service);
    if (shownBy === "answer") versions?.failed(attempt);
    else if (mayBeLink) versions?.dropped(attempt);
    else versions?.lost(attempt);
  }

  /** Records that the request is taken back; the server is not to blame. */
  recordWithdrawn(attempt: Attempt, reason: string): void {
    const nowMs = this.#state.nowMs();
    const { server, forwarder, expectedWeights: weights } = attempt;
    this.#state.logDecision("attempt_withdrawn", {
      server: server.listed.id,
      forwarder: forwarder?.vm,
      reason,
      weights,
      replacedMs: this.#state.weights.replacedMs(weights, nowMs),
      afterMs: Math.round(nowMs - attempt.startedAtMs),
    });
    this.#state.context.metrics.count("withdrawn_attempts");
  }

  /** Records that an attempt had no complete answer by the deadline. */
  recordExpired(
    { server, forwarder }: Attempt,
    { isCallerBlocked }: { readonly isCallerBlocked: boolean },
  ): void {
    const { paths, registry } = this.#state.context;
    const isPlain = !isStream(this.#state.request.route.kind);
    const isOwn = forwarder === undefined;
    if (isOwn) paths.suspect(server.listed);
    const mayBeLink = !isOwn || paths.isCutOff(server.listed.service);
    if (isPlain && !isCallerBlocked && !mayBeLink) {
      registry.recordFailure(server.listed.id, this.#state.nowMs());
    }
  }

  /** Counts a lost connection against whoever may have caused it. */
  #blame(attempt: Attempt, reason: string): void {
    const { paths, registry } = this.#state.context;
    const { server, forwarder } = attempt;
    if (forwarder !== undefined) {
      // Its own links, or the way to it, may be at fault as well.
      return paths.recordForwarderFailure(forwarder);
    }
    if (reason === "silent") return this.recordSilence(attempt);
    if (paths.isCutOff(server.listed.service)) return;
    registry.recordFailure(server.listed.id, this.#state.nowMs());
  }

  /** Records once that an attempt is silent; its server may have ended. */
  suspect(attempt: Attempt): void {
    if (attempt.isSuspect) return;
    attempt.isSuspect = true;
    const { address } = attempt.server.listed;
    this.#state.context.client.closeIdleConnections(address);
    this.recordLoss(attempt);
    this.#blame(attempt, "silent");
  }

  /** Whether the attempt has been silent for longer than it may be. */
  isSilent(
    attempt: Attempt,
    at: { readonly canRetry: boolean; readonly nowMs: number },
  ): boolean {
    const { request, relay } = this.#state;
    const limitMs = silenceTimeoutMs(request, {
      hasBegun: relay.hasBegun,
      canRetry: at.canRetry,
      isServerSilent: attempt.server.lastReceivedMs <= attempt.startedAtMs,
    });
    return at.nowMs - attempt.lastProgressMs > limitMs;
  }

  /**
   * Whether the attempt waits on a connection that this VM has likely lost, and
   * the request can go on through another VM.
   */
  isCutOff(attempt: Attempt, nowMs: number): boolean {
    const { server, forwarder, lastProgressMs } = attempt;
    return forwarder === undefined && this.#state.hasAttemptsLeft() &&
      isRepeatable(this.#state.request.route.kind) &&
      nowMs - Math.max(lastProgressMs, server.lastReceivedMs) >
        STREAM_SILENCE_MS &&
      this.#state.context.paths.isCutOff(server.listed.service);
  }

  /**
   * Notes that nothing has come for the attempt for some time, unless it went
   * on a connection that was kept and others of its server are answered.
   */
  detectUnanswered(attempt: Attempt, nowMs: number): void {
    const { server, forwarder, startedAtMs, connectedAtMs } = attempt;
    const isAnswered = attempt.headAtMs !== undefined ||
      (connectedAtMs === undefined && server.lastReceivedMs > startedAtMs);
    const isWaiting = forwarder === undefined && attempt.wasSent &&
      nowMs - startedAtMs > UNANSWERED_MS;
    if (!isWaiting || isAnswered) return;
    this.#state.context.paths.noteUnanswered(server.listed, startedAtMs);
  }

  /** Records a server as silent when none of its streams has sent an event. */
  detectSilentStreams(attempt: Attempt, nowMs: number): void {
    const { listed, lastReceivedMs, silentUntilMs } = attempt.server;
    const isPaused = attempt.forwarder === undefined &&
      this.#state.relay.hasBegun &&
      isStream(this.#state.request.route.kind) &&
      nowMs - lastReceivedMs > STREAM_SILENCE_MS &&
      // The pause of a caller that reads again is not the server's.
      nowMs - attempt.lastProgressMs > STREAM_SILENCE_MS;
    if (!isPaused || nowMs < silentUntilMs) return;
    this.#state.logDecision("server_silent", {
      server: listed.id,
      heardAgoMs: Math.round(nowMs - lastReceivedMs),
    });
    this.#state.context.paths.suspect(listed);
    this.recordSilence(attempt);
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
