/**
 * What configuration and rights say about a team at this VM.
 *
 * @module
 */

import {
  MAX_BURST_TOKENS,
  type TeamTerms,
  toRateMilli,
} from "@endivebend/limits";
import { shareOfLimit } from "@endivebend/rights";
import type { FailureDomainId, TeamGroup } from "@endivebend/types";
import type { TeamLimits } from "../ports.ts";
import type { RightsView } from "./rights_task.ts";

/** Settings of lending. */
export interface LendingSettings {
  readonly loanLeaseMs: number;
  readonly floorFraction: number;
}

/** The other domains of the newest split, beginning after the own one. */
export function otherDomains(
  rights: RightsView,
  place: { readonly domain: FailureDomainId; readonly group: TeamGroup },
): FailureDomainId[] {
  const domains = rights.splits(place.group).at(-1)?.domains ?? [];
  const start = domains.indexOf(place.domain) + 1;
  return [...domains.slice(start), ...domains.slice(0, start)]
    .filter((domain) => domain !== place.domain);
}

/** Computes the terms of a team of a group that this VM holds. */
export function computeTerms(
  limits: TeamLimits,
  options: {
    readonly rights: RightsView;
    readonly domain: FailureDomainId;
    readonly group: TeamGroup;
    readonly lending: LendingSettings;
  },
): TeamTerms {
  const { rights, domain, group, lending } = options;
  const splits = rights.splits(group);
  const limit = {
    rateMilli: toRateMilli(limits.rateTokensPerSecond),
    capacityTokens: Math.min(
      Math.max(0, Math.floor(limits.burstTokens)),
      MAX_BURST_TOKENS,
    ),
  };
  const share = {
    rateMilli: shareOfLimit(splits, { domain, limit: limit.rateMilli }),
    capacityTokens: shareOfLimit(splits, {
      domain,
      limit: limit.capacityTokens,
    }),
  };
  const isAlone = splits.every((split) => split.domains.length === 1);
  return {
    share,
    limit,
    floorFraction: isAlone ? 1 : lending.floorFraction,
    leaseMs: lending.loanLeaseMs,
    lenders: otherDomains(rights, { domain, group }),
  };
}
