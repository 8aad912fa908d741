/**
 * Connects the gossip of a daemon to its components: what its messages say, where
 * they go, and what becomes of those that arrive.
 *
 * @module
 */

import { GossipChannel, type GossipMessage } from "@endivebend/fleet";
import type { DaemonParts } from "./daemon_parts.ts";
import { SERVER_TOPIC } from "./daemon_topics.ts";
import { FleetGossip } from "./fleet_gossip.ts";

/**
 * Composes what this daemon tells its peers, and applies what they tell.
 *
 * @example
 * ```ts
 * const message = createGossip(parts).composeMessage();
 * ```
 */
export function createGossip(parts: DaemonParts): FleetGossip {
  const { vm, failureDomain, ip } = parts.settings;
  return new FleetGossip({
    vm,
    incarnation: parts.incarnation,
    failureDomain,
    address: parts.peerAddress(ip),
    fleet: parts.fleet,
    registry: parts.registry,
    admission: parts.admission,
    named: parts.namedWeights,
    tables: parts.tables,
    quarantines: parts.quarantines,
    paces: parts.paces,
    versionRollouts: parts.versionRollouts,
    nowMs: () => parts.nowMs(),
    logDecision: parts.logDecision,
    reachesStore: () => parts.ports.store.isReachable,
    rolloutLease: () => ({
      epoch: parts.weightsRollout.epoch,
      logEnd: parts.weightsRollout.leaseLogEnd,
    }),
    watchedCacheChanges: () => parts.cacheWatch.recentEvents(),
    answerAgesMs: () => parts.cacheWatch.answerAgesMs(),
    forwarding: () => ({
      reaches: !parts.drain.isDraining
        ? [...parts.registry.services()].filter((service) =>
          parts.paths.mayForward(service)
        )
        : [],
      open: parts.forwardedRuns.openCount,
    }),
    readAgesMs: () => readAgesMs(parts),
  });
}

function readAgesMs(parts: DaemonParts): Record<string, number> {
  const ageMs = parts.nowMs() - parts.followers.server.readAtMs;
  return Number.isFinite(ageMs) ? { [SERVER_TOPIC]: Math.round(ageMs) } : {};
}

/**
 * Sends and receives gossip.
 *
 * @example
 * ```ts
 * createGossipChannel(parts).broadcast();
 * ```
 */
export function createGossipChannel(parts: DaemonParts): GossipChannel {
  const { ip, firstPeerPort } = parts.settings;
  const { metrics } = parts.ports;
  const failed = (reason: string) =>
    parts.logDecision("peer_send_failed", { reason });
  return new GossipChannel({
    failed,
    failureDomain: parts.settings.failureDomain,
    address: parts.peerAddress(ip),
    transport: parts.ports.createGossipTransport({
      ip,
      port: firstPeerPort,
      failed,
    }),
    scheduler: parts.ports.scheduler,
    nowMs: () => parts.nowMs(),
    composeMessage: () => parts.gossip.composeMessage(),
    addresses: () => {
      const { sameDomain, otherDomains } = parts.fleet.addresses();
      const known = new Set([...sameDomain, ...otherDomains]);
      const unknownSeeds = [...parts.seedAddresses].filter((seed) =>
        !known.has(seed)
      );
      return {
        sameDomain,
        otherDomains: [...otherDomains, ...unknownSeeds],
      };
    },
    relayPlan: () =>
      parts.fleet.relayPlan(parts.peerAddress(ip), parts.nowMs()),
    composeBundle: () => parts.gossip.composeBundle(),
    overdueDomains: (limitMs) =>
      parts.fleet.overdueDomains(parts.nowMs(), limitMs)
        .map(({ failureDomain }) => failureDomain),
    addressesOf: (failureDomain) => parts.fleet.addressesOf(failureDomain),
    relayed: (bytes) => {
      parts.relayed.datagrams += 1;
      parts.relayed.bytes += bytes;
      metrics.count("gossip_relayed");
      metrics.count("gossip_relayed_bytes", {}, bytes);
    },
    requested: (domain) => metrics.count("gossip_requests", { domain }),
    onMessage: (message) => receive(parts, { message, ageMs: 0 }),
    onBundle: ({ failureDomain, messages }) => {
      parts.fleet.recordBundle(failureDomain, parts.nowMs());
      for (const { message, ageMs } of messages) {
        receive(parts, { message, ageMs });
      }
    },
  });
}

function receive(
  parts: DaemonParts,
  { message, ageMs }: {
    readonly message: GossipMessage;
    readonly ageMs: number;
  },
): void {
  if (!parts.gossip.receive(message, ageMs)) return;
  parts.seedAddresses.delete(message.address);
  parts.weightsRollout.noteLeaseLogEnd(message.duty.logEnd ?? 0);
  parts.pulls.pullNewer(message);
}
