/**
 * Runs one model request: drives the stream state machine over attempts at
 * engines and forwards the generated text to the caller.
 *
 * @module
 */

import {
  createError,
  ERROR_DETAILS,
  isEndivebendError,
} from "@endivebend/errors";
import {
  createStreamState,
  type EngineUsage,
  type StreamEffect,
  type StreamEvent,
  type StreamState,
} from "@endivebend/streams";
import type { TraceSpan } from "@endivebend/telemetry";
import type { AttemptId, BackendServerId } from "@endivebend/types";
import { encodeAttemptBody } from "./attempt_body.ts";
import type {
  AttemptFailure,
  AttemptSink,
  EngineHeaders,
  RunningAttempt,
} from "./attempt_client.ts";
import { DeadlineTimer } from "./deadline_timer.ts";
import type { Selection } from "./engine_selector.ts";
import { placeAttempt, type PlacedAttempt } from "./place_attempt.ts";
import type { RunContext, RunInput } from "./run_context.ts";
import type { HeldSlot } from "./slot_client.ts";

type StartAttempt = Extract<StreamEffect, { kind: "start_attempt" }>;
type EventBody = StreamEvent extends infer Event
  ? Event extends { readonly nowMs: number } ? Omit<Event, "nowMs"> : never
  : never;

/** The first token takes longer than the gaps between later tokens. */
const FIRST_TOKEN_TIMEOUT_FACTOR = 6;
const MAX_ATTEMPTS = 5;
const PLACEMENT_TTL_MS = 30_000;
const REACHABILITY_CHECK_INTERVAL_MS = 1000;
const UNREACHABLE_FAILURE: AttemptFailure = {
  reason: "No daemon has reported on the engine for a while",
  retryable: true,
  isLeaving: false,
  isConnectionLost: true,
  isWeightsMismatch: false,
};

interface CurrentAttempt {
  readonly id: AttemptId;
  /** Aborts the wait for a slot. */
  readonly slotWait: AbortController;
  engine: BackendServerId | undefined;
  slot: HeldSlot | undefined;
  running: RunningAttempt | undefined;
  span: TraceSpan | undefined;
  sentAtMs: number;
  firstTokenAtMs: number;
  hasToken: boolean;
  /** Cancels the next check whether the engine is reachable. */
  cancelReachabilityCheck: () => void;
}

/** A running model request. */
export class ModelRun {
  readonly #context: RunContext;
  readonly #input: RunInput;
  readonly #state: StreamState;
  readonly #avoidedEngines = new Set<BackendServerId>();
  #attempt: CurrentAttempt | undefined;
  #lastFailure: Error | undefined;
  #lastEngine: BackendServerId | undefined;
  #isCallerBlocked = false;
  /** Whether overload may explain the failure of the last attempt. */
  #isLoadFailure = false;
  readonly #timer: DeadlineTimer;

