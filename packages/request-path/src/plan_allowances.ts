/**
 * Divides the requests that servers with a limit take among the daemons. A
 * server names one figure for all of them, so that daemons that each keep to it
 * would be over it together.
 *
 * @module
 */

import type { BackendServerId, VmId } from "@endivebend/types";

/** A server that names a limit. */
export interface LimitedServer {
  readonly id: BackendServerId;
  /** Requests a second from all daemons together. */
  readonly limitPerS: number;
}

/** A daemon that sends requests to the servers. */
export interface Sharer {
  readonly vm: VmId;
  /** Requests a second that it gets for the servers' service. */
  readonly demandPerS: number;
}

/**
 * Requests a second that are sent to a server with a lower limit, so that a
 * daemon learns when it names another one.
 */
const MIN_RATE_PER_S = 0.25;
/**
 * Demand that every daemon is taken to have, as a part of the mean: callers may
 * move to it sooner than its peers learn of that.
 */
const MIN_DEMAND_SHARE = 0.1;

/**
 * Daemons leave a fifth of their parts unused on average, as requests come
 * unevenly. In some 4 s users allow half more than the limit, and 5 requests.
 */
const OVERBOOKING = 1.2;

/**
 * Daemons that share one server at most. Each may send one request that it has
 * saved up, all of them at once: with the overbooking 5.8 times the limit and 2
 * in 4 s, where 6 times the limit and 5 are allowed.
 */
function maxSharers(limitPerS: number): number {
  return Math.floor(limitPerS) + 2;
}

/**
 * Requests a second that the daemon `self` may send to each server; servers
 * that it leaves to others are missing. Each server's limit is divided among
 * its sharers by their demand. Sharers are all daemons of a small fleet, and in
 * a large one so few that each still has a useful part, in turn, so that every
 * daemon gets as many servers as the others. Daemons that know the same come to
 * parts that add up to the limits.
 *
 * @example
 * ```ts
 * const ratePerS = planAllowances(limited, { self, all }).get(server.id);
 * ```
 */
export function planAllowances(
  limited: readonly LimitedServer[],
  daemons: { readonly self: VmId; readonly all: readonly Sharer[] },
): ReadonlyMap<BackendServerId, number> {
  const members = daemons.all.toSorted((a, b) => compare(a.vm, b.vm));
  const weightOf = weighByDemand(members);
  const rates = new Map<BackendServerId, number>();
  let first = 0;
  for (
    const { id, limitPerS } of limited.toSorted((a, b) => compare(a.id, b.id))
  ) {
    const count = Math.min(members.length, maxSharers(limitPerS));
    const sharers = Array.from(
      { length: count },
      (_, index) => members[(first + index) % members.length]!,
    );
    first = (first + count) % members.length;
    const own = sharers.find(({ vm }) => vm === daemons.self);
    if (own === undefined) continue;
    const total = sharers.reduce((sum, sharer) => sum + weightOf(sharer), 0);
    const ratePerS = Math.max(limitPerS, MIN_RATE_PER_S) * OVERBOOKING;
    rates.set(id, ratePerS * weightOf(own) / total);
  }
  return rates;
}

/** The weight of each daemon, from its demand and a part of the mean. */
export function weighByDemand(members: readonly Sharer[]) {
  const total = members.reduce((sum, { demandPerS }) => sum + demandPerS, 0);
  if (total === 0) return () => 1;
  const least = MIN_DEMAND_SHARE * total / members.length;
  return ({ demandPerS }: Sharer) => Math.max(least, demandPerS);
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
