/**
 * Opens attempts of one request and sends them to their servers.
 *
 * @module
 */

import { originAt } from "./answer_origin.ts";
import { type Attempt, newAttempt } from "./attempt.ts";
import type { Placed } from "./attempt_places.ts";
import type { CachePlan } from "./placement.ts";
import type { AnswerHead, AttemptFailure } from "./ports.ts";
import type { RepeatSettlement } from "./repeat_settlement.ts";
import type { RunState } from "./run_state.ts";
import type { ServerPace } from "./server_pace.ts";
import type { KnownServer, PrefixCacheId } from "./server_registry.ts";
import { isRepeatable, isStream, isTakeUp, urgencyOf } from "./types.ts";

/** A connection is taken as alive if its server sent data this recently. */
const CONNECTION_FRESH_MS = 1_000;
/** A server takes longer than this to end and to start again. */
const RESTART_MS = 300;

/** Handles what comes of an attempt that was sent. */
export interface AttemptHandlers {
  onHead(attempt: Attempt, head: AnswerHead): void;
  onData(attempt: Attempt, chunk: Buffer): void;
  onEnd(attempt: Attempt): void;
  onFailed(attempt: Attempt, failure: AttemptFailure): void;
}

/** Sends the attempts of one request. */
export class AttemptSender {
  readonly #state: RunState;
  readonly #repeats: RepeatSettlement;
  readonly #handlers: AttemptHandlers;

  constructor(
    state: RunState,
    repeats: RepeatSettlement,
    { handlers }: { readonly handlers: AttemptHandlers },
  ) {
    this.#state = state;
    this.#repeats = repeats;
    this.#handlers = handlers;
  }

