/**
 * Handles operators' requests that read the configuration.
 *
 * @module
 */

import {
  type ConfigurationState,
  listKeys,
  summarizeTeam,
} from "@endivebend/configuration";
import { createError } from "@endivebend/errors";
import { brandId, type TeamId, type TemplateName } from "@endivebend/types";
import type { MembershipView } from "../ports.ts";

const DEFAULT_PAGE_SIZE = 1_000;
const MAX_PAGE_SIZE = 10_000;

/** Query parameters of a list request. */
export type Query = Readonly<Record<string, string | undefined>>;

function readLimit(query: Query): number {
  if (query.limit === undefined) return DEFAULT_PAGE_SIZE;
  const limit = Number(query.limit);
  if (Number.isInteger(limit) && limit >= 1 && limit <= MAX_PAGE_SIZE) {
    return limit;
  }
  throw createError("malformed_request", "The limit is invalid", {
    field: "limit",
    remedy: `Use a whole number from 1 to ${MAX_PAGE_SIZE}`,
  });
}

/**
 * Returns one page of ids in ascending order; `next` is the `after` parameter
 * of the following page. Throws `malformed_request`.
 */
function paginate<Id extends string>(ids: Iterable<Id>, query: Query) {
  const limit = readLimit(query);
  const after = query.after ?? "";
  const sorted = [...ids].filter((id) => id > after).toSorted();
  const page = sorted.slice(0, limit);
  return { page, next: sorted.length > limit ? page.at(-1) : undefined };
}

/** Lists the templates with their names and revisions. */
export function readTemplates(state: ConfigurationState) {
  const templates = [...state.templates.values()]
    .map(({ name, revision }) => ({ name, revision }));
  return { templates };
}

/** Returns one template. Throws `unknown_route` if it does not exist. */
export function readTemplate(state: ConfigurationState, name: string) {
  const template = state.templates.get(brandId<TemplateName>(name));
  if (template !== undefined) return template;
  throw createError("unknown_route", `No template is named "${name}"`, {
    remedy: "Use a template that endivebend template list shows",
  });
}

/** Lists teams in ascending order of their names, by pages. */
export function readTeams(state: ConfigurationState, query: Query) {
  const { page, next } = paginate(state.teams.keys(), query);
  const teams = page.map((team) => {
    const { template, limits, keyIds } = summarizeTeam(state, team)!;
    return { team, template, limits, keyCount: keyIds.length };
  });
  return { teams, next };
}

/** Returns one team. Throws `unknown_route` if it does not exist. */
export function readTeam(state: ConfigurationState, name: string) {
  const team = summarizeTeam(state, brandId<TeamId>(name));
  if (team !== undefined) return team;
  throw createError("unknown_route", `No team is named "${name}"`, {
    remedy: "Use a team that endivebend team list shows",
  });
}

/** Lists the ids of valid keys: those of one team, or one page of all. */
export function readKeys(state: ConfigurationState, query: Query) {
  if (query.team !== undefined) {
    const { team } = readTeam(state, query.team);
    return { keys: listKeys(state, { team }) };
  }
  const { page, next } = paginate(state.keys.keys(), query);
  const keys = page.map((keyId) => ({
    keyId,
    team: state.keys.get(keyId)!.team.team,
  }));
  return { keys, next };
}

/**
 * Lists the entry VMs and whether a drain of them was requested. `absentDrains`
 * lists requested drains of VMs that are not entry VMs at the moment.
 */
export function readVms(
  state: ConfigurationState,
  membership: MembershipView,
) {
  const present = membership.entryVms().map((vm) => ({
    ...vm,
    incarnation: membership.incarnationOf(vm.vmId),
    drainRequested: state.drainRevisions.has(vm.vmId),
  }));
  const presentIds = new Set(present.map(({ vmId }) => vmId));
  const absentDrains = [...state.drainRevisions.keys()]
    .filter((vmId) => !presentIds.has(vmId));
  return { vms: present, absentDrains };
}
