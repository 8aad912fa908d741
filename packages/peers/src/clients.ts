/**
 * Clients of the other daemons, one per address.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type Client,
  createClient,
  type Interceptor,
} from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { signCall } from "./credential.ts";
import { PeerService } from "./generated/endivebend/peers/v1/peers_pb.ts";

/** A connection that no call uses, such as one with old certificates, ends. */
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;

/** A client of one daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Certificates and key of a daemon, and the authorities that it trusts. */
export interface PeerTls {
  readonly ca: string;
  readonly cert: string;
  readonly key: string;
}

/** Settings of the clients. */
export interface PeerClientOptions {
  /** The VM that calls. */
  readonly vmId: string;
  readonly sharedKey: string;
  readonly timeoutMs: number;
  /** Set when peers listen with TLS. */
  readonly tls?: PeerTls;
}

/** Gives the client of an address. */
export interface PeerClients {
  at(address: string): PeerClient;
  /**
   * Uses other certificates for new connections. Calls that run go on over
   * the old connections.
   */
  setTls(tls: PeerTls): void;
}

function addCredential(options: PeerClientOptions): Interceptor {
  const { vmId, sharedKey } = options;
  const clientId = randomUUID();
  let sequence = 0;
  return (next) => (request) => {
    const credential = signCall(sharedKey, {
      method: request.method.name,
      nowMs: Date.now(),
      vmId,
      clientId,
      sequence: sequence++,
    });
    request.header.set("x-fleet-credential", credential);
    return next(request);
  };
}

function createPeerClient(
  address: string,
  options: PeerClientOptions & { readonly interceptor: Interceptor },
): PeerClient {
  const transport = createConnectTransport({
    baseUrl: `${options.tls === undefined ? "http" : "https"}://${address}`,
    httpVersion: "2",
    useBinaryFormat: true,
    defaultTimeoutMs: options.timeoutMs,
    // A connection that went silent is found by pings and replaced.
    pingIntervalMs: options.timeoutMs,
    pingTimeoutMs: options.timeoutMs,
    idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
    interceptors: [options.interceptor],
    ...(options.tls === undefined ? {} : { nodeOptions: options.tls }),
  });
  return createClient(PeerService, transport);
}

/**
 * Makes the clients of a fleet's daemons.
 *
 * @example
 * ```ts
 * const peers = createPeerClients({ vmId, sharedKey, timeoutMs: 500 });
 * await peers.at("127.0.0.1:7003").charge({ team, costTokens: 12n });
 * ```
 */
export function createPeerClients(options: PeerClientOptions): PeerClients {
  const clients = new Map<string, PeerClient>();
  const interceptor = addCredential(options);
  let { tls } = options;
  return {
    at(address) {
      const known = clients.get(address);
      if (known !== undefined) return known;
      const client = createPeerClient(address, {
        ...options,
        interceptor,
        ...(tls === undefined ? {} : { tls }),
      });
      clients.set(address, client);
      return client;
    },
    setTls(renewed) {
      tls = renewed;
      clients.clear();
    },
  };
}