  constructor(context: RunContext, input: RunInput) {
    this.#context = context;
    this.#input = input;
    this.#timer = new DeadlineTimer(
      context.scheduler,
      () => this.#handle({ kind: "tick" }),
    );
    this.#state = createStreamState({
      requestId: input.requestId,
      maxTokens: input.request.maxTokens,
      progressTimeoutMs: context.progressTimeoutMs,
      firstTokenTimeoutMs: context.progressTimeoutMs *
        FIRST_TOKEN_TIMEOUT_FACTOR,
      deadlineMs: input.deadlineElapsedMs,
      maxAttempts: MAX_ATTEMPTS,
      allowRetry: () => this.#allowRetry(),
    });
  }

  start(): void {
    this.#handle({ kind: "start" });
  }

  /** Whether the request may have reached an engine. */
  get wasSent(): boolean {
    return this.#lastEngine !== undefined;
  }

  /** Resumes the stream when the caller reads again. */
  callerReady(): void {
    if (!this.#isCallerBlocked) return;
    this.#isCallerBlocked = false;
    this.#attempt?.running?.resume();
    this.#handle({ kind: "caller_ready" });
  }

  /** Ends the run: the caller has left or must not be served any more. */
  abandon(): void {
    this.#handle({ kind: "caller_gone" });
    this.#endAttempt();
    this.#timer.stop();
  }

  #handle(event: EventBody): void {
    const nowMs = this.#context.clock.elapsedMs();
    const effects = this.#state.handle({ ...event, nowMs } as StreamEvent);
    for (const effect of effects) this.#perform(effect);
    if (this.#state.hasEnded) this.#endAttempt();
    this.#timer.set(this.#state.nextDeadlineMs(), nowMs);
  }

  #perform(effect: StreamEffect): void {
    const handler = this.#effects[effect.kind] as (
      effect: StreamEffect,
    ) => void;
    handler(effect);
  }

  readonly #effects: {
    readonly [Kind in StreamEffect["kind"]]: (
      effect: Extract<StreamEffect, { kind: Kind }>,
    ) => void;
  } = {
    forward: ({ text }) => this.#forward(text),
    start_attempt: (effect) => void this.#startAttempt(effect),
    cancel_attempt: ({ attemptId, reason }) => {
      if (this.#attempt?.id !== attemptId) return;
      this.#explain("cancel", { reason, engine: this.#attempt.engine });
      this.#recordDroppedAttempt(reason);
      this.#endAttempt();
    },
    finish: ({ finishReason, usage, completionTokens }) => {
      this.#attempt?.running?.finish();
      this.#learnCosts(usage);
      this.#input.sink.finish({
        finishReason,
        usage: {
          promptTokens: usage?.promptTokens ?? this.#input.request.promptTokens,
          completionTokens,
          cachedTokens: usage?.cachedTokens ?? 0,
        },
      });
    },
    fail: ({ code, ran, message }) => {
      const lastFailure = this.#lastFailure;
      const hasSameCode = isEndivebendError(lastFailure) &&
        lastFailure.code === code;
      const error = hasSameCode && lastFailure.ran === ran
        ? lastFailure
        : createError(code, message, {
          ran,
          cause: lastFailure,
          ...retryHint(code),
        });
      this.#explain("fail", { code, ran, message });
      this.#input.sink.fail(error);
    },
  };

  /** A complete answer states how many tokens the engine prefilled. */
  #learnCosts(usage: EngineUsage | undefined): void {
    const attempt = this.#attempt;
    if (attempt?.engine === undefined || usage === undefined) return;
    this.#context.directory.learnedCosts(attempt.engine).observePrefill({
      tokens: usage.promptTokens - usage.cachedTokens,
      durationMs: attempt.firstTokenAtMs - attempt.sentAtMs,
    });
  }

  #forward(text: string): void {
    const attempt = this.#attempt;
    if (attempt !== undefined && !attempt.hasToken) {
      attempt.hasToken = true;
      this.#recordFirstToken(attempt);
    }
    if (this.#input.sink.text(text) || this.#isCallerBlocked) return;
    this.#isCallerBlocked = true;
    attempt?.running?.pause();
    this.#handle({ kind: "caller_backpressure" });
  }

  #recordFirstToken(attempt: CurrentAttempt): void {
    attempt.firstTokenAtMs = this.#context.clock.elapsedMs();
    attempt.slot?.markPrefilled();
    if (attempt.engine === undefined) return;
    const { directory } = this.#context;
    directory.placements.markPrefilled(attempt.engine, this.#input.requestId);
  }

  async #startAttempt(effect: StartAttempt): Promise<void> {
    const attempt: CurrentAttempt = {
      id: effect.attemptId,
      slotWait: new AbortController(),
      engine: undefined,
      slot: undefined,
      running: undefined,
      span: undefined,
      sentAtMs: 0,
      firstTokenAtMs: 0,
      hasToken: false,
      cancelReachabilityCheck: () => {},
    };
    this.#attempt = attempt;
    if (effect.attemptNumber > 1) {
      this.#context.metrics.increment("attempts.repeated");
      this.#explain("resume", {
        reason: effect.reason,
        fromToken: effect.resumeFrom,
      });
    }
    try {
      const { selection, slot } = await this.#place(effect, attempt);
      if (this.#attempt !== attempt) return slot.release();
      attempt.engine = selection.plan.engine;
      attempt.slot = slot;
      this.#send({ effect, attempt, selection });
    } catch (caught) {
      this.#failBeforeSending(attempt, caught);
    }
  }

  #place(
    effect: StartAttempt,
    attempt: CurrentAttempt,
  ): Promise<PlacedAttempt> {
    const { requestId, team, request, span } = this.#input;
    return placeAttempt(this.#context, {
      requestId,
      attemptId: attempt.id,
      team,
      request,
      span,
      weightsVersion: effect.weightsVersion,
      avoidedEngines: this.#avoidedEngines,
      deadlineElapsedMs: this.#queueDeadline(effect),
      signal: attempt.slotWait.signal,
    });
  }

  /**
   * Returns when the wait for a slot ends. A resumed stream gets a new wait, as
   * the deadline of its first wait may have passed while it ran.
   */
  #queueDeadline(effect: StartAttempt): number {
    const { queueDeadlineElapsedMs, queueWaitMs, deadlineElapsedMs } =
      this.#input;
    if (effect.attemptNumber === 1) return queueDeadlineElapsedMs;
    const nowMs = this.#context.clock.elapsedMs();
    return Math.min(deadlineElapsedMs, nowMs + queueWaitMs);
  }

  #send(options: {
    readonly effect: StartAttempt;
    readonly selection: Selection;
    readonly attempt: CurrentAttempt;
  }): void {
    const { effect, selection, attempt } = options;
    const { request, requestId } = this.#input;
    const { clock, connections, directory, tracing } = this.#context;
    const nowMs = clock.elapsedMs();
    this.#lastEngine = selection.plan.engine;
    if (effect.attemptNumber === 1) {
      this.#context.retryBudget.recordRequest(this.#retryBudgetUse());
    }
    directory.placements.add({
      ...selection.plan.tag,
      requestId,
      blocks: selection.blocks,
      prefillTokens: selection.plan.prefillTokens,
      placedAtMs: nowMs,
      deadlineMs: nowMs + PLACEMENT_TTL_MS,
    });
    attempt.sentAtMs = nowMs;
    attempt.span = tracing.startSpan("engine", {
      parent: this.#input.span,
      kind: "client",
      attributes: {
        "engine.id": selection.plan.engine,
        "engine.expected_hit_blocks": selection.plan.expectedHitBlocks,
      },
    });
    attempt.running = connections.start(selection.entry.address, {
      request: {
        path: request.shape === "chat"
          ? "/v1/chat/completions"
          : "/v1/completions",
        body: encodeAttemptBody({
          request,
          selection,
          requestId,
          attemptId: attempt.id,
          resumeFrom: effect.resumeFrom,
          generatedText: effect.generatedText,
          priority: attempt.slot?.enginePriority ?? 1,
        }),
        headers: { ...attempt.span.headers, "x-request-id": requestId },
      },
      sink: this.#createSink(attempt),
    });
    if (this.#isCallerBlocked) attempt.running.pause();
    this.#scheduleReachabilityCheck(attempt);
  }

  /**
   * Checks at intervals whether the engine is reachable, until the first token
   * arrives. A long prefill is legitimate, so the timeout of the first token is
   * too long to detect a partition; missing load reports show it in seconds.
   */
  #scheduleReachabilityCheck(attempt: CurrentAttempt): void {
    const { scheduler, selector } = this.#context;
    attempt.cancelReachabilityCheck = scheduler.after(
      REACHABILITY_CHECK_INTERVAL_MS,
      () => {
        if (this.#attempt !== attempt || attempt.hasToken) return;
        const isReachable = attempt.engine !== undefined &&
          !selector.isStale(attempt.engine);
        if (isReachable) return this.#scheduleReachabilityCheck(attempt);
        attempt.running?.cancel();
        this.#onFailed(attempt, UNREACHABLE_FAILURE);
      },
    );
  }

  #createSink(attempt: CurrentAttempt): AttemptSink {
    const attemptId = attempt.id;
    return {
      started: () => this.#handle({ kind: "attempt_started", attemptId }),
      headers: (engine) => {
        this.#recordEngineHeaders(attempt, engine);
        const { weightsVersion } = engine;
        this.#handle({ kind: "attempt_headers", attemptId, weightsVersion });
      },
      message: (message) => this.#handle({ kind: "chunk", attemptId, message }),
      ended: () => this.#handle({ kind: "attempt_ended", attemptId }),
      failed: (failure) => this.#onFailed(attempt, failure),
    };
  }

  /** The engine is the best source for its own incarnation and weights. */
  #recordEngineHeaders(attempt: CurrentAttempt, engine: EngineHeaders): void {
    if (attempt.engine === undefined || engine.incarnation === "") return;
    const asOfMs = this.#context.clock.elapsedMs();
    this.#context.membershipRecorder.recordServerAnswer(attempt.engine, {
      ...engine,
      asOfMs,
    });
  }

  #onFailed(attempt: CurrentAttempt, failure: AttemptFailure): void {
    const { engine } = attempt;
    if (failure.engine !== undefined) {
      this.#recordEngineHeaders(attempt, failure.engine);
    }
    if (engine !== undefined) {
      this.#avoidedEngines.add(engine);
      if (failure.isLeaving) {
        this.#context.membershipRecorder.recordServerLeaving(engine);
      }
      if (failure.isConnectionLost) {
        this.#context.membershipRecorder.recordServerFailure(engine);
      }
    }
    this.#isLoadFailure = !failure.isConnectionLost && !failure.isLeaving &&
      !failure.isWeightsMismatch;
    attempt.span?.end(failure.reason);
    this.#explain("attempt_failed", { engine, reason: failure.reason });
    this.#releaseAttempt(attempt);
    this.#handle({
      kind: "attempt_failed",
      attemptId: attempt.id,
      reason: failure.reason,
      retryable: failure.retryable,
      ...(failure.code === undefined ? {} : { code: failure.code }),
    });
  }

  #failBeforeSending(attempt: CurrentAttempt, caught: unknown): void {
    if (this.#attempt !== attempt) return;
    this.#lastFailure = caught as Error;
    const code = isEndivebendError(caught) ? caught.code : "internal";
    this.#handle({
      kind: "attempt_failed",
      attemptId: attempt.id,
      reason: (caught as Error).message,
      // Another attempt would find the same queues; the caller retries later.
      retryable: false,
      code: code in ERROR_DETAILS ? code : "internal",
    });
  }

  /**
   * Handles an attempt that was cancelled for lack of progress. The engine may
   * be healthy, so this request avoids it, but no failure is recorded.
   */
  #recordDroppedAttempt(reason: string): void {
    const engine = this.#attempt?.engine;
    if (engine === undefined || this.#state.hasEnded) return;
    this.#isLoadFailure = true;
    this.#context.metrics.increment("attempts.dropped", { reason });
    this.#avoidedEngines.add(engine);
  }

  /**
   * The budget keeps retries from amplifying an overload. An attempt whose
   * engine is gone leaves no load behind, and a started stream must be
   * completed, so both are limited by the number of attempts only.
   */
  #allowRetry(): boolean {
    const isExempt = !this.#isLoadFailure || this.#state.nextTokenIndex > 0;
    if (isExempt || this.#lastEngine === undefined) return true;
    const allowed = this.#context.retryBudget.tryRetry(this.#retryBudgetUse());
    if (!allowed) this.#context.metrics.increment("retries.refused");
    return allowed;
  }

  #retryBudgetUse() {
    return {
      team: this.#input.team,
      server: this.#lastEngine!,
      nowMs: this.#context.clock.elapsedMs(),
    };
  }

  #endAttempt(): void {
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    this.#attempt = undefined;
    if (attempt.slot === undefined) attempt.slotWait.abort();
    attempt.running?.cancel();
    attempt.span?.end();
    this.#releaseAttempt(attempt);
  }

  #releaseAttempt(attempt: CurrentAttempt): void {
    attempt.cancelReachabilityCheck();
    attempt.slot?.release();
    attempt.slot = undefined;
    if (attempt.engine === undefined || attempt.hasToken) return;
    const { placements } = this.#context.directory;
    placements.remove(attempt.engine, this.#input.requestId);
  }

  #explain(step: string, chosen: unknown): void {
    this.#context.explainer.record(this.#input.requestId, { step, chosen });
  }
}

const RETRY_HINT_MS = 1000;

function retryHint(code: string): { readonly retryAfterMs?: number } {
  const isTemporary = code === "no_backend_server" ||
    code === "deadline_exceeded";
  return isTemporary ? { retryAfterMs: RETRY_HINT_MS } : {};
}
