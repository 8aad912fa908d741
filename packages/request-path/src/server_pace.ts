/**
 * The pace of each backend server: how many prompt tokens it reads per
 * millisecond at this moment, how long its calls take, and how many requests it
 * should have. Engines of one service may differ in speed by a factor of three,
 * and one may take 2.5 times as long for half a second; placed as if they were
 * equal, the busiest engine has twice the mean work.
 *
 * @module
 */

import { rankByRendezvous } from "@endivebend/routing";
import type { BackendServerId, ServiceName, VmId } from "@endivebend/types";
import { PaceSample, type SentWork } from "./pace_sample.ts";
import type { DecisionLog, PathMetrics } from "./ports.ts";
import type { KnownServer, ServerRegistry } from "./server_registry.ts";
import { ServicePace } from "./service_pace.ts";
import {
  beginSlowStart,
  growWithPeers,
  ownPlaces,
  recordStartAnswer,
  type SlowStart,
} from "./slow_start.ts";
import {
  combineSpeeds,
  observeSpeed,
  PEER_TTL_MS,
  type PeerSpeed,
  type SpeedEstimate,
  UNMEASURED,
} from "./speed_estimate.ts";
import type { RouteName } from "./types.ts";

/** The pace of one server at one moment. */
export interface ServerPace {
  /** Prompt tokens that the server reads per millisecond at this moment. */
  readonly tokensPerMs: number;
  /**
   * The same while the server also generates: a queue of prompts shrinks at
   * this pace. Where the pace is measured, the two are equal.
   */
  readonly queueTokensPerMs: number;
  /** How long work takes at this moment, as a multiple of the usual time. */
  readonly slowdown: number;
  /** Requests that all daemons together should have there now. */
  readonly maxRunning: number;
  /** This daemon's part of them; infinite except in a slow start. */
  readonly maxOwnRunning: number;
  /** Service time of a plain call of the route at this moment. */
  callMs(route: RouteName): number;
}

/** Where placements look up the pace of servers. */
export interface PaceLookup {
  /** Asked for every candidate of a placement; does no I/O. */
  of(server: KnownServer, nowMs: number): ServerPace;
  /** Whether the service's placements use what was learned. */
  isInUse(service: ServiceName): boolean;
}

/** Where attempts tell of their servers. */
export interface PaceTracker extends PaceLookup {
  /** Notes an attempt that is about to be sent; its own work not yet counted. */
  sent(server: KnownServer, work: SentWork, nowMs: number): PaceSample;
}

/** Dependencies of {@link ServerPaces}. */
export interface ServerPacesOptions {
  readonly registry: Pick<
    ServerRegistry,
    "all" | "get" | "workAt" | "isAvoided"
  >;
  readonly self: VmId;
  /** All daemons that may be alive, this one among them. */
  daemons(): readonly VmId[];
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
}

/** What is known of one server. */
interface ServerState {
  startedAtMs: number;
  /** What this daemon has measured itself. */
  own: SpeedEstimate;
  /** What peers have measured, as each of them last told. */
  readonly peers: Map<VmId, PeerSpeed>;
  /** Own and peers' measurements together. */
  combined: SpeedEstimate;
  start: SlowStart | undefined;
  /** This daemon's position among those that divide a slow start's places. */
  startRank: { readonly rank: number; readonly daemons: number };
  wasAvoided: boolean;
  told: ToldSpeed | undefined;
}

/** The speed that this daemon last told its peers. */
interface ToldSpeed {
  readonly speed: number;
  readonly untilMs: number;
}

/** Requests per slot of a full server: as many waiting as running. */
export const MAX_LOAD_FACTOR = 2;
/** Prompt tokens an engine prefills per ms, from the users' data sheets. */
export const PREFILL_TOKENS_PER_MS = 38.4;
/** Prefill rate: 38.4 tokens per millisecond less attention and generation. */
export const QUEUE_TOKENS_PER_MS = 28;
/** Mean service time of a plain request, from the users' data sheets. */
export const PLAIN_CALL_MS = 86;

