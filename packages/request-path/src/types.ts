/**
 * Requests, routes and configuration, independent of the interface by which a
 * request came in.
 *
 * @module
 */

import type {
  BackendServerId,
  Branded,
  FailureDomainId,
  ModelName,
  RequestId,
  ServiceName,
  TeamId,
} from "@endivebend/types";

/**
 * What tells that two requests, of whatever attempt or VM, are the same: a
 * digest of path, caller and body.
 */
export type RequestDigest = Branded<string, "RequestDigest">;
/** The id of a prompt segment; requests with the same segment can share it. */
export type PromptSegmentId = Branded<string, "PromptPartId">;
/** Requests share cached prompt segments only within one scope. */
export type CacheScope = Branded<string, "CacheScope">;
/** The version of a model's weights; larger is newer. */
export type WeightsVersion = Branded<number, "WeightsNumber">;
/**
 * The version of a backend server's software. Versions have no order; answers
 * of two versions don't fit together.
 */
export type SoftwareVersion = Branded<string, "SoftwareVersion">;
/** The name of a route. */
export type RouteName = Branded<string, "RouteName">;

/** Whether a request may be retried, and whether its answer is a stream. */
export type RequestKind =
  | "repeatable"
  | "at_most_once"
  | "stream"
  | "resumable_stream";

/** One segment of a prompt. */
export interface PromptSegment {
  readonly id: PromptSegmentId;
  readonly tokens: number;
}

/** The work that a request asks of a model. */
export interface ModelWork {
  readonly model: ModelName;
  readonly promptTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maxOutputTokens: number;
  readonly prompt: readonly PromptSegment[];
}

/** A service that gets a share of a route's requests, by weight. */
export interface RouteDestination {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Destinations and rules for the requests of a host and path. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time from arrival to the end of the answer. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to its first event. */
  readonly targetMs: number;
  /** Longest accepted pause between the events of a stream. */
  readonly maxGapMs: number | undefined;
  /** Number of backend servers that one request may run at. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Whether requests need no key. */
  readonly allowsAnonymous: boolean;
  readonly destinations: readonly RouteDestination[];
}

/** Limits and rules of a team. */
export interface TeamRules {
  readonly id: TeamId;
  /** Overrides the route's urgency when set. */
  readonly urgency: number | undefined;
  /** Whether the team shares no cached prompt segments with other teams. */
  readonly isIsolated: boolean;
  /** 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  readonly unit: "calls" | "tokens";
  /** Tokens charged for a request that does not declare its own. */
  readonly defaultTokens: number;
}

/** The rules of a service. */
export interface ServiceRules {
  readonly name: ServiceName;
  /** Connections that one server accepts from all callers together. */
  readonly maxConnections: number;
  /** Tokens per event of a stream; 1 for plain services. */
  readonly tokensPerEvent: number;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One revision of the configuration. */
export interface Configuration {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceRules[];
  /** Addresses of the stores that cache prompt segments. */
  readonly cacheStores: readonly string[];
  readonly teams: readonly TeamRules[];
  readonly teamByKey: ReadonlyMap<string, TeamRules>;
  readonly callerLimits: CallerLimits;
}

/** A backend server as its own entry in the platform's list describes it. */
export interface ListedServer {
  readonly id: BackendServerId;
  readonly service: ServiceName;
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly isLeaving: boolean;
  readonly slots: number;
  readonly weights: ReadonlyMap<ModelName, WeightsVersion>;
  /** Undefined when unknown; two unknown versions may differ. */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** When the process started; another value means another incarnation. */
  readonly startedAtMs: number;
  /** Rises with each report that the process makes of itself. */
  readonly reportCount: number;
}

/** One request of a caller with its route, service and team. */
export interface RoutedRequest {
  readonly requestId: RequestId;
  readonly digest: RequestDigest;
  readonly route: Route;
  readonly service: ServiceName;
  readonly team: TeamRules | undefined;
  readonly work: ModelWork | undefined;
  /** Units that the request takes from its team's rate limit. */
  readonly cost: number;
  /** When the caller stops waiting, on the steady clock. */
  readonly deadlineMs: number;
  /** When the route's timeout ends, on the steady clock. */
  readonly timeoutAtMs: number;
  /** Id of the last event that the caller has; the stream resumes after it. */
  readonly resumeAfter: string | undefined;
  /** The request that brought the first event of the stream it takes up. */
  readonly takesUp: RequestId | undefined;
  /** Data with which the interface sends the request; opaque here. */
  readonly message: unknown;
}

/** Whether a request of the kind may be retried after it may have run. */
export function isRepeatable(kind: RequestKind): boolean {
  return kind === "repeatable" || kind === "resumable_stream";
}

/** Whether an answer of the kind is a series of events. */
export function isStream(kind: RequestKind): boolean {
  return kind === "stream" || kind === "resumable_stream";
}

/** Engines have ten levels of urgency. */
const LEAST_URGENT_RANK = 9;

/** The urgency of a request, 0 first; its team's overrides its route's. */
export function urgencyOf(request: RoutedRequest): number {
  return Math.min(
    LEAST_URGENT_RANK,
    request.team?.urgency ?? request.route.urgency,
  );
}

/** Whether a caller goes on with a stream that another request began. */
export function isTakeUp(request: RoutedRequest): boolean {
  const { route, resumeAfter, takesUp } = request;
  return route.kind === "resumable_stream" &&
    (resumeAfter !== undefined || takesUp !== undefined);
}
