/**
 * The listener for calls of other daemons.
 *
 * @module
 */

import { createSecureServer, createServer, type Http2Server } from "node:http2";
import {
  Code,
  ConnectError,
  type HandlerContext,
  type Interceptor,
  type ServiceImpl,
} from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { verifyCall } from "./credential.ts";
import { PeerService } from "./generated/endivebend/peers/v1/peers_pb.ts";

/** One handler per call. */
export type PeerHandlers = ServiceImpl<typeof PeerService>;

/** Settings of the listener. */
export interface PeerServerOptions {
  readonly sharedKey: string;
  readonly maxMessageBytes: number;
  readonly tls?: {
    readonly ca: string;
    readonly cert: string;
    readonly key: string;
  };
}

function requireCredential(sharedKey: string): Interceptor {
  return (next) => (request) => {
    const valid = verifyCall(sharedKey, {
      method: request.method.name,
      nowMs: Date.now(),
      credential: request.header.get("x-fleet-credential"),
    });
    if (valid) return next(request);
    throw new ConnectError(
      "Set the same peers.sharedKey on every VM of the fleet",
      Code.Unauthenticated,
    );
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
 * Makes the HTTP/2 server; the caller listens on it and closes it.
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
): Http2Server {
  const adapter = connectNodeAdapter({
    routes: (router) => router.service(PeerService, lateHandlers(handlers)),
    interceptors: [requireCredential(options.sharedKey)],
    readMaxBytes: options.maxMessageBytes,
    grpc: false,
    grpcWeb: false,
  });
  if (options.tls === undefined) return createServer(adapter);
  const secure = { ...options.tls, requestCert: true };
  return createSecureServer(secure, adapter);
}
