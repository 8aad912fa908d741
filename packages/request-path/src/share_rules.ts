/**
 * Finds the services whose callers share them by urgency and team, and the
 * weights of teams. Others serve whoever comes first, as before.
 *
 * @module
 */

import type { ServiceName, TeamId } from "@endivebend/types";
import type { ShareRules } from "./fair_shares.ts";
import { findSlotRules } from "./slot_rules.ts";
import { type Configuration, isStream, type TeamRules } from "./types.ts";

/**
 * The rules of each model service whose slots are divided between routes of
 * different urgencies, if the configuration has teams.
 *
 * @example
 * ```ts
 * const rules = findShareRules(configuration).get(service);
 * ```
 */
export function findShareRules(
  { routes, teams }: Pick<Configuration, "routes" | "teams">,
): ReadonlyMap<ServiceName, ShareRules> {
  const found = new Map<ServiceName, ShareRules>();
  if (teams.length === 0) return found;
  const streams = routes.filter(({ kind }) => isStream(kind));
  const weights = weighTeams(teams);
  for (const service of findSlotRules({ routes }).keys()) {
    const own = streams.filter(({ destinations }) =>
      destinations.some((destination) => destination.service === service)
    );
    const urgencies = [...new Set(own.map(({ urgency }) => urgency))]
      .sort((a, b) => a - b);
    const smallestTargetMs = Math.min(...own.map(({ targetMs }) => targetMs));
    found.set(service, { urgencies, smallestTargetMs, weights });
  }
  return found;
}

/**
 * Weights by rate, which is what the operator has granted. Rates of different
 * units can't be compared, so each is divided by the mean of its unit.
 */
function weighTeams(teams: readonly TeamRules[]): ReadonlyMap<TeamId, number> {
  const limited = teams.filter(({ ratePerS }) => ratePerS > 0);
  return new Map(limited.map(({ id, unit, ratePerS }) => {
    const sameUnit = limited.filter((team) => team.unit === unit);
    const sum = sameUnit.reduce((total, team) => total + team.ratePerS, 0);
    return [id, ratePerS * sameUnit.length / sum];
  }));
}
