/**
 * Creates the view that a daemon sends of itself, and reads the views of peers.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { type PeerView, PeerViewSchema } from "@endivebend/peers";
import type { BackendServerId } from "@endivebend/types";
import type { EngineDirectory } from "../engines/engine_directory.ts";
import type { LogFollower } from "../log/follower.ts";
import type { Clock, Identity } from "../ports.ts";
import {
  type AgedLoad,
  decodeEngineLoad,
  encodeEngineLoad,
} from "./engine_loads.ts";

/** Sources of the fields of a view. */
export interface PeerViewSources {
  readonly identity: Identity;
  /** IP address and port of this daemon's peer listener. */
  readonly address: string;
  readonly followers: readonly LogFollower[];
  readonly directory: EngineDirectory;
  readonly watchedEngines: () => readonly BackendServerId[];
  readonly blockedDigests: () => readonly string[];
  readonly isDraining: () => boolean;
  readonly clock: Clock;
}

/** Creates this daemon's view. */
export function createPeerView(sources: PeerViewSources): PeerView {
  // Offsets are reported only for streams that were read to their end.
  const caughtUp = sources.followers.filter((follower) =>
    follower.isCaughtUp()
  );
  const silences = sources.followers.map((follower) => follower.silenceMs());
  return create(PeerViewSchema, {
    vmId: sources.identity.vmId,
    incarnation: sources.identity.incarnation,
    failureDomain: sources.identity.failureDomain,
    address: sources.address,
    draining: sources.isDraining(),
    appliedOffsets: Object.fromEntries(
      caughtUp.map((follower) => [
        follower.stream,
        BigInt(follower.nextOffset()),
      ]),
    ),
    loads: sources.watchedEngines().flatMap((id) => {
      const load = encodeEngineLoad(id, sources);
      return load === undefined ? [] : [load];
    }),
    blockedKeyDigests: [...sources.blockedDigests()],
    platformSilenceMs: BigInt(Math.round(Math.min(...silences))),
  });
}

/** Returns the engine loads of a peer's view. */
export function loadsOfView(view: PeerView): readonly AgedLoad[] {
  return view.loads.map(decodeEngineLoad);
}
