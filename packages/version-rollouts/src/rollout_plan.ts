/**
 * Plans an order: which share of the requests goes to which new servers, and
 * when the order ends. A bad version may get a tenth of the requests between the
 * order and its time limit, so everything goes to the new version for a short
 * time only, yet long enough that work leaves the old servers, which stop at
 * once when the order has succeeded.
 *
 * @module
 */

import type { RouteName } from "@endivebend/request-path";
import type { BackendServerId } from "@endivebend/types";
import type { RouteSums } from "./fleet_evidence.ts";
import type { FinalPhase } from "./version_order.ts";

/** A phase of an order before all requests move. */
interface Step {
  /** How long before all requests move, as a share of the order's duration. */
  readonly before: number;
  /** Share of the requests, as a multiple of the bound on exposure. */
  readonly multiple: number;
}

/** They use 0.36 of the bound on exposure by the time when all requests move. */
const STEPS: readonly Step[] = [
  { before: 1, multiple: 0.3 },
  { before: 0.13, multiple: 1 },
  { before: 0.06, multiple: 2.5 },
];
/** Latest time from which all requests move; leaves 4.3 s of 12 s after it. */
const LAST_ALL_FROM = 0.58;
/** Earliest, where answers last long. */
const FIRST_ALL_FROM = 0.45;
/** Answers last this much longer at times than those that were seen. */
const DRAIN_FACTOR = 1.2;
/** Time for the plan to reach all daemons, and their work to be told. */
const GOSSIP_MARGIN_MS = 600;
/** Where requests are few, the first step may take this multiple instead. */
const MAX_FIRST_MULTIPLE = 0.6;
/** Where they are very few, it may use this part of the slack instead. */
const FIRST_SLACK_PART = 0.4;
/** Half of the requests stay, so that the versions can be compared. */
const MAX_FIRST_SHARE = 0.5;
/** A step waits for its answers up to this share of the duration. */
const LAST_START = 0.62;
/** Answers on each route before the share grows. */
const MIN_ROUTE_ANSWERS = 20;
/** Routes have different rates, and answers come after their requests. */
const ANSWERS_MARGIN = 1.3;
/** The rate of requests is known by then. */
const MIN_RATE_MS = 800;
/** Answers on all routes together without which all requests never move. */
const MIN_LATE_ANSWERS = 10;
/** A route with fewer other answers has too few requests to be waited for. */
const MIN_OTHER_ANSWERS = 40;
/** Share of the old servers' number that new servers must have to take all. */
const MIN_NEW_SERVERS = 0.5;

/** Time that the last write of the status may take. */
const WRITE_MARGIN_MS = 700;
/** Time for which all requests go to the new version, as it may fail by load. */
const USUAL_ALL_MS = 1_200;
/** The least of it, where another holder has taken over late. */
const MIN_ALL_MS = 600;
/** Share of the duration from which the least is enough. */
const LATE = 0.85;
/** Work that is given up at the old servers rather than the whole order. */
const MAX_GIVEN_UP = 3;
/** Share of the daemons that may have ended without notice, and one at least. */
const MAX_SILENT_SHARE = 0.15;

/** Input of the plan. */
export interface SharePlanInput {
  /** Time since the order. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  readonly exposeShare: number;
  readonly exposeSlack: number;
  /** Servers of other versions. */
  readonly oldServers: number;
  /** Usable servers of the new version, in an order that all holders share. */
  readonly newServers: readonly BackendServerId[];
  readonly routes: ReadonlyMap<RouteName, RouteSums>;
  /** Requests of the service since the order. */
  readonly requests: number;
  /** The present share. */
  readonly share: number;
  /** The longest time that an old server has worked on a request. */
  readonly longestMs: number;
}

/** The share of the requests and the new servers that take it. */
export interface SharePlan {
  readonly share: number;
  /** All when empty. */
  readonly servers: readonly BackendServerId[];
}

/**
 * Plans the share of an order whose version is not known as bad.
 *
 * @example
 * ```ts
 * const { share, servers } = planShare({ elapsedMs: 2_000, ...rest });
 * ```
 */
export function planShare(input: SharePlanInput): SharePlan {
  const { elapsedMs, durationMs, exposeShare, newServers, oldServers } = input;
  if (newServers.length === 0) return { share: 0, servers: [] };
  if (oldServers === 0 || input.share >= 1) return { share: 1, servers: [] };
  const progress = elapsedMs / durationMs;
  const isHarmless = input.requests <= input.exposeSlack * FIRST_SLACK_PART;
  const hasAnswers = isHarmless ||
    countEnded(input.routes) >= MIN_LATE_ANSWERS;
  const isWaitOver = progress >= LAST_START && hasAnswers;
  const mayGrow = isWaitOver || isShown(input);
  const hasServers = newServers.length >= oldServers * MIN_NEW_SERVERS;
  const allFrom = allFromOf(input);
  if (progress >= allFrom && mayGrow && hasServers) {
    return { share: 1, servers: [] };
  }
  const due = STEPS.findLast(({ before }) => progress >= allFrom - before) ??
    STEPS[0]!;
  const isFirst = !mayGrow || due === STEPS[0];
  const share = isFirst
    ? firstShare(input)
    : Math.min(1, due.multiple * exposeShare);
  // Each of them then meets the usual load of an old server.
  const count = Math.max(1, Math.round(share * oldServers));
  return { share, servers: newServers.slice(0, count) };
}

