/**
 * How this daemon reaches the servers: on its own links, or through a daemon
 * that forwards.
 *
 * @module
 */

import { type ForwarderCandidate, ServerPaths } from "@endivebend/forwarding";
import type { DaemonParts } from "./daemon_parts.ts";

/**
 * Watches this VM's links to the servers.
 *
 * @example
 * ```ts
 * const paths = createServerPaths(parts);
 * paths.start();
 * ```
 */
export function createServerPaths(parts: DaemonParts): ServerPaths {
  const { scheduler, serverClient, log, metrics } = parts.ports;
  return new ServerPaths({
    failureDomain: parts.settings.failureDomain,
    scheduler,
    nowMs: () => parts.nowMs(),
    usable: (service) =>
      parts.registry.usable(service, parts.nowMs())
        .map(({ listed }) => listed),
    listed: () =>
      [...parts.registry.all()]
        .filter(({ removedAtMs }) => removedAtMs === undefined)
        .map(({ listed }) => listed),
    checkAnswering: (server) => serverClient.checkAnswering(server),
    checked: ({ id, service }, state) => {
      metrics.count("link_checks", { state });
      if (state === "answered") return;
      parts.logDecision("link_check", { server: id, service, state });
    },
    peers: () => forwarderCandidates(parts),
    cutOff: (service, servers, { failures, peersReaching }) => {
      log.stateChange("servers_lost", {
        service,
        servers: servers.length,
        ...failures,
        peersReaching,
      });
      metrics.count("cuts", { service });
      for (const { id, address } of servers) {
        parts.registry.forgive(id);
        // Open ones may be dead without a sign of it, also after the cut.
        serverClient.closeIdleConnections(address);
      }
      parts.gossipChannel.announce();
    },
    restored: (service) => {
      log.stateChange("servers_regained", { service });
      parts.gossipChannel.announce();
    },
  });
}

/** Reachable daemons that forward requests. */
function forwarderCandidates(parts: DaemonParts): ForwarderCandidate[] {
  const reachable = parts.fleet.reachable(parts.nowMs());
  return reachable.flatMap(({ vm, address, message }) => {
    if (message?.forwarding === undefined) return [];
    const { failureDomain, forwarding } = message;
    const [ip = ""] = address.split(":");
    return [{
      vm,
      address: `${ip}:${parts.settings.firstPeerPort + 2}`,
      failureDomain,
      reaches: forwarding.reaches,
      forwarding: forwarding.open,
    }];
  });
}
