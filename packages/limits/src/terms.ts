/**
 * Computes a team's terms from its limit and the rights.
 *
 * @module
 */

import { type DomainSplit, hashText, shareOfLimit } from "@endivebend/rights";
import type { FailureDomainId, TeamId } from "@endivebend/types";
import { MAX_BURST_TOKENS, toRateMilli } from "./grains.ts";
import type { TeamTerms } from "./state.ts";

const FIRST_REVISION = 1;

/** Settings of lending. */
export interface LendingSettings {
  readonly loanLeaseMs: number;
  /** The part of a share that is never lent, from 0 to 1. */
  readonly floorFraction: number;
}

/** The other domains of the newest split, beginning after the own one. */
export function otherDomains(
  splits: readonly DomainSplit[],
  domain: FailureDomainId,
): FailureDomainId[] {
  const domains = splits.at(-1)?.domains ?? [];
  const start = domains.indexOf(domain) + 1;
  return [...domains.slice(start), ...domains.slice(0, start)]
    .filter((other) => other !== domain);
}

/**
 * The domain whose holder should charge a cost: the own domain, or, for a cost
 * above the own share of the burst, one that is the same for the whole fleet.
 * Such a charge needs the other domains' capacity; were several holders to
 * gather it at once, each would keep from the others what they need.
 */
export function chargingDomain(
  team: TeamId,
  options: {
    readonly splits: readonly DomainSplit[];
    readonly domain: FailureDomainId;
    readonly burstTokens: number;
    readonly costTokens: number;
  },
): FailureDomainId {
  const { splits, domain, burstTokens, costTokens } = options;
  const limit = Math.floor(burstTokens);
  const isWithinShare = costTokens <= shareOfLimit(splits, { domain, limit });
  if (isWithinShare) return domain;
  const domains = splits.at(-1)?.domains ?? [];
  return domains[hashText(team) % Math.max(1, domains.length)] ?? domain;
}

/**
 * Computes the terms of a team at the holder of a domain.
 *
 * @example
 * ```ts
 * const splits = splitsInUse(state, groupOfTeam(team));
 * computeTerms(limits, { splits, domain, lending });
 * ```
 */
export function computeTerms(
  limits: {
    readonly rateTokensPerSecond: number;
    readonly burstTokens: number;
  },
  options: {
    readonly splits: readonly DomainSplit[];
    readonly domain: FailureDomainId;
    readonly lending: LendingSettings;
  },
): TeamTerms {
  const { splits, domain, lending } = options;
  const rateMilli = toRateMilli(limits.rateTokensPerSecond);
  const burst = Math.max(0, Math.floor(limits.burstTokens));
  const capacityTokens = Math.min(burst, MAX_BURST_TOKENS);
  // A fleet that had more domains before may have loans out from that time,
  // which a restarted holder must leave aside.
  const isOnlyDomain = splits.every((split) =>
    split.domains.length === 1 && split.revision === FIRST_REVISION
  );
  return {
    limit: { rateMilli, capacityTokens },
    share: {
      rateMilli: shareOfLimit(splits, { domain, limit: rateMilli }),
      capacityTokens: shareOfLimit(splits, { domain, limit: capacityTokens }),
    },
    floorFraction: isOnlyDomain ? 1 : lending.floorFraction,
    leaseMs: lending.loanLeaseMs,
    lenders: otherDomains(splits, domain),
  };
}
