/**
 * Decides which prompts are refused while the callers of a service ask for more
 * than its servers can take, as in a burst of long prompts beside short urgent
 * ones, or when one team sends ten times its usual. Without it, the engine with
 * the longest queue decides, and urgent prompts are refused more often than
 * others.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type { RequestId, TeamId } from "@endivebend/types";

/** What the servers of a service have and can take, over the whole fleet. */
export interface ServiceRoom {
  readonly servers: number;
  /** Prompt tokens that the servers prefill in a millisecond. */
  readonly tokensPerMs: number;
  /** Requests that the servers run at the same time. */
  readonly places: number;
  /** Requests at the servers, waiting ones included. */
  readonly requests: number;
  /** Requests beyond the places of their server. */
  readonly waiting: number;
  readonly prefillTokens: number;
  /** The longest time that one server needs for its prompt tokens. */
  readonly longestQueueMs: number;
}

/** Open requests of one team and urgency. */
export interface TeamWork {
  /** Empty for requests without a team. */
  readonly team: TeamId | "";
  readonly urgency: number;
  readonly requests: number;
  readonly prefillTokens: number;
  /** Tokens of arriving requests in a millisecond, whether or not admitted. */
  readonly demandPerMs: number;
}

/** What the configuration says about the shares of a service. */
export interface ShareRules {
  /** Urgencies of the service's routes, the most urgent first. */
  readonly urgencies: readonly number[];
  readonly smallestTargetMs: number;
  /** Teams without an entry have a weight of 1. */
  readonly weights: ReadonlyMap<TeamId | "", number>;
}

/** A request during a shortage. */
export interface ShareRequest {
  readonly requestId: RequestId;
  readonly team: TeamId | "";
  readonly urgency: number;
  readonly targetMs: number;
  /** Time until its caller stops waiting. */
  readonly timeLeftMs: number;
  /** Its tokens that the chosen server neither has cached nor can fetch. */
  readonly tokensToRead: number;
  /** The same of a usual request of its urgency. */
  readonly usualTokens: number;
  /** Time in which a usual server prefills these. */
  readonly usualReadMs: number;
  /** Time that the chosen server needs for the prompts that it has. */
  readonly queueMs: number;
  /** Time that it needs for the tokens to read. */
  readonly readMs: number;
  /** Whether every server has as many requests as it may have. */
  readonly isFull: boolean;
  readonly nowMs: number;
}

/** Why a request is refused during a shortage. */
export type ShareCause =
  /** All servers are full. */
  | "full"
  /** It can't begin while its caller waits. */
  | "late"
  /** The queue of the best server is too long for its target. */
  | "queue"
  /** Its team has more than its part of the work. */
  | "team"
  /** It would be admitted if it were of the usual size. */
  | "size"
  /** The wait is too long for its urgency. */
  | "urgency";

/** The refusal of a request, with what it was decided on. */
export interface ShareRefusal {
  readonly cause: ShareCause;
  readonly retryInMs: number;
  /** The wait that counts for the request. */
  readonly aheadMs: number;
  /** The wait up to which every such request is admitted. */
  readonly limitMs: number;
  /** Position of its urgency among those of the routes, 0 first. */
  readonly level: number;
}

/** A shortage begins when the backlog exceeds this part of the target time. */
const BEGIN_PART = 0.5;
/** What is left then is the prompts that engines are prefilling. */
const END_PART = 0.25;
/** Usual prompts for each engine, of which it is prefilling one. */
const BEGIN_PROMPTS = 2;
const END_PROMPTS = 1;
/**
 * How long a request keeps its place, from 42 tokens at 4.7 to 7 ms each; it
 * turns requests that wait for a place into time.
 */
const PLACE_HOLD_MS = 250;
/** A place held for {@link PLACE_HOLD_MS} at an engine with a dozen places. */
const TOKENS_PER_PLACE = 1_000;
/** Part of the target time up to which a level of urgency is admitted. */
const LEVEL_PARTS = [1, 0.9, 0.75, 0.6] as const;
const LAST_LEVEL_PART = 0.5;
/**
 * With fewer usual prompts queued at each engine, some engines would be idle:
 * daemons know the queues of 200 ms ago, and queues differ.
 */
const MIN_QUEUED_PROMPTS = 3;
/**
 * The wait that admission aims at, as a part of the limit: shorter queues leave
 * engines idle, as daemons know the queues of some 400 ms ago.
 */