/** From which share of the duration all requests may move. */
function allFromOf({ durationMs, longestMs }: SharePlanInput): number {
  const leaveMs = longestMs * DRAIN_FACTOR + WRITE_MARGIN_MS + GOSSIP_MARGIN_MS;
  const latest = 1 - leaveMs / durationMs;
  return Math.max(FIRST_ALL_FROM, Math.min(LAST_ALL_FROM, latest));
}

/** The share that brings each route its answers before the share grows. */
function firstShare(input: SharePlanInput): number {
  const { elapsedMs, durationMs, exposeShare, routes, requests } = input;
  const least = STEPS[0]!.multiple * exposeShare;
  const most = MAX_FIRST_MULTIPLE * exposeShare;
  // Requests vary, and each change of the plan is announced.
  if (input.share > least) return Math.min(input.share, MAX_FIRST_SHARE);
  if (elapsedMs < MIN_RATE_MS || requests === 0) return least;
  const expected = requests / elapsedMs * FIRST_ALL_FROM * durationMs;
  const needed = MIN_ROUTE_ANSWERS * routes.size * ANSWERS_MARGIN;
  if (needed <= expected * least) return least;
  const ofSlack = input.exposeSlack * FIRST_SLACK_PART / expected;
  return Math.min(MAX_FIRST_SHARE, Math.max(most, ofSlack));
}

/** Whether every route with sufficient requests has its answers. */
function isShown({ routes }: SharePlanInput): boolean {
  return countEnded(routes) > 0 && lackingRoutes(routes).size === 0;
}

function countEnded(routes: SharePlanInput["routes"]): number {
  let count = 0;
  for (const { ended } of routes.values()) count += ended;
  return count;
}

/** Routes on which the new version has not answered sufficiently yet. */
export function lackingRoutes(
  routes: ReadonlyMap<RouteName, RouteSums>,
): Set<RouteName> {
  const lacking = new Set<RouteName>();
  for (const [route, { ended, otherAnswers }] of routes) {
    const hasRequests = otherAnswers >= MIN_OTHER_ANSWERS;
    if (hasRequests && ended < MIN_ROUTE_ANSWERS) lacking.add(route);
  }
  return lacking;
}

/** The part of the slack that each daemon's credit may use. */
export function slackOf(exposeSlack: number, daemons: number): number {
  return exposeSlack * FIRST_SLACK_PART / Math.max(1, daemons);
}

/** Input of the decision how an order ends. */
export interface EndPlanInput {
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Since when all requests go to the new version; undefined before. */
  readonly movedAllForMs: number | undefined;
  readonly isBad: boolean;
  /** Requests of all daemons at the old servers. */
  readonly oldWork: number;
  /** Daemons that are heard and do not apply the plan yet. */
  readonly lagging: number;
  /** Daemons that were heard since the order and are silent now. */
  readonly silent: number;
  /** All daemons that were heard since the order, this one included. */
  readonly daemons: number;
}

/**
 * Decides whether an order goes on or ends, and how.
 *
 * @example
 * ```ts
 * const phase = planEnd({ elapsedMs, durationMs, isBad: false, ...rest });
 * ```
 */
export function planEnd(input: EndPlanInput): "running" | FinalPhase {
  const { elapsedMs, durationMs, movedAllForMs = 0, isBad } = input;
  if (isBad) return "rolled_back";
  const isLast = elapsedMs >= durationMs - WRITE_MARGIN_MS;
  const hasLeft = input.oldWork === 0 && input.lagging === 0 &&
    input.silent === 0;
  const allMs = elapsedMs < durationMs * LATE ? USUAL_ALL_MS : MIN_ALL_MS;
  if (movedAllForMs >= allMs && hasLeft) return "succeeded";
  if (!isLast) return "running";
  const maxSilent = Math.max(1, input.daemons * MAX_SILENT_SHARE);
  const mayGiveUp = input.oldWork <= MAX_GIVEN_UP && input.lagging === 0 &&
    input.silent <= maxSilent;
  return movedAllForMs >= MIN_ALL_MS && mayGiveUp ? "succeeded" : "rolled_back";
}
