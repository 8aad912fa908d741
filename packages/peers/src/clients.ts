/**
 * Clients of the other daemons, one per address.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Agent as HttpAgent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import {
  type Client,
  createClient,
  type Interceptor,
} from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { signCall } from "./credential.ts";
import { PeerService } from "./generated/endivebend/peers/v1/peers_pb.ts";

/**
 * A connection that no call uses, such as one with old certificates, ends. The
 * server keeps idle connections for longer, so that a call never meets one
 * that is being closed.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 20_000;

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
    // One connection per call in flight: a connection that has gone silent
    // holds up one call, which gives it up at its time limit. HTTP/2 would
    // send all calls over that connection.
    httpVersion: "1.1",
    useBinaryFormat: true,
    defaultTimeoutMs: options.timeoutMs,
    interceptors: [options.interceptor],
    nodeOptions: { agent: createAgent(options.tls) },
  });
  return createClient(PeerService, transport);
}

function createAgent(tls: PeerTls | undefined): HttpAgent {
  const settings = { keepAlive: true, timeout: IDLE_CONNECTION_TIMEOUT_MS };
  if (tls === undefined) return new HttpAgent(settings);
  return new HttpsAgent({ ...settings, ...tls });
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
