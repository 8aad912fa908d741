/**
 * A request as decisions see it, whatever interface it came in by.
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

/** A named part of a prompt; requests that share it may share its cache. */
export type PromptSegmentId = Branded<string, "PromptPartId">;
/** Requests share cached prompt parts only within one scope. */
export type CacheScope = Branded<string, "CacheScope">;
/** The number of a model's weights; larger is newer. */
export type WeightsVersion = Branded<number, "WeightsNumber">;
/** The name of a route. */
export type RouteName = Branded<string, "RouteName">;

/** What may be repeated, and what the answer looks like. */
export type RequestKind =
  | "repeatable"
  | "at_most_once"
  | "stream"
  | "resumable_stream";

/** One part of a prompt, in the order in which the model reads it. */
export interface PromptSegment {
  readonly id: PromptSegmentId;
  readonly tokens: number;
}

/** What a request asks of a model. */
export interface ModelWork {
  readonly model: ModelName;
  readonly promptTokens: number;
  /** Most tokens that may be generated. */
  readonly maxOutputTokens: number;
  readonly prompt: readonly PromptSegment[];
}

/** One service that a route sends a share of its requests to. */
export interface RouteDestination {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Where requests of a host and path go, and what may be done with them. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time from arrival to the final answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or its first event, that callers aim for. */
  readonly targetMs: number;
  /** Longest pause between events for which a stream is on time. */
  readonly maxGapMs: number | undefined;
  /** Backend servers that one request may run at. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Whether requests need no key. */
  readonly allowsAnonymous: boolean;
  readonly destinations: readonly RouteDestination[];
}

/** What a team may use. */
export interface TeamRules {
  readonly id: TeamId;
  /** Overrides the route's urgency when set. */
  readonly urgency: number | undefined;
  /** Whether the team shares no cached prompt part with other teams. */
  readonly isIsolated: boolean;
  /** 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  readonly unit: "calls" | "tokens";
  /** Tokens charged for a request that does not tell its own. */
  readonly defaultTokens: number;
}

/** What the configuration says of a service. */
export interface ServiceRules {
  readonly name: ServiceName;
  /** Connections that one server accepts from all callers together. */
  readonly maxConnections: number;
  /** Tokens that an event of a stream holds; 1 for plain services. */
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
  /** Addresses of the stores that keep prompt parts. */
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
  /** When the process started; another value is another incarnation. */
  readonly startedAtMs: number;
}

/** One request of a caller, as the path handles it. */
export interface RoutedRequest {
  readonly requestId: RequestId;
  readonly route: Route;
  readonly service: ServiceName;
  readonly team: TeamRules | undefined;
  readonly work: ModelWork | undefined;
  /** What the request takes from its team's rate. */
  readonly cost: number;
  /** On the steady clock: when the caller stops waiting. */
  readonly deadlineMs: number;
  /** On the steady clock: when the route wants a final answer. */
  readonly timeoutAtMs: number;
  /** The last event that the caller has; a resumed stream goes on after it. */
  readonly resumeAfter: string | undefined;
  /** What the interface needs to send the request; opaque here. */
  readonly message: unknown;
}

/** Whether a kind may be sent again when it may have run. */
export function isRepeatable(kind: RequestKind): boolean {
  return kind === "repeatable" || kind === "resumable_stream";
}

/** Whether an answer of the kind is a series of events. */
export function isStream(kind: RequestKind): boolean {
  return kind === "stream" || kind === "resumable_stream";
}

/** Engines know ten ranks. */
const LEAST_URGENT_RANK = 9;

/** The rank of a call, 0 first; its team's goes before its route's. */
export function urgencyOf(request: RoutedRequest): number {
  return Math.min(
    LEAST_URGENT_RANK,
    request.team?.urgency ?? request.route.urgency,
  );
}