  /** Opens an attempt at the place that was found; it is not sent yet. */
  open(
    { server, choice, cache, pace, isProbe = false }: Placed,
    nowMs: number,
  ): Attempt {
    const { paths } = this.#state.context;
    const isFirst = !this.#state.relay.hasBegun &&
      !isTakeUp(this.#state.request);
    const forwarder = isFirst
      ? paths.forwarderForNewRequest(
        server.listed,
        this.#state.excludedForwarders,
      )
      : paths.forwarderFor(server.listed, this.#state.excludedForwarders);
    this.#state.logDecision("place", {
      server: server.listed.id,
      scoreMs: Math.round(choice.scoreMs),
      waitMs: Math.round(choice.waitMs),
      cachedTokens: choice.cachedTokens,
      tokensToRead: cache.tokensToRead,
      softwareVersion: server.listed.softwareVersion,
      weights: cache.weights,
      replacedMs: this.#state.weights.replacedMs(cache.weights, nowMs),
      fetchFrom: cache.fetchFrom,
      balanceMs: choice.balanceMs && Math.round(choice.balanceMs),
      candidates: choice.candidateCount,
      isProbe: isProbe || undefined,
      limitPerS: server.limit?.perS,
      ...this.#paceFields(pace),
      forwarder: forwarder?.vm,
      attempt: this.#state.possiblyRunAttempts + this.#state.notRunAttempts + 1,
      replaces: this.#state.attempt?.server.listed.id,
    });
    this.#repeats.noteOpened();
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

  send(attempt: Attempt, { cache }: Placed): void {
    const { server, forwarder, startedAtMs: nowMs } = attempt;
    const { registry, client } = this.#state.context;
    const request = this.#state.request;
    attempt.pace = this.#notePace(attempt, cache);
    server.ownWork.set(request.requestId, {
      prefillTokens: cache.tokensToRead,
    });
    this.#state.context.slots?.noteSent(server.listed.id, nowMs);
    registry.recordPlacement(server.listed.id, cache.parts, nowMs);
    registry.recentPlacements.add(server.listed.id, cache.parts, nowMs);
    if (cache.saveTo !== undefined) {
      const store = cache.saveTo as PrefixCacheId;
      registry.recordPlacement(store, cache.parts, nowMs);
      registry.recentPlacements.add(store, cache.parts, nowMs);
    }
    const { metrics } = this.#state.context;
    const replacedMs = this.#state.weights.replacedMs(cache.weights, nowMs);
    if (replacedMs !== undefined) {
      metrics.observeMs("replaced_weights_ms", replacedMs);
    }
    this.#state.context.allowances.take(server, nowMs);
    if (server.limit !== undefined) metrics.count("limited_attempts");
    if (forwarder !== undefined) metrics.count("forwarded_attempts");
    const { failureDomain } = this.#state.context;
    const isOwnDomain = server.listed.failureDomain === failureDomain;
    if (!isOwnDomain) metrics.count("other_domain_attempts");
    // An idle connection may be dead. A request sent on it would get no answer
    // and could not be retried; a new connection fails before anything is sent.
    const needsNewConnection = forwarder === undefined &&
      !isRepeatable(request.route.kind) &&
      nowMs - server.lastReceivedMs > CONNECTION_FRESH_MS;
    if (needsNewConnection) client.closeIdleConnections(server.listed.address);
    const { tokensToRead } = cache;
    this.#state.context.versions?.sent(attempt, {
      request,
      server,
      tokensToRead,
    });
    attempt.handle = client.start({
      request,
      server: {
        id: server.listed.id,
        address: server.listed.address,
        service: server.listed.service,
        failureDomain: server.listed.failureDomain,
      },
      deadlineMs: this.#state.finalDeadlineMs(),
      beginByMs: this.#state.weights.beginByMs(attempt.expectedWeights),
      resumeAfter: this.#state.relay.lastEventId ?? request.resumeAfter,
      cache,
      // An engine without a scope would share its cache with everyone.
      cacheScope: request.work !== undefined || server.listed.weights.size > 0
        ? cache.scope
        : undefined,
      urgency: urgencyOf(request),
      forwarder,
      expectedStartMs: this.#state.versionToGoOn() === undefined
        ? undefined
        : server.listed.startedAtMs,
    }, {
      connected: () => {
        if (forwarder !== undefined) return;
        attempt.connectedAtMs = this.#state.nowMs();
        this.#checkNewConnection(server);
      },
      sent: () => {
        attempt.wasSent = true;
      },
      head: (head) => this.#handlers.onHead(attempt, head),
      data: (chunk) => this.#handlers.onData(attempt, chunk),
      end: () => this.#handlers.onEnd(attempt),
      failed: (failure) => this.#handlers.onFailed(attempt, failure),
    });
  }

  /** What the pace of the server was taken to be, where it is in use. */
  #paceFields(pace: ServerPace | undefined) {
    const { context, request } = this.#state;
    if (pace === undefined || !context.pace?.isInUse(request.service)) return;
    return {
      tokensPerMs: Math.round(pace.tokensPerMs * 10) / 10,
      slowdown: Math.round(pace.slowdown * 100) / 100,
      maxRunning: pace.maxRunning,
    };
  }

  /** Starts to measure the server, before its work includes this attempt. */
  #notePace(attempt: Attempt, { tokensToRead }: CachePlan) {
    const { context, request, relay } = this.#state;
    const { server, forwarder, isProbe, startedAtMs: nowMs } = attempt;
    const replaced = this.#state.attempt;
    const isReplacement = replaced !== undefined && replaced !== attempt;
    if (isReplacement) replaced.pace?.spoil();
    return context.pace?.sent(server, {
      route: request.route.name,
      tokensToRead: request.work && tokensToRead,
      isSpoiled: forwarder !== undefined || isProbe || isReplacement ||
        relay.hasBegun || nowMs < server.loadingUntilMs,
    }, nowMs);
  }

  /**
   * Asks a server which process it is when a new connection may be the first to
   * another one. It matters only while several software versions serve.
   */
  #checkNewConnection(server: KnownServer): void {
    const { processCheck, registry } = this.#state.context;
    const nowMs = this.#state.nowMs();
    const mayBeOther = isStream(this.#state.request.route.kind) &&
      nowMs - server.lastReceivedMs > RESTART_MS &&
      registry.hasSeveralVersions(this.#state.request.service);
    if (mayBeOther && !processCheck.isFresh(server, nowMs)) {
      void processCheck.check(server);
    }
  }
}
