/**
 * Wires membership to the views that daemons swap.
 *
 * @module
 */

import type { PeerView } from "@endivebend/peers";
import type { VmEntry } from "@endivebend/types";
import type { EngineDirectory } from "../engines/engine_directory.ts";
import { MembershipTask } from "../membership/membership_task.ts";
import { loadsOfView } from "../peering/peer_view.ts";
import type { Foundation } from "./foundation.ts";

/** How often the platform's VM list is read. */
const LIST_INTERVAL_MS = 500;

/** What the views of peers are given to. */
export interface ViewReceivers {
  readonly ownView: () => PeerView;
  readonly noteProgress: (view: PeerView) => void;
  readonly blockKeys: (digests: readonly string[]) => void;
}

function seedEntries(foundation: Foundation): VmEntry[] {
  const { peers, vmId } = foundation.settings;
  const others = peers.addresses.filter((peer) => peer.vmId !== vmId);
  return others.map((peer) => ({
    ...peer,
    role: "entry" as const,
    state: "live" as const,
  }));
}

/** Makes the membership task of a daemon that peers reach at `peerAddress`. */
export function createMembership(
  foundation: Foundation,
  options: {
    readonly peerAddress: string;
    readonly directory: EngineDirectory;
    readonly receivers: ViewReceivers;
  },
): MembershipTask {
  const { clock, settings, identity, platform } = foundation;
  const { directory, receivers } = options;
  const membership: MembershipTask = new MembershipTask({
    ...foundation,
    self: {
      vmId: identity.vmId,
      failureDomain: identity.failureDomain,
      role: "entry",
      state: "live",
      address: options.peerAddress,
    },
    seeds: seedEntries(foundation),
    listVms: () => platform.listVms(),
    listIntervalMs: LIST_INTERVAL_MS,
    exchangeIntervalMs: settings.peers.exchangeIntervalMs,
    ownView: receivers.ownView,
    onPeerView(view) {
      receivers.noteProgress(view);
      receivers.blockKeys(view.blockedKeyDigests);
      for (const { load, ageMs } of loadsOfView(view)) {
        if (!directory.recordLoad(load, ageMs)) continue;
        membership.recordServerAnswer(load.backendServerId, {
          incarnation: load.incarnation,
          weightsVersion: load.weightsVersion,
          asOfMs: clock.elapsedMs() - ageMs,
        });
      }
    },
  });
  return membership;
}
