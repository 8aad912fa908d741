/**
 * Tells where a request would go now and why, by the placement that a request
 * goes through. Nothing is sent, charged or recorded. An operator asks for it
 * while callers are refused or answered late, and the log lines of single
 * requests don't show which servers were left out.
 *
 * @module
 */

import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type RequestId,
  type ServiceName,
  type TeamId,
} from "@endivebend/types";
import type { Candidate } from "./choose_server.ts";
import type { ConfigurationView } from "./configuration.ts";
import type { CrashGuard } from "./crash_guard.ts";
import {
  type Placement,
  type PlacementContext,
  type PlacementStep,
  placeRequest,
} from "./placement.ts";
import type { KnownServer } from "./server_registry.ts";
import {
  type ModelWork,
  type RequestDigest,
  type Route,
  type RoutedRequest,
  type RouteName,
  type TeamRules,
  urgencyOf,
} from "./types.ts";

/** A request to explain. It has no key: the team is named. */
export interface RouteQuery {
  readonly host: string;
  readonly path: string;
  readonly team?: TeamId | undefined;
  readonly work?: ModelWork | undefined;
  /** Time that the caller still waits; the route's without it. */
  readonly timeLeftMs?: number | undefined;
}

/** What a server would cost the request. */
export interface ExplainedCandidate {
  readonly server: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly costMs: number;
  readonly running: number;
  readonly slots: number;
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  /** Parts of the cost that are not 0. */
  readonly balanceMs?: number;
  readonly staleWeightsMs?: number;
  readonly failureRate?: number;
  readonly scarcity?: number;
  readonly isAvoided?: true;
  readonly isLoading?: true;
}

/** A server that the request would not go to. */
export interface ExcludedServer {
  readonly server: BackendServerId;
  readonly failureDomain: FailureDomainId;
  /** The step that leaves it out. */
  readonly by: PlacementStep;
}

/** Where the requests for one destination of the route would go. */
export interface ExplainedService {
  readonly service: ServiceName;
  /** Share of the route's requests. */
  readonly share: number;
  readonly outcome:
    | { readonly kind: "placed"; readonly server: BackendServerId }
    | {
      readonly kind: "refused";
      readonly reason: string;
      readonly retryInMs?: number;
    };
  /** The cheapest servers, with the cheapest first. */
  readonly candidates: readonly ExplainedCandidate[];
  readonly candidateCount: number;
  readonly excluded: readonly ExcludedServer[];
  readonly excludedCount: number;
}

/** Where a request would go, or why it would be refused before it is placed. */
export type RouteExplanation =
  | {
    readonly kind: "denied";
    readonly reason:
      | "no_configuration"
      | "unknown_route"
      | "unknown_team"
      | "team_required"
      | "no_service";
  }
  | {
    readonly kind: "routed";
    readonly route: RouteName;
    readonly team: TeamId | undefined;
    readonly urgency: number;
    readonly cost: number;
    /** Time until the team may send it; 0 when it may now. */
    readonly overLimitMs: number;
    /** Whether a segment of its prompt is kept from servers. */
    readonly isQuarantined: boolean;
    readonly services: readonly ExplainedService[];
  };

/** What an explanation depends on besides the query. */
export interface ExplainContext extends PlacementContext {
  readonly view: ConfigurationView | undefined;
  readonly crashGuard: Pick<CrashGuard, "suspectsOf" | "findBlocked">;
  /** Time until the team may spend the units; 0 when it may now. */
  overLimitMs(team: TeamRules, cost: number): number;
}

/** An answer stays within some ten kilobytes, whatever the size of the fleet. */
const MAX_SERVERS = 40;
const REQUEST_ID = brandId<RequestId>("explain-route");

/**
 * Explains where the request would go.
 *
 * @example
 * ```ts
 * const explanation = explainRoute(query, { context, nowMs });
 * ```
 */
export function explainRoute(
  query: RouteQuery,
  { context, nowMs }: {
    readonly context: ExplainContext;
    readonly nowMs: number;
  },
): RouteExplanation {
  const { view } = context;
  if (view === undefined) return { kind: "denied", reason: "no_configuration" };
  const route = view.findRoute(query.host, query.path);
  if (route === undefined) return { kind: "denied", reason: "unknown_route" };
  const { teams } = view.configuration;
  const team = teams.find(({ id }) => id === query.team);
  if (query.team !== undefined && team === undefined) {
    return { kind: "denied", reason: "unknown_team" };
  }
  const needsTeam = teams.length > 0 && !route.allowsAnonymous;
  if (needsTeam && team === undefined) {
    return { kind: "denied", reason: "team_required" };
  }
  if (route.destinations.length === 0) {
    return { kind: "denied", reason: "no_service" };
  }
  const requests = route.destinations.map(({ service }) =>
    requestOf(query, { route, team, service, nowMs })
  );
  const first = requests[0]!;
  const suspects = context.crashGuard.suspectsOf(first);
  return {
    kind: "routed",
    route: route.name,
    team: team?.id,
    urgency: urgencyOf(first),
    cost: first.cost,
    overLimitMs: team === undefined
      ? 0
      : Math.round(context.overLimitMs(team, first.cost)),
    isQuarantined: context.crashGuard.findBlocked(suspects) !== undefined,
    services: requests.map((request) =>
      explainService(request, { context, nowMs })
    ),
  };
}

