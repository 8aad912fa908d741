/**
 * Divides the places of brittle servers among the daemons. Such a server falls
 * over when it has to turn away more than a few requests in a second, so all
 * daemons together must not send it more than it can run.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@endivebend/types";
import { type Sharer, weighByDemand } from "./plan_allowances.ts";

/** A server that is brittle. */
export interface BrittleServer {
  readonly id: BackendServerId;
  /** Requests that it runs at a time. */
  readonly slots: number;
}

/**
 * How many requests the daemon `self` may have at each server at a time; servers
 * without a place for it are missing. The places of all servers are put in a
 * row, in which those of one server are far apart, and each daemon gets a piece
 * of the row by its demand. Daemons that know the same come to pieces that don't
 * overlap; where demand changes, a piece may be off by a place for a moment,
 * which a server lets wait.
 *
 * @example
 * ```ts
 * const places = planPlaces(brittle, { self, all }).get(server.id) ?? 0;
 * ```
 */
export function planPlaces(
  servers: readonly BrittleServer[],
  daemons: { readonly self: VmId; readonly all: readonly Sharer[] },
): ReadonlyMap<BackendServerId, number> {
  const row = placesInARow(servers);
  const members = daemons.all.toSorted((a, b) => a.vm < b.vm ? -1 : 1);
  const weightOf = weighByDemand(members);
  const total = members.reduce((sum, member) => sum + weightOf(member), 0);
  const own = members.findIndex(({ vm }) => vm === daemons.self);
  const places = new Map<BackendServerId, number>();
  if (own < 0) return places;
  const before = members.slice(0, own)
    .reduce((sum, member) => sum + weightOf(member), 0);
  const after = before + weightOf(members[own]!);
  const from = Math.round(row.length * before / total);
  const to = Math.round(row.length * after / total);
  for (const id of row.slice(from, to)) {
    places.set(id, (places.get(id) ?? 0) + 1);
  }
  return places;
}

/** One entry for each place: one of every server, then another of every server. */
function placesInARow(servers: readonly BrittleServer[]): BackendServerId[] {
  const sorted = servers.toSorted((a, b) => a.id < b.id ? -1 : 1);
  const mostSlots = Math.max(0, ...sorted.map(({ slots }) => slots));
  return Array.from(
    { length: mostSlots },
    (_, round) =>
      sorted.filter(({ slots }) => slots > round).map(({ id }) => id),
  ).flat();
}