const WAIT_PART = 0.6;
/** Bounds on the correction: the rate may be off, and the wait is an estimate. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 4;
/** Requests of every team are refused from here on, as a part of the limit. */
const REFUSED_PART = 0.85;
/**
 * Part of less urgent work that counts as ahead: an engine finishes the prompt
 * that it is prefilling, and running requests keep their places.
 */
const OVERTAKEN_PART = 0.25;
/** With less of the work known, levels of urgency are not told apart. */
const MIN_KNOWN_PART = 0.5;
/** The most urgent prompts overtake others in the engine's queue. */
const URGENT_QUEUE_PART = 1.5;
/** Teams below their part may begin this late, as a part of the target. */
const QUEUE_PART = 1.25;
/** A shorter queue may already be empty by the next gossip message. */
const MIN_QUEUE_MS = 140;
/** Prompts of more than this multiple of the usual size have shorter limits. */
const LARGE_FACTOR = 2;
/** Bound on that, so that prompts without cached segments are still served. */
const MIN_SIZE_SCALE = 0.5;
/** The excess drains at half of the rate; new requests take the other half. */
const DRAIN_FACTOR = 2;
/** Retrying sooner costs a connection and gains nothing. */
const MIN_RETRY_MS = 250;
/** Callers honour no delay beyond this part of the time they have left. */
const MAX_RETRY_PART = 1 / 3;
/** `RequestRun` adds up to half of the delay. */
const LATER_JITTER = 1.5;
/** The earliest return, as a part of the longest delay; the rest is spread. */
const MAX_DRAIN_PART = 0.5;
/** Part of the rest over which returning callers are spread. */
const URGENT_SPREAD = 0.25;
const SPREAD = 0.75;
/** The choice by hash is made anew after this time. */
const DRAW_MS = 100;
const UINT32 = 0x1_0000_0000;

/**
 * Milliseconds of work that the servers have before a new request: prompt
 * tokens, or requests that wait for places.
 *
 * @example
 * ```ts
 * if (backlogMs(room) > 400) log.decision("long_queues", {});
 * ```
 */
export function backlogMs(room: ServiceRoom): number {
  return Math.max(prefillMs(room), placeWaitMs(room));
}

function prefillMs({ prefillTokens, tokensPerMs }: ServiceRoom): number {
  return prefillTokens / Math.max(1, tokensPerMs);
}

function placeWaitMs({ waiting, places }: ServiceRoom): number {
  return waiting * PLACE_HOLD_MS / Math.max(1, places);
}

/**
 * Whether there is a shortage, by whether there was one. `part` below 1 tells
 * whether one is near.
 *
 * @example
 * ```ts
 * isShort = hasShortage(room, { rules, wasShort: isShort, usualReadMs });
 * ```
 */
export function hasShortage(
  room: ServiceRoom,
  { rules, wasShort, usualReadMs, part = 1 }: {
    readonly rules: ShareRules;
    readonly wasShort: boolean;
    /** Time in which a usual server prefills the largest usual prompt. */
    readonly usualReadMs: number;
    readonly part?: number;
  },
): boolean {
  const { smallestTargetMs } = rules;
  const endMs = Math.max(
    END_PART * smallestTargetMs,
    END_PROMPTS * usualReadMs,
  );
  const beginMs = Math.max(
    BEGIN_PART * smallestTargetMs,
    BEGIN_PROMPTS * usualReadMs,
  );
  return backlogMs(room) > (wasShort ? endMs : beginMs * part);
}

/**
 * Whether requests may be refused at all: half of the places are taken, or
 * something is queued.
 */
export function mayRefuse(room: ServiceRoom, rules: ShareRules): boolean {
  return room.requests >= room.places / 2 || room.waiting > 0 ||
    room.longestQueueMs > rules.smallestTargetMs;
}

/**
 * Part of the queued work that a request of the urgency overtakes, from 0 to 1,
 * as far as the work is known.
 */
function overtakenPart(
  work: readonly TeamWork[],
  { urgency, room }: { readonly urgency: number; readonly room: ServiceRoom },
): number {
  if (!isMostlyKnown(work, room)) return 0;
  const lower = work.filter((entry) => entry.urgency > urgency);
  return (1 - OVERTAKEN_PART) * sumUnits(lower) / sumUnits(work);
}

/**
 * The wait that counts for the request: what it does not overtake of the mean
 * backlog, or of the chosen server's queue where that is shorter. While servers
 * have short queues, the work must not be kept from them for the mean's sake.
 */
