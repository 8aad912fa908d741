/**
 * Decides whether a request may run, by its route and API key, and what it
 * costs its team.
 *
 * @module
 */

import type { ServiceName } from "@endivebend/types";
import { type ConfigurationView, pickDestination } from "./configuration.ts";
import type { Route, TeamRules } from "./types.ts";

/** What is known of a request before its body is read. */
export interface RequestHead {
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
  /** Tokens that the request declares; undefined when it declares none. */
  readonly tokens: number | undefined;
}

/** Why a request may not run. */
export type DeniedReason =
  | "no_configuration"
  | "unknown_route"
  | "unknown_key"
  | "no_service";

/** Whether a request may run, and with which route, team and service. */
export type Admission =
  | { readonly kind: "denied"; readonly reason: DeniedReason }
  | {
    readonly kind: "admitted";
    readonly route: Route;
    readonly team: TeamRules | undefined;
    readonly service: ServiceName;
    /** Units that the request takes from its team's rate limit. */
    readonly cost: number;
  };

/**
 * Decides by the current configuration. `fraction`, from 0 to below 1, selects
 * one of the route's destinations.
 *
 * @example
 * ```ts
 * const admission = admit(view, head, Math.random());
 * ```
 */
export function admit(
  view: ConfigurationView | undefined,
  head: RequestHead,
  fraction: number,
): Admission {
  if (view === undefined) return denied("no_configuration");
  const route = view.findRoute(head.host, head.path);
  if (route === undefined) return denied("unknown_route");
  const team = head.key === undefined
    ? undefined
    : view.configuration.teamByKey.get(head.key);
  const needsKey = view.configuration.teams.length > 0 &&
    !route.allowsAnonymous;
  if (needsKey && team === undefined) return denied("unknown_key");
  const service = pickDestination(route, fraction);
  if (service === undefined) return denied("no_service");
  const cost = team?.unit === "tokens" ? head.tokens ?? team.defaultTokens : 1;
  return { kind: "admitted", route, team, service, cost };
}

function denied(reason: DeniedReason): Admission {
  return { kind: "denied", reason };
}
