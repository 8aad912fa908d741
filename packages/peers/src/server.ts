/**
 * The listener for calls of other daemons.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import {
  Code,
  ConnectError,
  type HandlerContext,
  type ServiceImpl,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { PeerTls } from "./clients.ts";
import { verifyCall } from "./credential.ts";
import { PeerService } from "./generated/endivebend/peers/v1/peers_pb.ts";
import { ReplayGuard } from "./replay_guard.ts";

/** One handler per call. */
export type PeerHandlers = ServiceImpl<typeof PeerService>;

/** Settings of the listener. */
export interface PeerServerOptions {
  readonly sharedKey: string;
  readonly maxMessageBytes: number;
  /** Time for a TLS handshake. */
  readonly handshakeTimeoutMs?: number;
  /** Told of each call that is refused for its credential. */
  readonly onRefusal?: () => void;
  readonly tls?: PeerTls;
}

/** Longer than clients keep an idle connection. */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

/** Strangers may not hold connections without sending anything. */
const TIME_LIMITS = {
  headersTimeout: 10_000,
  connectionsCheckingInterval: 1000,
};

type Listener = (request: IncomingMessage, response: ServerResponse) => void;

function refuse(response: ServerResponse): void {
  const body = JSON.stringify({
    code: "unauthenticated",
    message: "Set the same peers.sharedKey on every VM of the fleet",
  });
  response.writeHead(401, {
    "content-type": "application/json",
    // The body stays unread.
    "connection": "close",
  });
  response.end(body);
}

/** Checks the credential before a byte of the body is read. */
function requireCredential(
  options: PeerServerOptions,
  handle: Listener,
): Listener {
  const guard = new ReplayGuard();
  return (request, response) => {
    const nowMs = Date.now();
    const header = request.headers["x-fleet-credential"];
    const call = verifyCall(options.sharedKey, {
      method: request.url?.split("/").at(-1) ?? "",
      nowMs,
      credential: Array.isArray(header) ? undefined : header,
    });
    if (call !== undefined && guard.take(call, nowMs)) {
      return handle(request, response);
    }
    options.onRefusal?.();
    refuse(response);
  };
}

type AnyHandler = (request: unknown, context: HandlerContext) => unknown;

/** Looks each handler up when its call comes, as it may be set later. */
function lateHandlers(handlers: Partial<PeerHandlers>): PeerHandlers {
  const late = PeerService.methods.map(({ localName }) => {
    const handle: AnyHandler = (request, context) => {
      const name = localName as keyof PeerHandlers;
      const handler = handlers[name] as AnyHandler | undefined;
      if (handler !== undefined) return handler(request, context);
      const message = "The daemon is starting; call again";
      throw new ConnectError(message, Code.Unavailable);
    };
    return [localName, handle];
  });
  return Object.fromEntries(late) as PeerHandlers;
}

/**
 * Makes the HTTP server; the caller listens on it and closes it.
 *
 * @example
 * ```ts
 * const server = createPeerServer(handlers, { sharedKey, maxMessageBytes });
 * server.listen(7003, "10.0.0.4");
 * ```
 */
export function createPeerServer(
  handlers: Partial<PeerHandlers>,
  options: PeerServerOptions,
): Server {
  const adapter = connectNodeAdapter({
    routes: (router) => router.service(PeerService, lateHandlers(handlers)),
    readMaxBytes: options.maxMessageBytes,
    grpc: false,
    grpcWeb: false,
  });
  const server = createHttpServer(
    options,
    requireCredential(options, adapter),
  );
  server.keepAliveTimeout = IDLE_CONNECTION_TIMEOUT_MS;
  return server;
}

function createHttpServer(
  options: PeerServerOptions,
  handle: Listener,
): Server {
  if (options.tls === undefined) return createServer(TIME_LIMITS, handle);
  const { handshakeTimeoutMs: handshakeTimeout } = options;
  const secure = {
    ...TIME_LIMITS,
    ...options.tls,
    requestCert: true,
    rejectUnauthorized: true,
    ...(handshakeTimeout === undefined ? {} : { handshakeTimeout }),
  };
  return createTlsServer(secure, handle);
}
