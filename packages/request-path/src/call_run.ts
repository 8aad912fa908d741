/**
 * Runs one call: places it, sends attempts, relays the answer, repeats or
 * resumes where that is allowed, and refuses truthfully where it is not.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import type { BackendServerId } from "@endivebend/types";
import { AnswerRelay } from "./answer_relay.ts";
import { patienceMs } from "./patience.ts";
import {
  type CachePlan,
  placeCall,
  type PlacementContext,
} from "./placement.ts";
import type {
  AnswerHead,
  AttemptFailure,
  AttemptHandle,
  CallerSink,
  DecisionLog,
  PathMetrics,
  RefusalReason,
  ServerClient,
} from "./ports.ts";
import type { KnownServer, MemoryId } from "./server_registry.ts";
import { type Call, isRepeatable, isStream, urgencyOf } from "./types.ts";

/** The tasks and state that all calls share. */
export interface CallContext extends PlacementContext {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly client: ServerClient;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
  /** Takes one repetition from the shared budget. */
  tryRepeat(call: Call): boolean;
  /** Called once, when the call has ended. */
  ended(call: Call, outcome: { readonly hasRun: boolean }): void;
}

/** Attempts that reached no server or that a server refused to run. */
const MAX_UNRUN_ATTEMPTS = 3;
/** How often a running attempt is checked for silence. */
const CHECK_MS = 100;
/** Events of an engine's streams are some 40 ms apart, 100 ms in a prefill. */
const SILENT_STREAMS_MS = 400;
/** A connection to a server that was heard this lately is alive. */
const HEARD_MS = 1_000;
/** The server's own answer at its deadline needs a moment to arrive. */
const DEADLINE_GRACE_MS = 60;
/** Repeating with less time left is of no use. */
const MIN_USEFUL_MS = 50;
/** Wait that a refusal asks for while no server is known or free. */
const RETRY_AFTER_MS = 600;
/** Returns are spread over this share of the wait, so that no herd forms. */
const RETRY_SPREAD = 0.5;

interface Attempt {
  readonly server: KnownServer;
  readonly startedAtMs: number;
  handle: AttemptHandle | undefined;
  wasSent: boolean;
  lastProgressMs: number;
}

/** A running call. */
export class CallRun {
  readonly #context: CallContext;
  readonly #call: Call;
  readonly #caller: CallerSink;
  readonly #relay: AnswerRelay;
  readonly #startedAtMs: number;
  readonly #exclude = new Set<BackendServerId>();
  #attempt: Attempt | undefined;
  #cancelTimer = () => {};
  #hasEnded = false;
  #isBlocked = false;
  /** From the start to the first bytes of an answer. */
  #firstByteMs: number | undefined;
  /** Between two pieces of the answer; a stream with a long one is late. */
  #longestPauseMs = 0;
  /** Attempts that may have run the call. */
  #ranAttempts = 0;
  #unrunAttempts = 0;

  constructor(context: CallContext, call: Call, caller: CallerSink) {
    this.#context = context;
    this.#call = call;
    this.#caller = caller;
    this.#startedAtMs = this.#nowMs();
    this.#relay = new AnswerRelay(call, caller);
  }

  start(): void {
    this.#startAttempt();
    this.#check();
  }

  /** The caller reads again. */
  callerReady(): void {
    this.#isBlocked = false;
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    attempt.lastProgressMs = this.#nowMs();
    attempt.handle?.resume();
  }

