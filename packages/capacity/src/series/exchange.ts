/**
 * Views that peers exchange. The view is made in the router; the message and
 * its codec are those of the peers package.
 *
 * @module
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type PeerView, PeerViewSchema } from "@endivebend/peers";
import { type Series, sizeSeries, timeSeries } from "../measure.ts";
import {
  domainId,
  engineId,
  entryVm,
  incarnationAt,
  WEIGHTS,
} from "../samples.ts";

const LOADS = [0, 10, 30, 60];

/** A view as `createPeerView` of the router makes it. */
export function viewWith(loads: number): PeerView {
  const { vmId, address } = entryVm(17);
  return create(PeerViewSchema, {
    vmId,
    incarnation: incarnationAt(17),
    failureDomain: domainId(17),
    address,
    draining: false,
    appliedOffsets: {
      configuration: 15_330_000n,
      rights: 1_200_000n,
      commitments: 3_100_000_000n,
      orders: 400_000n,
    },
    loads: Array.from({ length: loads }, (_, index) => ({
      backendServerId: engineId(index * 410),
      incarnation: incarnationAt(index * 410),
      weightsVersion: WEIGHTS,
      runningRequests: 31,
      queuedRequests: 3,
      queuedTokens: 14_500,
      freeBlocks: 1_200,
      ageMs: 240,
    })),
    blockedKeyDigests: [],
    platformSilenceMs: 120n,
  });
}

/** The series of this module. */
export const exchangeSeries: readonly Series[] = [
  sizeSeries({
    name: "peer_view.message_bytes",
    per: "engine load",
    sizes: LOADS,
    encode: (size) => toBinary(PeerViewSchema, viewWith(size)),
  }),
  timeSeries({
    name: "peer_view.encode_us",
    per: "engine load",
    sizes: LOADS,
    repeatable: true,
    prepare: (size) => () => toBinary(PeerViewSchema, viewWith(size)),
  }),
  timeSeries({
    name: "peer_view.decode_us",
    per: "engine load",
    sizes: LOADS,
    repeatable: true,
    prepare: (size) => {
      const bytes = toBinary(PeerViewSchema, viewWith(size));
      return () => fromBinary(PeerViewSchema, bytes);
    },
  }),
];