function requestOf(
  query: RouteQuery,
  at: {
    readonly route: Route;
    readonly team: TeamRules | undefined;
    readonly service: ServiceName;
    readonly nowMs: number;
  },
): RoutedRequest {
  const { route, team, service, nowMs } = at;
  const { work, timeLeftMs = route.timeoutMs } = query;
  const tokens = work && work.promptTokens + work.maxOutputTokens;
  return {
    requestId: REQUEST_ID,
    // No request has it, so that no quarantine of a whole request applies.
    digest: brandId<RequestDigest>(REQUEST_ID),
    route,
    service,
    team,
    work,
    cost: team?.unit === "tokens" ? tokens ?? team.defaultTokens : 1,
    deadlineMs: nowMs + timeLeftMs,
    timeoutAtMs: nowMs + route.timeoutMs,
    resumeAfter: undefined,
    takesUp: undefined,
    message: undefined,
  };
}

function explainService(
  request: RoutedRequest,
  { context, nowMs }: {
    readonly context: PlacementContext;
    readonly nowMs: number;
  },
): ExplainedService {
  const candidates: ExplainedCandidate[] = [];
  const leftBy = new Map<KnownServer, PlacementStep>();
  let before = listedServers(request.service, context);
  const placement = placeRequest(request, {
    ...context,
    exclude: new Set(),
    hasBegun: false,
    nowMs,
    trace: {
      left: (step, servers) => {
        const left = new Set(servers);
        for (const server of before) {
          if (!left.has(server)) leftBy.set(server, step);
        }
        before = [...servers];
      },
      scored: (candidate, costMs) =>
        void candidates.push(describeCandidate(candidate, costMs)),
    },
  });
  candidates.sort((one, other) => one.costMs - other.costMs);
  const excluded = [...leftBy].map(([{ listed }, by]) => ({
    server: listed.id,
    failureDomain: listed.failureDomain,
    by,
  }));
  return {
    service: request.service,
    share: shareOf(request),
    outcome: outcomeOf(placement),
    candidates: candidates.slice(0, MAX_SERVERS),
    candidateCount: candidates.length,
    excluded: excluded.slice(0, MAX_SERVERS),
    excludedCount: excluded.length,
  };
}

function listedServers(
  service: ServiceName,
  { registry }: PlacementContext,
): KnownServer[] {
  return [...registry.all()].filter(({ listed }) => listed.service === service);
}

function shareOf({ route, service }: RoutedRequest): number {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  const own = route.destinations.find((it) => it.service === service);
  return total > 0 ? (own?.weight ?? 0) / total : 0;
}

function outcomeOf(placement: Placement): ExplainedService["outcome"] {
  if (placement.kind === "placed") {
    return { kind: "placed", server: placement.server.listed.id };
  }
  const { reason, retryInMs } = placement;
  return {
    kind: "refused",
    reason,
    ...(retryInMs === undefined ? {} : { retryInMs: Math.round(retryInMs) }),
  };
}

function describeCandidate(
  candidate: Candidate,
  costMs: number,
): ExplainedCandidate {
  const { balanceMs, staleWeightsCostMs, failureRate, scarcity } = candidate;
  return {
    server: candidate.id,
    failureDomain: brandId<FailureDomainId>(candidate.failureDomain),
    costMs: Math.round(costMs),
    running: candidate.running,
    slots: candidate.slots,
    prefillTokens: Math.round(candidate.prefillTokens),
    cachedTokens: Math.round(candidate.cachedTokens),
    ...(balanceMs ? { balanceMs: Math.round(balanceMs) } : {}),
    ...(staleWeightsCostMs ? { staleWeightsMs: staleWeightsCostMs } : {}),
    ...(failureRate > 0 ? { failureRate } : {}),
    ...(scarcity > 0 ? { scarcity } : {}),
    ...(candidate.isAvoided ? { isAvoided: true } : {}),
    ...(candidate.isLoading ? { isLoading: true } : {}),
  };
}
