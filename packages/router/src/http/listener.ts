/**
 * HTTP listeners with limits on headers, connections and time, and with TLS
 * certificates that are reloaded without closing connections.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { createError, type ErrorCode } from "@endivebend/errors";
import { findInvalidHeaderName } from "@endivebend/http-syntax";
import type { ListenerSettings } from "@endivebend/settings";
import { brandId, type RequestId } from "@endivebend/types";
import { answerClientError, writeRawRefusal } from "./client_errors.ts";
import { connectionOf, openRequestOf } from "./connections.ts";
import { writeRefusal } from "./respond.ts";
import { readTlsMaterial, watchTlsFiles } from "./tls.ts";

/** Maximum number of requests in progress on one connection. */
const MAX_PIPELINED_REQUESTS = 32;
const PIPELINE_RETRY_MS = 1000;

/** Limits of one listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly requestTimeoutMs: number;
  readonly headersTimeoutMs: number;
}

/** Why a listener refused a connection or request before its handler. */
export type ListenerRefusal =
  | ErrorCode
  | "too_many_connections"
  | "tls_handshake";

/** Options of {@link openListener}. */
export interface ListenerOptions {
  readonly limits: ListenerLimits;
  readonly handle: RequestListener;
  /** Called for each refusal of a connection or request before the handler. */
  readonly onRefusal?: (reason: ListenerRefusal) => void;
  /**
   * Called after each reload of the TLS certificates, with the error if it
   * failed and undefined otherwise.
   */
  readonly onReload?: (failure: unknown) => void;
}

/** An open listener. */
export interface Listener {
  /** IP address and port that it listens on. */
  readonly address: string;
  /** Stops accepting connections; open ones are served further. */
  stopAccepting(): void;
  /** Also closes idle connections; resolves when the last one has ended. */
  close(): Promise<void>;
  closeAllConnections(): void;
}

function serverOptions(limits: ListenerLimits) {
  const { headersTimeoutMs, requestTimeoutMs } = limits;
  return {
    maxHeaderSize: limits.maxHeaderBytes,
    requestTimeout: requestTimeoutMs,
    // Node.js rejects a headers timeout that exceeds the request timeout.
    headersTimeout: Math.min(headersTimeoutMs, requestTimeoutMs),
    connectionsCheckingInterval: Math.min(1000, headersTimeoutMs),
    noDelay: true,
    // Checked in guardHandler, because Node.js would answer without a body.
    requireHostHeader: false,
  };
}

function createHttpServer(
  settings: ListenerSettings,
  options: ListenerOptions,
): Server | TlsServer {
  const { limits, handle } = options;
  const base = serverOptions(limits);
  if (settings.tls === undefined) return createServer(base, handle);
  const material = readTlsMaterial(settings.tls);
  const tls = {
    ...material,
    requestCert: material.ca !== undefined,
    rejectUnauthorized: material.ca !== undefined,
    handshakeTimeout: limits.headersTimeoutMs,
  };
  return createTlsServer({ ...base, ...tls }, handle);
}

/**
 * Wraps the handler: drops requests on closing connections, and refuses
 * requests beyond the pipelining limit, with invalid header names, and HTTP/1.1
 * requests without a host.
 */
function guardHandler(options: ListenerOptions): RequestListener {
  return (request, response) => {
    const connection = connectionOf(request.socket);
    // The answer could not be sent, so the request must not run.
    if (connection.isClosing) return void request.resume();
    const { hasEnded } = openRequestOf(request, response);
    if (hasEnded) return;
    const refuse = (caught: ReturnType<typeof createError>) => {
      const requestId = brandId<RequestId>(randomUUID());
      options.onRefusal?.(caught.code);
      connection.isClosing = true;
      response.setHeader("connection", "close");
      writeRefusal(response, { caught, requestId });
    };
    if (connection.open.size > MAX_PIPELINED_REQUESTS) {
      const message =
        `The connection has more than ${MAX_PIPELINED_REQUESTS} requests in progress`;
      const retryAfterMs = PIPELINE_RETRY_MS;
      return refuse(createError("queue_full", message, { retryAfterMs }));
    }
    if (findInvalidHeaderName(request.rawHeaders) !== undefined) {
      const message = "The request has a header whose name is not a token";
      return refuse(
        createError("malformed_request", message, { field: "headers" }),
      );
    }
    const needsHost = request.httpVersion === "1.1";
    if (needsHost && request.headers.host === undefined) {
      const message = "The request has no Host header";
      return refuse(
        createError("malformed_request", message, { field: "host" }),
      );
    }
    options.handle(request, response);
  };
}

function refuseOnServerErrors(
  server: Server | TlsServer,
  options: ListenerOptions,
): void {
  const { onRefusal } = options;
  server.on("clientError", (error, socket) => {
    answerClientError(error, { socket: socket as Socket, onRefusal });
  });
  server.on("drop", () => onRefusal?.("too_many_connections"));
  server.on("tlsClientError", () => onRefusal?.("tls_handshake"));
  server.on("connect", (_request, socket) => {
    onRefusal?.("method_not_allowed");
    const message = "The method CONNECT is not supported";
    writeRawRefusal(socket as Socket, { code: "method_not_allowed", message });
  });
  server.on("checkExpectation", (_request, response) => {
    const message = "The header Expect supports only 100-continue";
    const caught = createError("malformed_request", message, {
      field: "expect",
    });
    const requestId = brandId<RequestId>(randomUUID());
    onRefusal?.(caught.code);
    writeRefusal(response, { caught, requestId });
  });
}

/**
 * Opens a listener. Rejects when TLS files cannot be read or the address cannot
 * be bound.
 *
 * @example
 * ```ts
 * const listener = await openListener(settings.listen.callers, { limits, handle });
 * ```
 */
export async function openListener(
  settings: ListenerSettings,
  options: ListenerOptions,
): Promise<Listener> {
  const { tls } = settings;
  const handle = guardHandler(options);
  const server = createHttpServer(settings, { ...options, handle });
  server.maxConnections = options.limits.maxConnections;
  // maxHeaderBytes is sufficient; Node.js would silently drop excess headers.
  server.maxHeadersCount = 0;
  refuseOnServerErrors(server, options);
  const stopReload = tls === undefined ? () => {} : watchTlsFiles(tls, {
    apply: () => (server as TlsServer).setSecureContext(readTlsMaterial(tls)),
    onReload: options.onReload,
  });
  const sockets = trackSockets(server);
  server.listen(settings.port, settings.host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  let closed: Promise<void> | undefined;
  const stopAccepting = () => {
    if (closed !== undefined) return;
    stopReload();
    closed = new Promise((resolve) => {
      // The method of HTTP servers would close idle connections as well.
      NetServer.prototype.close.call(server, () => resolve());
    });
  };
  return {
    address: formatAddress(settings.host, port),
    closeAllConnections() {
      // Node.js would not close connections that are in a TLS handshake.
      for (const socket of sockets) socket.destroy();
    },
    stopAccepting,
    async close() {
      stopAccepting();
      server.closeIdleConnections();
      await closed;
    },
  };
}

/** Tracks the open sockets of a server, including those in a TLS handshake. */
export function trackSockets(
  server: { on(event: "connection", listener: (socket: Socket) => void): void },
): ReadonlySet<Socket> {
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  return sockets;
}

/** Joins an IP address and a port; IPv6 addresses are put in brackets. */
export function formatAddress(host: string, port: number): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
