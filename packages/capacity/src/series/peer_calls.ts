/**
 * Whole calls between daemons.
 *
 * @module
 */

import type { Server } from "node:http";
import {
  createPeerClients,
  createPeerServer,
  type PeerClient,
} from "@endivebend/peers";
import { asyncTimeSeries, type Series } from "../measure.ts";
import {
  blocksAt,
  engineId,
  entryVmId,
  incarnationAt,
  teamId,
  WEIGHTS,
} from "../samples.ts";
import { viewWith } from "./exchange.ts";
import { type Call, callMany, CALLS, countBytes, listen } from "./loopback.ts";

const SHARED_KEY = "a key of the measured fleet, 32 characters";
const LOADS_PER_VIEW = 29;
const VIEW = viewWith(LOADS_PER_VIEW);

function startPeer(): Server {
  return createPeerServer({
    exchange: () => ({ view: VIEW }),
    charge: () => ({
      granted: true,
      limitTokens: 200_000n,
      remainingTokens: 8_000n,
      resetMs: 3_400,
    }),
    locatePrefix: () => ({
      locations: [0, 1, 2, 3].map((index) => ({
        backendServerId: engineId(index),
        incarnation: incarnationAt(index),
        weightsVersion: WEIGHTS,
        depth: 4,
      })),
    }),
    reportBlocks: () => ({}),
    acquireSlot: (request) => ({ permit: request.requestId }),
    releaseSlot: () => ({}),
  }, { sharedKey: SHARED_KEY, maxMessageBytes: 1 << 20 });
}

async function openPeer() {
  const server = startPeer();
  const sentBytes = countBytes(server);
  const port = await listen(server);
  const options = {
    vmId: entryVmId(3),
    sharedKey: SHARED_KEY,
    timeoutMs: 2000,
  };
  const peers = createPeerClients(options);
  const client = peers.at(`127.0.0.1:${port}`);
  return { client, server, sentBytes };
}

function peerSeries(name: string, call: Call<PeerClient>): Series[] {
  const time = asyncTimeSeries({
    name: `rpc.${name}_us`,
    per: "call, both sides",
    sizes: CALLS,
    prepare: async (size) => {
      const { client, server } = await openPeer();
      return {
        work: () => callMany(size, () => call(client)),
        close: () => Promise.resolve(server.close()),
      };
    },
  });
  const bytes: Series = {
    name: `rpc.${name}_bytes`,
    unit: "bytes",
    per: "call, both directions",
    sizes: CALLS,
    run: async (size) => {
      const { client, server, sentBytes } = await openPeer();
      await callMany(size, () => call(client));
      server.close();
      return sentBytes();
    },
  };
  return [time, bytes];
}

/** The series of this module. */
export const peerCallSeries: readonly Series[] = [
  ...peerSeries("exchange", (client) => client.exchange({ view: VIEW })),
  ...peerSeries("charge", (client) =>
    client.charge({
      team: teamId(17),
      costTokens: 2_300n,
      waitMs: 10_000,
      requestId: incarnationAt(17),
    })),
  ...peerSeries(
    "locate",
    (client) => client.locatePrefix({ blocks: blocksAt(0, 16) }),
  ),
  ...peerSeries("report", (client) =>
    client.reportBlocks({
      backendServerId: engineId(7),
      incarnation: incarnationAt(7),
      weightsVersion: WEIGHTS,
      stored: Buffer.from(blocksAt(0, 1).join(""), "hex"),
    })),
  ...peerSeries("slot", async (client) => {
    const backendServerId = engineId(7);
    const { permit } = await client.acquireSlot({
      backendServerId,
      team: teamId(17),
      costTokens: 2_300n,
      prefillTokens: 1_500n,
      waitMs: 5_000,
      requestId: incarnationAt(17),
    });
    await client.releaseSlot({ permit, backendServerId, prefillDone: true });
    await client.releaseSlot({ permit, backendServerId });
  }),
];
