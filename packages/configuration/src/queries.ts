/**
 * Read-only queries of the configuration state.
 *
 * @module
 */

import type {
  KeyId,
  Sha256Digest,
  TeamId,
  TemplateName,
  VmId,
} from "@endivebend/types";
import { computeLimits } from "./team_limits.ts";
import { findRoute } from "./routes.ts";
import type { RouteRule, TeamView } from "./rules.ts";
import {
  type ConfigurationState,
  keyIdOf,
  type Team,
  type Template,
} from "./state.ts";

/** Result of looking up a key. */
export type KeyStatus =
  | { readonly kind: "valid"; readonly team: TeamId; readonly keyId: KeyId }
  | {
    readonly kind: "refused";
    readonly code: "unknown_key" | "key_withdrawn";
  };

/** Looks up a key by its secret's digest, in time independent of key count. */
export function checkKey(
  state: ConfigurationState,
  digest: Sha256Digest,
): KeyStatus {
  const keyId = keyIdOf(digest);
  const key = state.keys.get(keyId);
  if (key?.digest === digest) {
    return { kind: "valid", team: key.team.team, keyId };
  }
  const isWithdrawn = state.withdrawn.has(digest);
  return {
    kind: "refused",
    code: isWithdrawn ? "key_withdrawn" : "unknown_key",
  };
}

function computeView(template: Template, team: Team): TeamView {
  const { services, models, routes } = template.body;
  const limits = computeLimits(template.body, team.parameters);
  return { team: team.team, limits, services, models, routes };
}

/** Returns a team's view, cached until its template is amended. */
export function findTeamView(
  state: ConfigurationState,
  teamId: TeamId,
): TeamView | undefined {
  const team = state.teams.get(teamId);
  if (team === undefined) return undefined;
  const template = state.templates.get(team.template);
  if (template === undefined) return undefined;
  team.view ??= computeView(template, team);
  return team.view;
}

/** Finds the open route that covers the path, across all templates. */
export function findOpenRoute(
  state: ConfigurationState,
  request: { readonly method: string; readonly path: string },
): RouteRule | undefined {
  state.openRoutes ??= [...state.templates.values()]
    .flatMap(({ body }) => body.routes)
    .filter(({ open }) => open);
  return findRoute(state.openRoutes, request);
}

/** Returns whether an operator has requested a drain of the VM. */
export function isDrainRequested(
  state: ConfigurationState,
  vmId: VmId,
): boolean {
  return state.drainRevisions.has(vmId);
}

/** A team as shown to operators. */
export interface TeamSummary extends TeamView {
  readonly template: TemplateName;
  readonly templateRevision: number;
  readonly keyIds: readonly KeyId[];
}

/** Summarizes one team; undefined when it does not exist. */
export function summarizeTeam(
  state: ConfigurationState,
  teamId: TeamId,
): TeamSummary | undefined {
  const team = state.teams.get(teamId);
  const view = findTeamView(state, teamId);
  if (team === undefined || view === undefined) return undefined;
  return {
    ...view,
    template: team.template,
    templateRevision: state.templates.get(team.template)!.revision,
    keyIds: team.keyDigests.map(keyIdOf),
  };
}

/** A key as shown to operators; never contains its secret. */
export interface KeySummary {
  readonly keyId: KeyId;
  readonly team: TeamId;
}

/** Lists the valid keys of one team, or of all teams. */
export function listKeys(
  state: ConfigurationState,
  options: { readonly team?: TeamId } = {},
): KeySummary[] {
  const keys = [...state.keys].map(([keyId, { team }]) => ({
    keyId,
    team: team.team,
  }));
  const { team } = options;
  return team === undefined ? keys : keys.filter((key) => key.team === team);
}
