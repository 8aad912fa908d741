/**
 * Computes the share of a failure domain in a limit.
 *
 * During a change of the set of domains some holders use the old split and some
 * the new one. Every holder therefore uses its smallest share over all splits
 * from the oldest that any holder of the group may still use to the newest it
 * knows. Let r be the split that the holder with the oldest view has applied: r
 * is in that range for every holder, so each spends at most its share under r,
 * and these shares sum to at most the limit. A holder confirms a split in the
 * log once its loans fit it; the range then shrinks, and domains whose share
 * grows get the rest. A deadline instead of confirmations would let the sum
 * exceed the limit if a partition lasted longer than the deadline.
 *
 * @module
 */

import type { FailureDomainId, TeamGroup } from "@endivebend/types";
import type { DomainSplit, RightsState } from "./state.ts";

/** The oldest revision that a holder of the group may still use. */
export function confirmedRevision(
  state: RightsState,
  group: TeamGroup,
): number {
  let oldest = Number.MAX_SAFE_INTEGER;
  for (const domain of state.domains.values()) {
    const holder = domain.holders[group];
    if (holder === undefined) continue;
    const revision = state.vms.get(holder)?.confirmedRevision ?? 0;
    if (revision < oldest) oldest = revision;
  }
  return oldest;
}

function splitShare(
  split: DomainSplit,
  options: { readonly domain: FailureDomainId; readonly limit: number },
): number {
  const index = split.domains.indexOf(options.domain);
  if (index < 0) return 0;
  const count = split.domains.length;
  const base = Math.floor(options.limit / count);
  return base + (index < options.limit - base * count ? 1 : 0);
}

/** The splits that a holder of the group must respect, oldest first. */
export function splitsInUse(
  state: RightsState,
  group: TeamGroup,
): readonly DomainSplit[] {
  const current = state.splits.at(-1);
  if (current === undefined) return [];
  const oldest = Math.min(confirmedRevision(state, group), current.revision);
  return state.splits.filter((split) => split.revision >= oldest);
}

/**
 * The smallest share of a domain in an integer limit over the given splits.
 *
 * @example
 * ```ts
 * const splits = splitsInUse(state, groupOfTeam(team));
 * shareOfLimit(splits, { domain, limit: 1000 }); // 334 of three domains
 * ```
 */
export function shareOfLimit(
  splits: readonly DomainSplit[],
  options: { readonly domain: FailureDomainId; readonly limit: number },
): number {
  if (splits.length === 0) return 0;
  return Math.min(...splits.map((split) => splitShare(split, options)));
}

/** Removes splits that no holder may use any more. */
export function dropConfirmedSplits(state: RightsState): void {
  const current = state.splits.at(-1);
  if (current === undefined) return;
  let oldest = current.revision;
  for (const vm of state.vms.values()) {
    oldest = Math.min(oldest, vm.confirmedRevision);
  }
  state.splits = state.splits.filter((split) => split.revision >= oldest);
}
