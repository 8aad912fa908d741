/**
 * Holds what fair shares are decided on: the open requests of this daemon, the
 * shortages that it has measured, and the usual size of requests.
 *
 * @module
 */

import type { RequestId, ServiceName, TeamId } from "@endivebend/types";
import {
  backlogMs,
  decideShare,
  hasShortage,
  mayRefuse,
  type ServiceRoom,
  type ShareRefusal,
  type ShareRules,
  type TeamWork,
} from "./fair_shares.ts";
import type { DecisionLog, PathMetrics } from "./ports.ts";
import type { KnownServer, ServerRegistry } from "./server_registry.ts";
import { PREFILL_TOKENS_PER_MS } from "./server_pace.ts";
import { findShareRules } from "./share_rules.ts";
import {
  type Configuration,
  isTakeUp,
  type RoutedRequest,
  urgencyOf,
} from "./types.ts";

/** The placement that was found for a request. */
export interface ShareMoment {
  /** The chosen server; undefined when all have as much as they may. */
  readonly server: KnownServer | undefined;
  /** Tokens of the prompt that it neither has cached nor can fetch. */
  readonly tokensToRead: number;
  /** Whether the request has begun or was placed before. */
  readonly isAdmitted: boolean;
  readonly nowMs: number;
}

/** Open and arriving requests of one team and urgency, for gossip. */
export type TeamWorkEntry = readonly [
  team: string,
  urgency: number,
  requests: number,
  tokenHundreds: number,
  /** Hundreds of tokens of arriving requests in a second. */
  demandHundredsPerS: number,
];

/** Collaborators of {@link ShareKeeper}. */
export interface ShareKeeperOptions {
  readonly registry: ServerRegistry;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
  /** What other daemons have lately told of their open requests. */
  peerTeamWork(service: ServiceName, nowMs: number): readonly TeamWorkEntry[];
  /** Prompt tokens that the server prefills in a millisecond. */
  tokensPerMs?(server: KnownServer, nowMs: number): number;
}

/** Tokens of requests that have arrived; they fade with time. */
interface Demand {
  readonly team: TeamId | "";
  readonly urgency: number;
  tokens: number;
  asOfMs: number;
}

interface ServiceState {
  isShort: boolean;
  /** Requests refused in the current shortage, by cause. */
  refused: Record<string, number>;
  sinceMs: number;
  /** Moving average of the tokens to read, by urgency. */
  readonly usualTokens: Map<number, number>;
  /** Arriving requests, by urgency and team. */
  readonly demands: Map<string, Demand>;
}

/** Peers are told of work from this part of the backlog of a shortage on. */
const NEAR_PART = 0.5;
/** Weight of the newest request in the moving average of sizes. */
const SIZE_WEIGHT = 0.05;
const HUNDRED = 100;
/** Time in which a request's part of the demand fades to a third. */
const DEMAND_MS = 1_000;
/** Demand that is forgotten. */
const MIN_DEMAND_TOKENS = 10;

/** Answers the questions of placements about fair shares. */
export class ShareKeeper {
  readonly #options: ShareKeeperOptions;
  readonly #open = new Map<RequestId, RoutedRequest>();
  readonly #states = new Map<ServiceName, ServiceState>();
  #rules: ReadonlyMap<ServiceName, ShareRules> = new Map();

  constructor(options: ShareKeeperOptions) {
    this.#options = options;
  }

  configure(configuration: Configuration): void {
    this.#rules = findShareRules(configuration);
  }

  /** Whether the service is shared by urgency and team in a shortage. */
  isShared({ service }: RoutedRequest): boolean {
    return this.#rules.has(service);
  }

  opened(request: RoutedRequest): void {
    if (!this.isShared(request)) return;
    this.#open.set(request.requestId, request);
  }

  ended({ requestId }: RoutedRequest): void {
    this.#open.delete(requestId);
  }