/** Servers found so soon after the first of their service may all be new. */
const FIRST_LIST_MS = 2_000;
/** Estimates change slowly, and placements are frequent. */
const PLAN_TTL_MS = 200;
/** A speed is told again when it differs by more than a tenth. */
const TOLD_CHANGE = Math.log(1.1);
/** A few hundred bytes; what is left over is told in the next message. */
const MAX_TOLD = 24;
/** A figure older than this at the sending says nothing of the work there. */
const FIGURE_FRESH_MS = 300;

/**
 * The pace without any observation, or where the model is not in use.
 *
 * @example
 * ```ts
 * const pace = usualPace(server.listed);
 * ```
 */
export function usualPace(
  { slots }: Pick<KnownServer["listed"], "slots">,
): ServerPace {
  return {
    tokensPerMs: PREFILL_TOKENS_PER_MS,
    queueTokensPerMs: QUEUE_TOKENS_PER_MS,
    slowdown: 1,
    maxRunning: Math.max(1, slots) * MAX_LOAD_FACTOR,
    maxOwnRunning: Number.POSITIVE_INFINITY,
    callMs: usualCallMs,
  };
}

const usualCallMs = () => PLAIN_CALL_MS;

/** Learns the pace of servers from attempts and from peers. */
export class ServerPaces implements PaceTracker {
  readonly #options: ServerPacesOptions;
  readonly #services = new Map<ServiceName, ServicePace>();
  readonly #states = new Map<BackendServerId, ServerState>();
  #planUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: ServerPacesOptions) {
    this.#options = options;
  }

  of(server: KnownServer, nowMs: number): ServerPace {
    if (nowMs >= this.#planUntilMs) this.#plan(nowMs);
    const service = this.#serviceOf(server, nowMs);
    const state = this.#stateOf(server, nowMs);
    this.#noteReturn(server, { state, nowMs });
    if (!service.isInUse) return usualPace(server.listed);
    const speed = service.speedOf(state.combined, nowMs);
    const slowdown = service.slowdownOf(server, nowMs);
    const tokensPerMs = PREFILL_TOKENS_PER_MS * speed / slowdown;
    const isMeasured = service.medianSpeed !== undefined;
    return {
      tokensPerMs,
      queueTokensPerMs: isMeasured
        ? tokensPerMs
        : QUEUE_TOKENS_PER_MS * speed / slowdown,
      slowdown,
      ...this.#placesAt(server, { state, nowMs }),
      callMs: (route) =>
        (service.callMsOf(route) ?? PLAIN_CALL_MS) * slowdown / speed,
    };
  }

  /** Whether the service's placements use what was learned. */
  isInUse(service: ServiceName): boolean {
    return this.#services.get(service)?.isInUse ?? false;
  }

  sent(server: KnownServer, work: SentWork, nowMs: number): PaceSample {
    const { running, prefillTokens } = this.#options.registry.workAt(server);
    const pace = this.of(server, nowMs);
    return new PaceSample({
      ...work,
      sentAtMs: nowMs,
      tokensAhead: prefillTokens,
      runningAhead: running,
      pace,
      figure: nowMs - server.loadAtMs < FIGURE_FRESH_MS
        ? server.load?.slowdownPercent
        : undefined,
      observer: {
        begun: (sample, atMs) => this.#begun(server, sample, atMs),
        ended: (sample, atMs) => this.#ended(server, sample, atMs),
      },
    });
  }

  /** Speeds in percent that peers should know, of services in use. */
  pending(
    { nowMs, roundMs }: { readonly nowMs: number; readonly roundMs: number },
  ): Record<BackendServerId, number> {
    const speeds: Record<BackendServerId, number> = {};
    let count = 0;
    for (const { listed } of this.#options.registry.all()) {
      const state = this.#states.get(listed.id);
      if (state === undefined || !this.isInUse(listed.service)) continue;
      const told = toldSpeed(state, { nowMs, roundMs });
      if (told === undefined || count >= MAX_TOLD) continue;
      state.told = told;
      count += 1;
      speeds[listed.id] = Math.max(1, Math.round(told.speed * 100));
    }
    return speeds;
  }

  /** Applies a speed in percent that a peer has measured. */
  recordPeer(
    id: BackendServerId,
    { vm, percent, nowMs }: {
      readonly vm: VmId;
      readonly percent: number;
      readonly nowMs: number;
    },
  ): void {
    const server = this.#options.registry.get(id);
    if (server === undefined || percent <= 0) return;
    this.#serviceOf(server, nowMs);
    const state = this.#stateOf(server, nowMs);
    const known = state.peers.get(vm);
    // Peers tell the same for a whole round of gossip.
    if (known?.percent === percent) return;
    state.peers.set(vm, { percent, atMs: nowMs });
    this.#combine(state, nowMs);
  }

  #begun(server: KnownServer, sample: PaceSample, nowMs: number): void {
    const service = this.#serviceOf(server, nowMs);
    const state = this.#stateOf(server, nowMs);
    const { metrics } = this.#options;
    service.noteFigure(server.load?.slowdownPercent);
    if (state.start !== undefined && sample.isOfPrompt) {
      const isSlow = sample.isSlowAt(nowMs);
      state.start = recordStartAnswer(state.start, { isSlow });
    }
    const observation = sample.speedAt(nowMs, {
      usualTokensPerMs: PREFILL_TOKENS_PER_MS,
      figure: server.load?.slowdownPercent,
    });
    if (observation === undefined) return;
    if (service.isInUse) {
      metrics.observeMs("wait_error_ms", sample.waitErrorMs(nowMs));
    }
    service.noteNoise(state.combined, observation);
    this.#observe(state, observation);
  }

  #ended(server: KnownServer, sample: PaceSample, nowMs: number): void {
    const service = this.#serviceOf(server, nowMs);
    const state = this.#stateOf(server, nowMs);
    service.noteAnswer(nowMs - sample.sentAtMs);
    const call = sample.callAt(nowMs, { slots: server.listed.slots });
    if (call === undefined) return;
    service.noteFigure(server.load?.slowdownPercent);
    const figure = service.slowdownOf(server, nowMs);
    const usualMs = service.noteCall(call.route, call.durationMs / figure);
    if (state.start !== undefined) {
      const isSlow = call.durationMs > 2 * sample.pace.callMs(call.route);
      state.start = recordStartAnswer(state.start, { isSlow });
    }
    const speed = usualMs * figure / call.durationMs;
    this.#observe(state, { speed, weight: call.weight, atMs: nowMs });
  }

  #observe(
    state: ServerState,
    observation: Parameters<typeof observeSpeed>[1],
  ): void {
    state.own = observeSpeed(state.own, observation);
    this.#combine(state, observation.atMs);
  }

  #combine(state: ServerState, nowMs: number): void {
    state.combined = combineSpeeds(state.own, [...state.peers.values()], nowMs);
  }

  #stateOf({ listed }: KnownServer, nowMs: number): ServerState {
    const known = this.#states.get(listed.id);
    if (known === undefined) {
      const state = newState(listed.startedAtMs);
      this.#states.set(listed.id, state);
      const sinceMs = this.#services.get(listed.service)?.sinceMs ?? nowMs;
      if (nowMs - sinceMs > FIRST_LIST_MS) this.#begin(listed, state, nowMs);
      return state;
    }
    // Another process on the same machine has the same speed.
    if (known.startedAtMs !== listed.startedAtMs) {
      known.startedAtMs = listed.startedAtMs;
      this.#begin(listed, known, nowMs);
    }
    return known;
  }

  #noteReturn(
    server: KnownServer,
    { state, nowMs }: { readonly state: ServerState; readonly nowMs: number },
  ): void {
    const isAvoided = this.#options.registry.isAvoided(server, nowMs);
    if (state.wasAvoided && !isAvoided) {
      this.#begin(server.listed, state, nowMs);
    }
    state.wasAvoided = isAvoided;
  }

  #begin(
    { id, service }: KnownServer["listed"],
    state: ServerState,
    nowMs: number,
  ): void {
    const { self, daemons, log, metrics } = this.#options;
    const ranked = rankByRendezvous(id, daemons());
    state.start = beginSlowStart(nowMs);
    state.startRank = {
      rank: Math.max(0, ranked.indexOf(self)),
      daemons: Math.max(1, ranked.length),
    };
    if (!this.isInUse(service)) return;
    metrics.count("slow_starts");
    log.decision("slow_start", { server: id, ...state.startRank });
  }

  #placesAt(
    server: KnownServer,
    { state, nowMs }: { readonly state: ServerState; readonly nowMs: number },
  ): Pick<ServerPace, "maxRunning" | "maxOwnRunning"> {
    const { maxRunning, maxOwnRunning } = usualPace(server.listed);
    if (state.start === undefined) return { maxRunning, maxOwnRunning };
    const { running } = this.#options.registry.workAt(server);
    state.start = growWithPeers(state.start, {
      running: running - server.ownWork.size,
      answerMs: this.#serviceOf(server, nowMs).answerMs,
      nowMs,
    });
    if (state.start.maxRunning >= maxRunning) {
      state.start = undefined;
      return { maxRunning, maxOwnRunning };
    }
    return {
      maxRunning: Math.floor(state.start.maxRunning),
      maxOwnRunning: ownPlaces(state.start, state.startRank),
    };
  }

  #serviceOf({ listed }: KnownServer, nowMs: number): ServicePace {
    const known = this.#services.get(listed.service);
    if (known !== undefined) return known;
    const service = new ServicePace(nowMs);
    this.#services.set(listed.service, service);
    return service;
  }

  /** Renews what depends on all servers, and forgets those that are gone. */
  #plan(nowMs: number): void {
    this.#planUntilMs = nowMs + PLAN_TTL_MS;
    const estimates = new Map<ServiceName, SpeedEstimate[]>();
    const listed = new Set<BackendServerId>();
    for (const server of this.#options.registry.all()) {
      const { id, service } = server.listed;
      listed.add(id);
      const state = this.#states.get(id);
      if (state === undefined) continue;
      if (dropOldPeers(state, nowMs)) this.#combine(state, nowMs);
      const known = estimates.get(service) ?? [];
      estimates.set(service, known);
      known.push(state.combined);
    }
    for (const id of this.#states.keys()) {
      if (!listed.has(id)) this.#states.delete(id);
    }
    for (const [name, service] of this.#services) {
      const wasInUse = service.isInUse;
      service.plan(estimates.get(name) ?? [], nowMs);
      if (service.isInUse === wasInUse) continue;
      this.#options.log.decision("pace_in_use", { service: name });
    }
  }
}

function newState(startedAtMs: number): ServerState {
  return {
    startedAtMs,
    own: UNMEASURED,
    peers: new Map(),
    combined: UNMEASURED,
    start: undefined,
    startRank: { rank: 0, daemons: 1 },
    wasAvoided: false,
    told: undefined,
  };
}

/** Returns whether there were any. */
function dropOldPeers({ peers }: ServerState, nowMs: number): boolean {
  const { size } = peers;
  for (const [vm, { atMs }] of peers) {
    if (nowMs - atMs >= PEER_TTL_MS) peers.delete(vm);
  }
  return peers.size < size;
}

/** What to tell of a server now; undefined when peers know it. */
function toldSpeed(
  { own, told }: ServerState,
  { nowMs, roundMs }: { readonly nowMs: number; readonly roundMs: number },
): ToldSpeed | undefined {
  if (told !== undefined && nowMs < told.untilMs) return told;
  if (own.weight === 0) return undefined;
  const speed = Math.exp(own.logSpeed);
  const hasChanged = told === undefined ||
    Math.abs(Math.log(speed / told.speed)) > TOLD_CHANGE;
  return hasChanged ? { speed, untilMs: nowMs + roundMs } : undefined;
}
