/**
 * HTTP listeners with limits on headers, connections and time, and TLS whose
 * certificates are read again without closing connections.
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
import type { AddressInfo, Socket } from "node:net";
import { createError, type ErrorCode } from "@endivebend/errors";
import type { ListenerSettings } from "@endivebend/settings";
import { brandId, type RequestId } from "@endivebend/types";
import { answerClientError, writeRawRefusal } from "./client_errors.ts";
import { connectionOf, openRequestOf } from "./connections.ts";
import { writeRefusal } from "./respond.ts";
import { readTlsMaterial, watchTlsFiles } from "./tls.ts";

/** Requests of one connection that may run at once. */
const MAX_PIPELINED_REQUESTS = 32;
const PIPELINE_RETRY_MS = 1000;

/** Limits of one listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly requestTimeoutMs: number;
  readonly headersTimeoutMs: number;
}

/** Why a listener turned a connection or request away by itself. */
export type ListenerRefusal =
  | ErrorCode
  | "too_many_connections"
  | "tls_handshake";

/** What a listener serves. */
export interface ListenerOptions {
  readonly limits: ListenerLimits;
  readonly handle: RequestListener;
  /** Told of what never reaches the handler. */
  readonly onRefusal?: (reason: ListenerRefusal) => void;
  /** Told of certificates that were read again, or could not be. */
  readonly onReload?: (failure: unknown) => void;
}

/** An open listener. */
export interface Listener {
  /** IP number and port that it listens on. */
  readonly address: string;
  /** Stops accepting, and resolves when the last connection has ended. */
  close(): Promise<void>;
  /** Ends connections that carry no request at present. */
  closeIdleConnections(): void;
  closeAllConnections(): void;
}

function serverOptions(limits: ListenerLimits) {
  const { headersTimeoutMs, requestTimeoutMs } = limits;
  return {
    maxHeaderSize: limits.maxHeaderBytes,
    requestTimeout: requestTimeoutMs,
    // The runtime refuses a header timeout above that of the request.
    headersTimeout: Math.min(headersTimeoutMs, requestTimeoutMs),
    connectionsCheckingInterval: Math.min(1000, headersTimeoutMs),
    noDelay: true,
    // Checked here instead, because the runtime answers without a body.
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

/** Turns away what no handler may see. */
function guardHandler(options: ListenerOptions): RequestListener {
  return (request, response) => {
    const connection = connectionOf(request.socket);
    // Its answer could not be sent, so the request may not run.
    if (connection.isClosing) return void request.resume();
    const { hasEnded: hasEnded } = openRequestOf(request, response);
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
        `The connection carries more than ${MAX_PIPELINED_REQUESTS} requests at once`;
      const retryAfterMs = PIPELINE_RETRY_MS;
      return refuse(createError("queue_full", message, { retryAfterMs }));
    }
    const needsHost = request.httpVersion === "1.1";
    if (needsHost && request.headers.host === undefined) {
      const message = "The request names no host";
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
    const message = "CONNECT is not offered";
    writeRawRefusal(socket as Socket, { code: "method_not_allowed", message });
  });
  server.on("checkExpectation", (_request, response) => {
    const message = "The only expectation that is met is 100-continue";
    const caught = createError("malformed_request", message, {
      field: "expect",
    });
    const requestId = brandId<RequestId>(randomUUID());
    onRefusal?.(caught.code);
    writeRefusal(response, { caught, requestId });
  });
}

/**
 * Opens a listener.
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
  // The bound on bytes is enough; the runtime would drop headers in silence.
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
  return {
    address: formatAddress(settings.host, port),
    closeIdleConnections: () => server.closeIdleConnections(),
    closeAllConnections() {
      // The runtime leaves out connections in the middle of a TLS handshake.
      for (const socket of sockets) socket.destroy();
    },
    close() {
      stopReload();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

/** The open sockets of a server, those in a TLS handshake among them. */
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

/** Joins an IP number and a port. */
export function formatAddress(host: string, port: number): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