  /** Whether the request is refused, and until when. */
  refusal(
    request: RoutedRequest,
    at: ShareMoment,
  ): ShareRefusal | undefined {
    const rules = this.#rules.get(request.service);
    if (rules === undefined || request.work === undefined) return undefined;
    const isTaken = at.isAdmitted || isTakeUp(request) ||
      request.resumeAfter !== undefined;
    if (isTaken) return undefined;
    const { nowMs, server } = at;
    const room = this.#room(request.service, nowMs);
    const state = this.#measure(request.service, { room, rules, nowMs });
    const urgency = urgencyOf(request);
    const usualTokens = learnSize(state, urgency, at);
    recordDemand(state, {
      team: request.team?.id ?? "",
      urgency,
      tokens: server === undefined ? usualTokens : at.tokensToRead,
      nowMs,
    });
    if (!state.isShort || !mayRefuse(room, rules)) return undefined;
    const perMs = server === undefined ? 1 : this.#tokensPerMs(server, nowMs);
    const queued = server && this.#options.registry.workAt(server);
    const team = request.team?.id ?? "";
    const refusal = decideShare({
      requestId: request.requestId,
      team,
      urgency,
      targetMs: request.route.targetMs,
      timeLeftMs: Math.min(request.deadlineMs, request.timeoutAtMs) - nowMs,
      tokensToRead: at.tokensToRead,
      usualTokens,
      usualReadMs: usualTokens * room.servers / Math.max(1, room.tokensPerMs),
      queueMs: (queued?.prefillTokens ?? 0) / perMs,
      readMs: server === undefined ? 0 : at.tokensToRead / perMs,
      isFull: server === undefined,
      nowMs,
    }, { room, rules, work: this.#work(request.service, nowMs) });
    if (refusal !== undefined) this.#record(request, { refusal, state, room });
    return refusal;
  }

  /** Whether there is a shortage, in which {@link refusal} decides alone. */
  decides({ service }: RoutedRequest): boolean {
    return this.#states.get(service)?.isShort ?? false;
  }

  /** Work of this daemon's requests, while there is a shortage or one is near. */
  teamWork(nowMs: number): Record<ServiceName, readonly TeamWorkEntry[]> {
    const told: Record<ServiceName, readonly TeamWorkEntry[]> = {};
    for (const [service, rules] of this.#rules) {
      const room = this.#room(service, nowMs);
      const { isShort } = this.#measure(service, { room, rules, nowMs });
      const isNear = hasShortage(room, {
        rules,
        wasShort: false,
        usualReadMs: usualReadMs(this.#stateOf(service), room),
        part: NEAR_PART,
      });
      if (!isShort && !isNear) continue;
      const entries = this.#ownWork(service, nowMs);
      if (entries.length === 0) continue;
      told[service] = entries.map(
        ({ team, urgency, requests, prefillTokens, demandPerMs }) => [
          team,
          urgency,
          requests,
          Math.round(prefillTokens / HUNDRED),
          Math.round(demandPerMs * 1_000 / HUNDRED),
        ],
      );
    }
    return told;
  }

  #tokensPerMs(server: KnownServer, nowMs: number): number {
    return this.#options.tokensPerMs?.(server, nowMs) ??
      PREFILL_TOKENS_PER_MS;
  }

  /** Servers that are avoided count neither as places nor as work. */
  #room(service: ServiceName, nowMs: number): ServiceRoom {
    const { registry } = this.#options;
    const room = {
      servers: 0,
      tokensPerMs: 0,
      places: 0,
      requests: 0,
      waiting: 0,
      prefillTokens: 0,
      longestQueueMs: 0,
    };
    for (const server of registry.usable(service, nowMs)) {
      if (registry.isAvoided(server, nowMs)) continue;
      const work = registry.workAt(server);
      const stated = registry.freshLoad(server, nowMs);
      const perMs = this.#tokensPerMs(server, nowMs);
      const { slots } = server.listed;
      room.servers += 1;
      room.tokensPerMs += perMs;
      room.places += slots;
      room.requests += work.running;
      room.waiting += Math.max(0, work.running - slots, stated?.waiting ?? 0);
      room.prefillTokens += work.prefillTokens;
      room.longestQueueMs = Math.max(
        room.longestQueueMs,
        work.prefillTokens / perMs,
      );
    }
    return room;
  }

  #ownWork(service: ServiceName, nowMs: number): TeamWork[] {
    const sums = new Map<string, TeamWork>();
    for (const [key, demand] of this.#stateOf(service).demands) {
      const { team, urgency } = demand;
      const demandPerMs = fadedTokens(demand, nowMs) / DEMAND_MS;
      const work = { requests: 0, prefillTokens: 0, demandPerMs };
      sums.set(key, { team, urgency, ...work });
    }
    for (const server of this.#options.registry.all()) {
      if (server.listed.service !== service) continue;
      for (const [requestId, { prefillTokens }] of server.ownWork) {
        const request = this.#open.get(requestId);
        if (request === undefined) continue;
        const team: TeamId | "" = request.team?.id ?? "";
        const urgency = urgencyOf(request);
        const key = `${urgency}/${team}`;
        const sum = sums.get(key);
        sums.set(key, {
          team,
          urgency,
          requests: (sum?.requests ?? 0) + 1,
          prefillTokens: (sum?.prefillTokens ?? 0) + prefillTokens,
          demandPerMs: sum?.demandPerMs ?? 0,
        });
      }
    }
    return [...sums.values()];
  }