function waitOf(
  { urgency, queueMs, isFull }: ShareRequest,
  { room, work }: {
    readonly room: ServiceRoom;
    readonly work: readonly TeamWork[];
  },
): number {
  const meanMs = aheadMs(work, { urgency, room });
  if (isFull) return meanMs;
  const part = meanMs / Math.max(1, backlogMs(room));
  return Math.min(meanMs, queueMs * part);
}

/** The backlog that a request of the urgency does not overtake. */
function aheadMs(
  work: readonly TeamWork[],
  { urgency, room }: { readonly urgency: number; readonly room: ServiceRoom },
): number {
  if (!isMostlyKnown(work, room)) return backlogMs(room);
  const ahead = work.filter((entry) => entry.urgency <= urgency);
  const partOf = (count: "requests" | "prefillTokens") =>
    sumOf(ahead, count) / Math.max(1, sumOf(work, count));
  return Math.max(
    prefillMs(room) * partOf("prefillTokens"),
    placeWaitMs(room) * partOf("requests"),
  );
}

/**
 * Decides whether the request is refused; undefined when it is admitted. To be
 * asked only during a shortage, see {@link hasShortage} and {@link mayRefuse}.
 *
 * @example
 * ```ts
 * const refusal = decideShare(request, { room, rules, work });
 * if (refusal !== undefined) refuse({ retryAfterMs: refusal.retryInMs });
 * ```
 */
export function decideShare(
  request: ShareRequest,
  at: {
    readonly room: ServiceRoom;
    readonly rules: ShareRules;
    /** Work of own requests and of those that peers have told of lately. */
    readonly work: readonly TeamWork[];
  },
): ShareRefusal | undefined {
  const { urgency, targetMs } = request;
  const { room, rules, work } = at;
  const waitMs = waitOf(request, { room, work });
  const level = rules.urgencies.filter((other) => other < urgency).length;
  const fullLimitMs = Math.max(
    targetMs * (LEVEL_PARTS[level] ?? LAST_LEVEL_PART),
    MIN_QUEUED_PROMPTS * request.usualReadMs,
  );
  const limitMs = fullLimitMs * sizeScale(request);
  const admitted = admittedPart(request, {
    work: work.filter((entry) => entry.urgency <= urgency),
    weights: rules.weights,
    tokensPerMs: room.tokensPerMs * rateFactor(waitMs, fullLimitMs),
  });
  const isOver = admitted < 1;
  const draw = drawOf(request);
  const isRefusedAt = (mostMs: number) =>
    draw >= 1 - refusedPart(waitMs, mostMs);
  const fromMs = limitMs * REFUSED_PART;
  const overtaken = overtakenPart(work, { urgency, room });
  const queueMs = request.queueMs * (1 - overtaken);
  const startsInMs = queueMs + request.readMs;
  const queuePart = level === 0 ? URGENT_QUEUE_PART : QUEUE_PART;
  const startLimitMs = targetMs * (isOver ? 1 : queuePart);
  const cause = findCause({
    full: request.isFull,
    late: startsInMs > request.timeLeftMs,
    queue: queueMs > MIN_QUEUE_MS && startsInMs > startLimitMs,
    team: draw >= admitted,
    size: isRefusedAt(limitMs) && !isRefusedAt(fullLimitMs),
    urgency: isRefusedAt(limitMs),
  });
  if (cause === undefined) return undefined;
  const excessMs = Math.max(waitMs - fromMs, startsInMs - startLimitMs);
  const retryInMs = retryMs(request, { excessMs, level });
  return { cause, retryInMs, aheadMs: waitMs, limitMs: fromMs, level };
}

function findCause(
  causes: Readonly<Record<ShareCause, boolean>>,
): ShareCause | undefined {
  const names = Object.keys(causes) as ShareCause[];
  return names.find((name) => causes[name]);
}

/** The part of requests that is refused at a wait, from 0 to 1. */
function refusedPart(waitMs: number, limitMs: number): number {
  const fromMs = limitMs * REFUSED_PART;
  return Math.min(1, Math.max(0, (waitMs - fromMs) / (limitMs - fromMs)));
}

/** Above 1 while the wait is shorter than it should be, below 1 afterwards. */
function rateFactor(waitMs: number, limitMs: number): number {
  const factor = limitMs * WAIT_PART / Math.max(1, waitMs);
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}

/**
 * The part of its team's requests of its urgency that can be admitted, from 0 to
 * 1: the rate is divided among teams by weight, what a team doesn't use is left
 * to the others, and a team's more urgent requests come first.
 */
