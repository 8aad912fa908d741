/**
 * Decides who relays gossip in a large fleet. If each of 195 daemons sent its
 * state to all others in turn, what it knows of their work, spending and
 * placements would be 5 s old, and each would decode 90 messages a second.
 * Instead, a few daemons of each failure domain, the relays, collect the
 * messages of their domain and pass them on in bundles: to the other daemons of
 * the domain and to the relays of the other domains, which pass them on too.
 *
 * Relays are chosen by rendezvous hashing, without agreement. Messages carry
 * sequence numbers, so that one that comes twice, while daemons disagree on who
 * relays, has no effect.
 *
 * @module
 */

import { rankByRendezvous } from "@endivebend/routing";
import type { FailureDomainId, VmId } from "@endivebend/types";

/** A daemon that can be heard, with its gossip address. */
export interface RelayCandidate {
  readonly vm: VmId;
  readonly failureDomain: FailureDomainId;
  readonly address: string;
}

/** Whom a daemon sends to. All lists hold gossip addresses. */
export interface RelayPlan {
  /** The other relays of the own failure domain. */
  readonly relays: readonly string[];
  /** Whether this daemon is a relay; otherwise the lists below are empty. */
  readonly isRelay: boolean;
  /** Daemons of the own failure domain that this relay sends bundles to. */
  readonly served: readonly string[];
  /** The relay of the same rank in each other failure domain. */
  readonly counterparts: readonly string[];
}

/** Two relays of a failure domain may end at once. */
const MIN_RELAYS_PER_DOMAIN = 3;
/**
 * Daemons that one relay serves. The bundles of five domains for 10 daemons
 * take less than half of a small VM's link, 20 Mbit/s.
 */
const MAX_SERVED = 10;
/** Smaller fleets hear everyone within a second without relays. */
export const MIN_RELAYED_FLEET = 32;

/**
 * The relays of a failure domain, in rank order.
 *
 * @example
 * ```ts
 * const [first] = relaysOf(failureDomain, candidates);
 * ```
 */
export function relaysOf(
  failureDomain: FailureDomainId,
  candidates: readonly RelayCandidate[],
): readonly RelayCandidate[] {
  const byVm = new Map(
    candidates
      .filter((candidate) => candidate.failureDomain === failureDomain)
      .map((candidate) => [candidate.vm, candidate]),
  );
  const count = Math.max(
    MIN_RELAYS_PER_DOMAIN,
    Math.ceil(byVm.size / (MAX_SERVED + 1)),
  );
  return rankByRendezvous(`relay/${failureDomain}`, [...byVm.keys()])
    .slice(0, count)
    .map((vm) => byVm.get(vm)!);
}

/**
 * Plans whom a daemon sends to. Undefined in a fleet that is too small.
 *
 * @example
 * ```ts
 * const plan = planRelays(self, reachablePeers);
 * ```
 */
export function planRelays(
  self: RelayCandidate,
  peers: readonly RelayCandidate[],
): RelayPlan | undefined {
  if (peers.length + 1 < MIN_RELAYED_FLEET) return undefined;
  const all = [...peers, self];
  const relays = relaysOf(self.failureDomain, all);
  const rank = relays.findIndex(({ vm }) => vm === self.vm);
  const others = relays.filter(({ vm }) => vm !== self.vm);
  const plan = { relays: others.map(({ address }) => address) };
  if (rank < 0) {
    return { ...plan, isRelay: false, served: [], counterparts: [] };
  }
  const served = servedBy(self, {
    relayVms: relays.map(({ vm }) => vm),
    domainPeers: peers.filter(({ failureDomain }) =>
      failureDomain === self.failureDomain
    ),
  });
  const domains = new Set(peers.map(({ failureDomain }) => failureDomain));
  domains.delete(self.failureDomain);
  const counterparts = [...domains].flatMap((failureDomain) =>
    counterpartsOf(rank, {
      ownCount: relays.length,
      theirs: relaysOf(failureDomain, peers),
    })
  );
  return {
    ...plan,
    isRelay: true,
    served: served.map(({ address }) => address),
    counterparts,
  };
}

/**
 * The daemons that a relay serves. Each goes to the first relay in rendezvous
 * order that has room, so that few change when a daemon comes or ends.
 */
function servedBy(
  self: RelayCandidate,
  domain: {
    readonly relayVms: readonly VmId[];
    readonly domainPeers: readonly RelayCandidate[];
  },
): RelayCandidate[] {
  const { relayVms, domainPeers } = domain;
  const byVm = new Map(domainPeers.map((peer) => [peer.vm, peer]));
  for (const vm of relayVms) byVm.delete(vm);
  const order = rankByRendezvous(`served/${self.failureDomain}`, [
    ...byVm.keys(),
  ]);
  const counts = new Map(relayVms.map((vm) => [vm, 0]));
  return order.flatMap((vm) => {
    const relay = rankByRendezvous(vm, relayVms)
      .find((relayVm) => counts.get(relayVm)! < MAX_SERVED)!;
    counts.set(relay, counts.get(relay)! + 1);
    return relay === self.vm ? [byVm.get(vm)!] : [];
  });
}

/**
 * The relays of another domain that the relay with this rank sends to. Each
 * of theirs gets the bundles of one, also with fewer relays on either side.
 */
function counterpartsOf(
  rank: number,
  domains: {
    readonly ownCount: number;
    readonly theirs: readonly RelayCandidate[];
  },
): string[] {
  const { ownCount, theirs } = domains;
  return theirs
    .filter((_, index) => index % ownCount === rank)
    .map(({ address }) => address);
}
