/**
 * What operators can read.
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

/** The query of a list. */
export type Query = Readonly<Record<string, string | undefined>>;

function readLimit(query: Query): number {
  if (query.limit === undefined) return DEFAULT_PAGE_SIZE;
  const limit = Number(query.limit);
  if (Number.isInteger(limit) && limit >= 1 && limit <= MAX_PAGE_SIZE) {
    return limit;
  }
  throw createError("malformed_request", "The limit is not valid", {
    field: "limit",
    remedy: `Give a whole number from 1 to ${MAX_PAGE_SIZE}`,
  });
}

/** Cuts one page out of ids; `next` is the `after` of the following page. */
function paginate<Id extends string>(ids: Iterable<Id>, query: Query) {
  const limit = readLimit(query);
  const after = query.after ?? "";
  const sorted = [...ids].filter((id) => id > after).toSorted();
  const page = sorted.slice(0, limit);
  return { page, next: sorted.length > limit ? page.at(-1) : undefined };
}

/** Lists templates by name and revision. */
export function readTemplates(state: ConfigurationState) {
  const templates = [...state.templates.values()]
    .map(({ name, revision }) => ({ name, revision }));
  return { templates };
}

/** Gives one template. Throws `unknown_route`. */
export function readTemplate(state: ConfigurationState, name: string) {
  const template = state.templates.get(brandId<TemplateName>(name));
  if (template !== undefined) return template;
  throw createError("unknown_route", `No template is named "${name}"`, {
    remedy: "Name one of endivebend template list",
  });
}

/** Lists teams in the order of their names. */
export function readTeams(state: ConfigurationState, query: Query) {
  const { page, next } = paginate(state.teams.keys(), query);
  const teams = page.map((team) => {
    const { template, limits, keyIds } = summarizeTeam(state, team)!;
    return { team, template, limits, keyCount: keyIds.length };
  });
  return { teams, next };
}

/** Gives one team. Throws `unknown_route`. */
export function readTeam(state: ConfigurationState, name: string) {
  const team = summarizeTeam(state, brandId<TeamId>(name));
  if (team !== undefined) return team;
  throw createError("unknown_route", `No team is named "${name}"`, {
    remedy: "Name one of endivebend team list",
  });
}

/** Lists the ids of the keys in force, of one team or of all. */
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

/** Lists entry VMs with the drains that operators asked for. */
export function readVms(
  state: ConfigurationState,
  membership: MembershipView,
) {
  const present = membership.entryVms().map((vm) => ({
    ...vm,
    incarnation: membership.incarnationOf(vm.vmId),
    drainRequested: state.drains.has(vm.vmId),
  }));
  const presentIds = new Set(present.map(({ vmId }) => vmId));
  const absentDrains = [...state.drains.keys()]
    .filter((vmId) => !presentIds.has(vmId));
  return { vms: present, absentDrains };
}
