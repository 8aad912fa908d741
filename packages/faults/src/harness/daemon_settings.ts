/**
 * The settings of one daemon of a fleet.
 *
 * @module
 */

import type { VmEntry } from "@endivebend/types";
import type { DaemonPorts } from "./daemon.ts";
import type { FleetShape } from "./fleet_shape.ts";
import type { Network } from "./network.ts";
import { OPERATOR_KEY, sha256 } from "./operator.ts";

const SHARED_KEY = "shared-key-of-the-fault-harness-32-characters";
const LOOPBACK = "127.0.0.1";

/** Writes the settings as the daemon's file holds them. */
export function daemonSettings(
  vm: VmEntry,
  options: {
    readonly ports: DaemonPorts;
    readonly entries: readonly VmEntry[];
    readonly network: Network;
    readonly shape: FleetShape;
  },
): Readonly<Record<string, unknown>> {
  const { ports, entries, network, shape } = options;
  const domain = vm.failureDomain;
  const listen = (port: number) => ({ host: LOOPBACK, port });
  const peers = entries.filter((other) => other.vmId !== vm.vmId);
  return {
    vmId: vm.vmId,
    failureDomain: domain,
    fleet: { failureDomains: shape.domains, region: "loopback" },
    listen: {
      callers: listen(ports.callers),
      operators: listen(ports.operators),
      peers: listen(ports.peers),
    },
    platform: {
      address: network.platformAddress(domain),
      timeoutMs: 1000,
      pollWaitMs: 1000,
      ...shape.platformSettings,
    },
    peers: {
      sharedKey: SHARED_KEY,
      addresses: peers.map((peer) => ({
        vmId: peer.vmId,
        address: network.addressOf(peer, domain),
        failureDomain: peer.failureDomain,
      })),
    },
    operators: { keys: [{ name: "harness", sha256: sha256(OPERATOR_KEY) }] },
    limits: shape.limits,
  };
}