  #work(service: ServiceName, nowMs: number): TeamWork[] {
    const peers = this.#options.peerTeamWork(service, nowMs).map(
      ([team, urgency, requests, hundreds, demand]): TeamWork => ({
        team: team as TeamId | "",
        urgency,
        requests,
        prefillTokens: hundreds * HUNDRED,
        demandPerMs: demand * HUNDRED / 1_000,
      }),
    );
    return [...this.#ownWork(service, nowMs), ...peers];
  }

  /** Notes the begin or the end of a shortage. */
  #measure(
    service: ServiceName,
    { room, rules, nowMs }: {
      readonly room: ServiceRoom;
      readonly rules: ShareRules;
      readonly nowMs: number;
    },
  ): ServiceState {
    const state = this.#stateOf(service);
    const isShort = hasShortage(room, {
      rules,
      wasShort: state.isShort,
      usualReadMs: usualReadMs(state, room),
    });
    if (isShort === state.isShort) return state;
    const { log, metrics } = this.#options;
    metrics.count("shortages", { change: isShort ? "begun" : "ended" });
    log.decision("shortage", {
      service,
      change: isShort ? "begun" : "ended",
      backlogMs: Math.round(backlogMs(room)),
      requests: room.requests,
      waiting: room.waiting,
      places: room.places,
      ...(isShort ? {} : {
        refused: state.refused,
        durationMs: Math.round(nowMs - state.sinceMs),
      }),
    });
    state.isShort = isShort;
    state.sinceMs = nowMs;
    if (isShort) state.refused = {};
    return state;
  }

  #stateOf(service: ServiceName): ServiceState {
    const known = this.#states.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      isShort: false,
      refused: {},
      sinceMs: 0,
      usualTokens: new Map(),
      demands: new Map(),
    };
    this.#states.set(service, state);
    return state;
  }

  #record(
    request: RoutedRequest,
    { refusal, state, room }: {
      readonly refusal: ShareRefusal;
      readonly state: ServiceState;
      readonly room: ServiceRoom;
    },
  ): void {
    const { cause, retryInMs, aheadMs, limitMs } = refusal;
    const { log, metrics } = this.#options;
    const urgency = urgencyOf(request);
    state.refused[cause] = (state.refused[cause] ?? 0) + 1;
    metrics.count("shed", { urgency: String(urgency), cause });
    log.decision("shed", {
      requestId: request.requestId,
      service: request.service,
      team: request.team?.id,
      urgency,
      cause,
      backlogMs: Math.round(backlogMs(room)),
      aheadMs: Math.round(aheadMs),
      limitMs: Math.round(limitMs),
      retryInMs: Math.round(retryInMs),
    });
  }
}

function fadedTokens({ tokens, asOfMs }: Demand, nowMs: number): number {
  return tokens * Math.exp((asOfMs - nowMs) / DEMAND_MS);
}

function recordDemand(
  { demands }: ServiceState,
  { team, urgency, tokens, nowMs }: {
    readonly team: TeamId | "";
    readonly urgency: number;
    readonly tokens: number;
    readonly nowMs: number;
  },
): void {
  for (const [key, demand] of demands) {
    if (fadedTokens(demand, nowMs) < MIN_DEMAND_TOKENS) demands.delete(key);
  }
  const key = `${urgency}/${team}`;
  const known = demands.get(key);
  const before = known === undefined ? 0 : fadedTokens(known, nowMs);
  demands.set(key, { team, urgency, tokens: before + tokens, asOfMs: nowMs });
}

/** Time in which a usual server prefills the largest usual prompt. */
function usualReadMs(
  { usualTokens }: ServiceState,
  { servers, tokensPerMs }: ServiceRoom,
): number {
  const largest = Math.max(0, ...usualTokens.values());
  return largest * servers / Math.max(1, tokensPerMs);
}

/** The usual size before the request, which then counts towards it. */
function learnSize(
  { usualTokens }: ServiceState,
  urgency: number,
  { server, tokensToRead }: ShareMoment,
): number {
  const before = usualTokens.get(urgency) ?? tokensToRead;
  if (server !== undefined) {
    const after = before + SIZE_WEIGHT * (tokensToRead - before);
    usualTokens.set(urgency, after);
  }
  return before;
}
