/**
 * HTTP listeners with limits on headers, connections and time, and TLS whose
 * certificates are read again without closing connections.
 *
 * @module
 */

import { once } from "node:events";
import { readFileSync, unwatchFile, watchFile } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { ListenerSettings, TlsSettings } from "@endivebend/settings";

const CERTIFICATE_CHECK_INTERVAL_MS = 1000;

/** Limits of one listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly requestTimeoutMs: number;
  readonly headersTimeoutMs: number;
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

/** TLS material as text. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Reads the files that TLS settings name. */
export function readTlsMaterial(tls: TlsSettings): TlsMaterial {
  const cert = readFileSync(tls.certFile, "utf8");
  const key = readFileSync(tls.keyFile, "utf8");
  if (tls.caFile === undefined) return { cert, key };
  return { cert, key, ca: readFileSync(tls.caFile, "utf8") };
}

function serverOptions(limits: ListenerLimits) {
  return {
    maxHeaderSize: limits.maxHeaderBytes,
    requestTimeout: limits.requestTimeoutMs,
    headersTimeout: limits.headersTimeoutMs,
    connectionsCheckingInterval: Math.min(1000, limits.headersTimeoutMs),
    noDelay: true,
  };
}

/** Loads changed certificate files into a running server. */
export function reloadCertificates(
  server: { setSecureContext(material: TlsMaterial): void },
  tls: TlsSettings,
): () => void {
  const reload = () => {
    try {
      server.setSecureContext(readTlsMaterial(tls));
    } catch {
      // A half-written pair stays out; the next change is read again.
    }
  };
  const files = [tls.certFile, tls.keyFile];
  for (const file of files) {
    const interval = CERTIFICATE_CHECK_INTERVAL_MS;
    watchFile(file, { interval, persistent: false }, reload);
  }
  return () => files.forEach((file) => unwatchFile(file, reload));
}

function createHttpServer(
  settings: ListenerSettings,
  options: {
    readonly limits: ListenerLimits;
    readonly handle: RequestListener;
  },
): Server | TlsServer {
  const base = serverOptions(options.limits);
  if (settings.tls === undefined) return createServer(base, options.handle);
  const material = readTlsMaterial(settings.tls);
  const tls = { ...material, requestCert: material.ca !== undefined };
  return createTlsServer({ ...base, ...tls }, options.handle);
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
  options: {
    readonly limits: ListenerLimits;
    readonly handle: RequestListener;
  },
): Promise<Listener> {
  const server = createHttpServer(settings, options);
  server.maxConnections = options.limits.maxConnections;
  const stopReload = settings.tls === undefined
    ? () => {}
    : reloadCertificates(server as TlsServer, settings.tls);
  server.listen(settings.port, settings.host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: formatAddress(settings.host, port),
    closeIdleConnections: () => server.closeIdleConnections(),
    closeAllConnections: () => server.closeAllConnections(),
    close() {
      stopReload();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

/** Joins an IP number and a port. */
export function formatAddress(host: string, port: number): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
