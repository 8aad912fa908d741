/**
 * Computes a team's limits at one holder from its fleet-wide limit and the
 * rights.
 *
 * @module
 */

import { type DomainSplit, hashText, shareOfLimit } from "@endivebend/rights";
import type { FailureDomainId, TeamId } from "@endivebend/types";
import { MAX_BURST_TOKENS, toRateMilli } from "./fixed_point.ts";
import type { TeamTerms } from "./state.ts";

const FIRST_REVISION = 1;

/** Settings of loans between holders. */
export interface LendingSettings {
  readonly loanLeaseMs: number;
  /** Fraction of a share that is never lent, from 0 to 1. */
  readonly floorFraction: number;
}

/** The other domains of the newest split, starting after `domain`. */
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
 * The domain whose holder should charge a cost: `domain` itself or, for a cost
 * above its share of the burst, one domain that the whole fleet agrees on. Such
 * a charge needs the other domains' capacity; if several holders collected it
 * at the same time, each would withhold what the others need.
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
  // A fleet that had more domains before may have loans from that time, which a
  // restarted holder must count as lent.
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