  /** The caller has closed its connection. */
  callerGone(): void {
    if (this.#hasEnded) return;
    this.#note("caller_gone", {});
    this.#dropAttempt();
    this.#end("gone");
  }

  #nowMs(): number {
    return steadyMs(this.#context.clock);
  }

  #finalAtMs(): number {
    return Math.min(this.#call.deadlineMs, this.#call.timeoutAtMs);
  }

  #startAttempt(): void {
    const nowMs = this.#nowMs();
    if (this.#finalAtMs() - nowMs < MIN_USEFUL_MS) {
      return this.#giveUp("deadline_passed");
    }
    const exclude = this.#exclude;
    const placement = placeCall(this.#call, {
      ...this.#context,
      exclude,
      hasBegun: this.#relay.hasBegun,
      nowMs,
    });
    if (placement.kind === "refused") {
      return this.#giveUp(placement.reason, placement.returnInMs);
    }
    const { server, choice, cache } = placement;
    this.#note("place", {
      server: server.listed.id,
      scoreMs: Math.round(choice.scoreMs),
      waitMs: Math.round(choice.waitMs),
      cachedTokens: choice.cachedTokens,
      tokensToRead: cache.tokensToRead,
      weights: cache.weights,
      fetchFrom: cache.fetchFrom,
      candidates: choice.candidateCount,
      attempt: this.#ranAttempts + this.#unrunAttempts + 1,
    });
    this.#send(server, { nowMs, cache });
  }

  #send(
    server: KnownServer,
    at: { readonly nowMs: number; readonly cache: CachePlan },
  ): void {
    const { nowMs, cache } = at;
    const { registry, client } = this.#context;
    const call = this.#call;
    server.own.set(call.requestId, { prefillTokens: cache.tokensToRead });
    registry.notePlaced(server.listed.id, cache.parts, nowMs);
    registry.recentParts.add(server.listed.id, cache.parts, nowMs);
    if (cache.saveTo !== undefined) {
      const store = cache.saveTo as MemoryId;
      registry.notePlaced(store, cache.parts, nowMs);
      registry.recentParts.add(store, cache.parts, nowMs);
    }
    const attempt: Attempt = {
      server,
      startedAtMs: nowMs,
      handle: undefined,
      wasSent: false,
      lastProgressMs: nowMs,
    };
    this.#attempt = attempt;
    // An idle connection may have gone silent, and the call could then neither
    // be answered nor be sent again; a new one fails before the call is sent.
    const isRisky = !isRepeatable(call.route.kind) &&
      nowMs - server.lastHeardMs > HEARD_MS;
    if (isRisky) client.dropIdle(server.listed.address);
    attempt.handle = client.start({
      call,
      server: {
        id: server.listed.id,
        address: server.listed.address,
        service: server.listed.service,
        failureDomain: server.listed.failureDomain,
      },
      deadlineMs: this.#finalAtMs(),
      resumeAfter: this.#relay.lastEventId ?? call.resumeAfter,
      cache,
      cacheScope: call.work && cache.scope,
      urgency: urgencyOf(call),
    }, {
      sent: () => {
        attempt.wasSent = true;
      },
      head: (head) => this.#onHead(attempt, head),
      data: (chunk) => this.#onData(attempt, chunk),
      end: () => this.#onEnd(attempt),
      failed: (failure) => this.#onFailed(attempt, failure),
    });
  }

  #onHead(attempt: Attempt, head: AnswerHead): void {
    if (this.#attempt !== attempt) return;
    this.#noteProgress(attempt);
    const { registry } = this.#context;
    const { id } = attempt.server.listed;
    if (head.load !== undefined) {
      registry.noteLoad(id, head.load, this.#nowMs());
    }
    if (head.isMisdirected) return this.#misdirected(attempt, head);
    if (head.isNotRun) return this.#unrun(attempt, `not_run_${head.status}`);
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !head.hasProof) {
      return this.#broken(attempt, "no_proof");
    }
    if (!isSuccess && this.#repeatsFailure(head)) {
      return this.#broken(attempt, `status_${head.status}`);
    }
    this.#relay.head(head);
  }

  /** Another server has the address, or the weights are other ones. */
  #misdirected(attempt: Attempt, head: AnswerHead): void {
    const { registry } = this.#context;
    const { id } = attempt.server.listed;
    const model = this.#call.work?.model;
    const named = model && this.#context.namedWeights(model).at(-1);
    if (head.isExpectedServer && model !== undefined && named !== undefined) {
      registry.noteWeights(id, model, named.weights);
      return this.#unrun(attempt, "other_weights");
    }
    registry.noteMoved(id);
    this.#unrun(attempt, "other_server");
  }

  /** A failure that a server answered may be worth another server. */
  #repeatsFailure(head: AnswerHead): boolean {
    if (this.#relay.hasBegun) return true;
    return head.status >= 500 && isRepeatable(this.#call.route.kind) &&
      this.#mayRunAgain();
  }

  #mayRunAgain(): boolean {
    return this.#ranAttempts + 1 < this.#call.route.maxAttempts;
  }

  #onData(attempt: Attempt, chunk: Buffer): void {
    if (this.#attempt !== attempt) return;
    if (this.#firstByteMs !== undefined) {
      const pauseMs = this.#nowMs() - attempt.lastProgressMs;
      this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    }
    this.#noteProgress(attempt);
    const work = attempt.server.own.get(this.#call.requestId);
    if (work !== undefined) work.prefillTokens = 0;
    if (this.#firstByteMs === undefined) {
      this.#firstByteMs = this.#nowMs() - this.#startedAtMs;
      this.#context.metrics.observeMs("first_byte_ms", this.#firstByteMs);
    }
    if (this.#relay.data(chunk)) return;
    this.#isBlocked = true;
    attempt.handle?.pause();
  }

  #onEnd(attempt: Attempt): void {
    if (this.#attempt !== attempt) return;
    if (this.#relay.endsTooEarly) return this.#broken(attempt, "cut_event");
    this.#context.registry.noteSuccess(attempt.server.listed.id);
    this.#releaseAttempt();
    this.#relay.end();
    this.#end("answered");
  }

  #onFailed(attempt: Attempt, failure: AttemptFailure): void {
    if (this.#attempt !== attempt) return;
    if (failure.kind === "unsent" && !attempt.wasSent) {
      this.#context.registry.noteSilent(
        attempt.server.listed.id,
        this.#nowMs(),
      );
      return this.#unrun(attempt, failure.reason);
    }
    this.#broken(attempt, failure.reason);
  }

  /** The call has not run at this server. */
  #unrun(attempt: Attempt, reason: string): void {
    const { listed } = attempt.server;
    this.#note("attempt_unrun", { server: listed.id, reason });
    this.#dropAttempt();
    this.#exclude.add(listed.id);
    this.#unrunAttempts += 1;
    const mayGoOn = this.#unrunAttempts < MAX_UNRUN_ATTEMPTS &&
      this.#context.tryRepeat(this.#call);
    if (mayGoOn) return this.#startAttempt();
    this.#giveUp("overloaded");
  }

  /** The call may have run at this server and has no whole answer. */
  #broken(attempt: Attempt, reason: string): void {
    const { listed } = attempt.server;
    this.#note("attempt_broken", {
      server: listed.id,
      reason,
      afterMs: Math.round(this.#nowMs() - attempt.startedAtMs),
      hasBegun: this.#relay.hasBegun,
    });
    if (reason === "silent") {
      this.#context.registry.noteSilent(listed.id, this.#nowMs());
    } else {
      this.#context.registry.noteFailure(listed.id, this.#nowMs());
    }
    this.#dropAttempt();
    this.#ranAttempts += 1;
    this.#exclude.add(listed.id);
    const mayGoOn = isRepeatable(this.#call.route.kind) &&
      this.#ranAttempts < this.#call.route.maxAttempts &&
      this.#relay.canResume && this.#context.tryRepeat(this.#call);
    if (mayGoOn) return this.#startAttempt();
    this.#giveUp(reason === "silent" ? "server_silent" : "server_failed");
  }

  #giveUp(reason: RefusalReason, returnInMs = RETRY_AFTER_MS): void {
    if (this.#hasEnded) return;
    if (this.#relay.hasBegun) {
      this.#note("break_off", { reason });
      this.#caller.breakOff();
      return this.#end("broken_off");
    }
    const isNotRun = this.#ranAttempts === 0;
    const retryAfterMs = isNotRun
      ? Math.round(returnInMs * (1 + RETRY_SPREAD * Math.random()))
      : undefined;
    this.#note("refuse", { reason, isNotRun, retryAfterMs });
    this.#caller.refuse({ reason, isNotRun, retryAfterMs });
    this.#end("refused");
  }

  #noteProgress(attempt: Attempt): void {
    attempt.lastProgressMs = this.#nowMs();
    this.#context.registry.noteHeard(
      attempt.server.listed.id,
      attempt.lastProgressMs,
    );
  }

  /** Ends waits that have become too long; runs until the call ends. */
  #check(): void {
    if (this.#hasEnded) return;
    this.#cancelTimer = this.#context.scheduler.after(
      CHECK_MS,
      () => this.#check(),
    );
    const nowMs = this.#nowMs();
    const attempt = this.#attempt;
    if (nowMs >= this.#finalAtMs() + DEADLINE_GRACE_MS) {
      return this.#expire();
    }
    if (attempt === undefined || this.#isBlocked) return;
    this.#watchStreams(attempt, nowMs);
    const limitMs = patienceMs(this.#call, {
      hasBegun: this.#relay.hasBegun,
      mayRunAgain: this.#mayRunAgain(),
      isServerSilent: attempt.server.lastHeardMs <= attempt.startedAtMs,
    });
    if (nowMs - attempt.lastProgressMs <= limitMs) return;
    this.#context.client.dropIdle(attempt.server.listed.address);
    this.#broken(attempt, "silent");
  }

  /** A server whose streams all pause has likely fallen silent. */
  #watchStreams(attempt: Attempt, nowMs: number): void {
    const { listed, lastHeardMs, silentUntilMs } = attempt.server;
    const isPaused = this.#relay.hasBegun &&
      isStream(this.#call.route.kind) &&
      nowMs - lastHeardMs > SILENT_STREAMS_MS;
    if (!isPaused || nowMs < silentUntilMs) return;
    this.#note("server_silent", {
      server: listed.id,
      heardAgoMs: Math.round(nowMs - lastHeardMs),
    });
    this.#context.registry.noteSilent(listed.id, nowMs);
  }

  #expire(): void {
    const attempt = this.#attempt;
    if (attempt?.wasSent) {
      this.#ranAttempts += 1;
      if (!this.#relay.hasBegun && !isStream(this.#call.route.kind)) {
        this.#context.registry.noteFailure(
          attempt.server.listed.id,
          this.#nowMs(),
        );
      }
    }
    this.#dropAttempt();
    this.#giveUp("deadline_passed");
  }

  #dropAttempt(): void {
    this.#attempt?.handle?.abort();
    this.#releaseAttempt();
  }

  #releaseAttempt(): void {
    const attempt = this.#attempt;
    this.#attempt = undefined;
    attempt?.server.own.delete(this.#call.requestId);
  }

  #end(outcome: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelTimer();
    const durationMs = this.#nowMs() - this.#startedAtMs;
    this.#context.metrics.count("calls", { outcome });
    this.#context.metrics.observeMs("call_ms", durationMs);
    this.#note("end", {
      outcome,
      firstByteMs: this.#firstByteMs && Math.round(this.#firstByteMs),
      longestPauseMs: Math.round(this.#longestPauseMs),
      durationMs: Math.round(durationMs),
    });
    const hasRun = this.#ranAttempts > 0 || this.#relay.hasBegun ||
      outcome === "answered";
    this.#context.ended(this.#call, { hasRun });
  }

  #note(step: string, fields: Readonly<Record<string, unknown>>): void {
    this.#context.log.decision(step, {
      requestId: this.#call.requestId,
      ...fields,
    });
  }
}
