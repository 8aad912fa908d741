/**
 * Clients of the other daemons, one per address.
 *
 * @module
 */

import {
  type Client,
  createClient,
  type Interceptor,
} from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { signCall } from "./credential.ts";
import { PeerService } from "./generated/endivebend/peers/v1/peers_pb.ts";

/** A client of one daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Settings of the clients. */
export interface PeerClientOptions {
  readonly sharedKey: string;
  readonly timeoutMs: number;
  /** Set when peers listen with TLS. */
  readonly tls?: {
    readonly ca: string;
    readonly cert: string;
    readonly key: string;
  };
}

/** Gives the client of an address, and closes them all. */
export interface PeerClients {
  at(address: string): PeerClient;
}

function addCredential(sharedKey: string): Interceptor {
  return (next) => (request) => {
    const credential = signCall(sharedKey, {
      method: request.method.name,
      nowMs: Date.now(),
    });
    request.header.set("x-fleet-credential", credential);
    return next(request);
  };
}

function createPeerClient(
  address: string,
  options: PeerClientOptions,
): PeerClient {
  const transport = createConnectTransport({
    baseUrl: `${options.tls === undefined ? "http" : "https"}://${address}`,
    httpVersion: "2",
    useBinaryFormat: true,
    defaultTimeoutMs: options.timeoutMs,
    // A connection that went silent is found by pings and replaced.
    pingIntervalMs: options.timeoutMs,
    pingTimeoutMs: options.timeoutMs,
    interceptors: [addCredential(options.sharedKey)],
    ...(options.tls === undefined ? {} : { nodeOptions: options.tls }),
  });
  return createClient(PeerService, transport);
}

/**
 * Makes the clients of a fleet's daemons.
 *
 * @example
 * ```ts
 * const peers = createPeerClients({ sharedKey, timeoutMs: 500 });
 * await peers.at("127.0.0.1:7003").charge({ team, costTokens: 12n });
 * ```
 */
export function createPeerClients(options: PeerClientOptions): PeerClients {
  const clients = new Map<string, PeerClient>();
  return {
    at(address) {
      const known = clients.get(address);
      if (known !== undefined) return known;
      const client = createPeerClient(address, options);
      clients.set(address, client);
      return client;
    },
  };
}