function admittedPart(
  { team, urgency }: ShareRequest,
  { work, weights, tokensPerMs }: {
    readonly work: readonly TeamWork[];
    readonly weights: ReadonlyMap<TeamId | "", number>;
    readonly tokensPerMs: number;
  },
): number {
  const demands = new Map<TeamId | "", number>();
  let moreUrgent = 0;
  for (const entry of work) {
    const { demandPerMs } = entry;
    demands.set(entry.team, (demands.get(entry.team) ?? 0) + demandPerMs);
    const isFirst = entry.team === team && entry.urgency < urgency;
    if (isFirst) moreUrgent += demandPerMs;
  }
  const weightOf = (id: TeamId | "") => weights.get(id) ?? 1;
  const perWeight = fairUnitsPerWeight(
    [...demands].map(([id, used]) => ({ used, weight: weightOf(id) })),
    tokensPerMs,
  );
  const demand = demands.get(team) ?? 0;
  const allowed = perWeight * weightOf(team);
  if (allowed >= demand) return 1;
  return Math.max(0, allowed - moreUrgent) / (demand - moreUrgent);
}

/**
 * The units for each unit of weight at which the parts of all teams, each at
 * most what the team uses, add up to the capacity.
 *
 * @example
 * ```ts
 * // One team uses less than its part; the other may use the rest.
 * fairUnitsPerWeight([{ used: 2, weight: 1 }, { used: 20, weight: 1 }], 10); // 8
 * ```
 */
export function fairUnitsPerWeight(
  teams: readonly { readonly used: number; readonly weight: number }[],
  capacity: number,
): number {
  const byUse = [...teams].sort((a, b) =>
    a.used / a.weight - b.used / b.weight
  );
  let left = capacity;
  let weightLeft = byUse.reduce((sum, { weight }) => sum + weight, 0);
  for (const { used, weight } of byUse) {
    const perWeight = left / weightLeft;
    if (used > perWeight * weight) return perWeight;
    left -= used;
    weightLeft -= weight;
  }
  return Number.POSITIVE_INFINITY;
}

/** The time after which the caller should come back. */
function retryMs(
  { requestId, timeLeftMs }: ShareRequest,
  { excessMs, level }: { readonly excessMs: number; readonly level: number },
): number {
  const longestMs = Math.max(
    MIN_RETRY_MS,
    timeLeftMs * MAX_RETRY_PART / LATER_JITTER,
  );
  const drainedMs = Math.min(
    Math.max(MIN_RETRY_MS, longestMs * MAX_DRAIN_PART),
    Math.max(MIN_RETRY_MS, excessMs * DRAIN_FACTOR),
  );
  const spread = level === 0 ? URGENT_SPREAD : SPREAD;
  const spreadMs = (longestMs - drainedMs) * spread;
  return drainedMs + spreadMs * hashPart("retry", requestId);
}

/** A number from 0 to below 1, another one for each request and time. */
function drawOf({ requestId, nowMs }: ShareRequest): number {
  return hashPart(`draw-${Math.floor(nowMs / DRAW_MS)}`, requestId);
}

/**
 * A hash of the text, from 0 to below 1.
 *
 * @example
 * ```ts
 * const delayMs = 250 + 500 * hashPart("retry", requestId);
 * ```
 */
export function hashPart(key: string, text: string): number {
  return rendezvousWeight(key, text) / UINT32;
}

function sizeScale({ tokensToRead, usualTokens }: ShareRequest): number {
  const largeTokens = LARGE_FACTOR * usualTokens;
  if (tokensToRead <= largeTokens) return 1;
  return Math.max(MIN_SIZE_SCALE, largeTokens / tokensToRead);
}

function isMostlyKnown(work: readonly TeamWork[], room: ServiceRoom): boolean {
  const units = sumUnits(work);
  const allUnits = room.prefillTokens + room.requests * TOKENS_PER_PLACE;
  return units > 0 && units >= MIN_KNOWN_PART * allUnits;
}

function sumOf(
  work: readonly TeamWork[],
  count: "requests" | "prefillTokens",
): number {
  return work.reduce((sum, entry) => sum + entry[count], 0);
}

function sumUnits(work: readonly TeamWork[]): number {
  return work.reduce((sum, entry) => sum + unitsOf(entry), 0);
}

/** Work in prompt tokens; a place counts as the tokens prefilled meanwhile. */
function unitsOf({ requests, prefillTokens }: TeamWork): number {
  return prefillTokens + requests * TOKENS_PER_PLACE;
}
