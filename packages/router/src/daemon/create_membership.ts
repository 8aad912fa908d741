/**
 * Connects the membership task to the views that daemons exchange.
 *
 * @module
 */

import type { PeerView } from "@endivebend/peers";
import type { VmEntry } from "@endivebend/types";
import type { EngineDirectory } from "../engines/engine_directory.ts";
import { MembershipTask } from "../membership/membership_task.ts";
import { loadsOfView } from "../peering/peer_view.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Interval between reads of the platform's VM list. */
const VM_LIST_INTERVAL_MS = 500;

/** Supplies this daemon's own view and handles the views of its peers. */
export interface PeerViewHandlers {
  readonly ownView: () => PeerView;
  readonly recordProgress: (view: PeerView) => void;
  readonly blockKeys: (digests: readonly string[]) => void;
}

function seedEntries(context: DaemonContext): VmEntry[] {
  const { peers, vmId } = context.settings;
  const peerAddresses = peers.addresses.filter((peer) => peer.vmId !== vmId);
  return peerAddresses.map((peer) => ({
    ...peer,
    role: "entry" as const,
    state: "live" as const,
  }));
}

/** Creates the membership task of a daemon that peers reach at `peerAddress`. */
export function createMembershipTask(
  context: DaemonContext,
  options: {
    readonly peerAddress: string;
    readonly directory: EngineDirectory;
    readonly viewHandlers: PeerViewHandlers;
  },
): MembershipTask {
  const { clock, settings, identity, platform } = context;
  const { directory, viewHandlers } = options;
  const membership: MembershipTask = new MembershipTask({
    ...context,
    self: {
      vmId: identity.vmId,
      failureDomain: identity.failureDomain,
      role: "entry",
      state: "live",
      address: options.peerAddress,
    },
    seeds: seedEntries(context),
    listVms: () => platform.listVms(),
    listIntervalMs: VM_LIST_INTERVAL_MS,
    exchangeIntervalMs: settings.peers.exchangeIntervalMs,
    ownView: viewHandlers.ownView,
    onPeerView(view) {
      viewHandlers.recordProgress(view);
      viewHandlers.blockKeys(view.blockedKeyDigests);
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
