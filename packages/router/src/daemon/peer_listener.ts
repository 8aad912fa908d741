/**
 * The listener for calls from other daemons.
 *
 * @module
 */

import { once } from "node:events";
import type { Server } from "node:http";
import type { Server as TlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { createPeerServer, type PeerHandlers } from "@endivebend/peers";
import type { Settings, TlsSettings } from "@endivebend/settings";
import { formatAddress, trackSockets } from "../http/listener.ts";
import {
  type PeerTlsMaterial,
  readPeerTlsMaterial,
  watchTlsFiles,
} from "../http/tls.ts";

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** An open listener for calls from peers. */
export interface PeerListener {
  readonly address: string;
  close(): Promise<void>;
}

/** Callbacks of {@link openPeerListener}. */
export interface PeerListenerOptions {
  /** Called with reloaded TLS files, which this daemon's own calls use too. */
  readonly onTls?: (tls: PeerTlsMaterial) => void;
  /** Called after each reload, with the failure if there was one. */
  readonly onReload?: (failure: unknown) => void;
  /** Called for each call that is refused because of its credential. */
  readonly onRefusal?: () => void;
}

function watchTls(
  server: Server,
  options: PeerListenerOptions & { readonly tls: TlsSettings | undefined },
): () => void {
  const { tls, onTls, onReload } = options;
  if (tls === undefined) return () => {};
  const apply = () => {
    const material = readPeerTlsMaterial(tls);
    (server as TlsServer).setSecureContext(material);
    onTls?.(material);
  };
  return watchTlsFiles(tls, { apply, onReload });
}

/**
 * Opens the listener. `handlers` may be filled in later: a call that has no
 * handler yet is answered as unimplemented.
 */
export async function openPeerListener(
  settings: Settings,
  handlers: Partial<PeerHandlers>,
  options: PeerListenerOptions = {},
): Promise<PeerListener> {
  const { host, port, tls } = settings.listen.peers;
  const { limits } = settings;
  const server = createPeerServer(handlers, {
    sharedKey: settings.peers.sharedKey,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    handshakeTimeoutMs: limits.headersTimeoutMs,
    ...(options.onRefusal === undefined
      ? {}
      : { onRefusal: options.onRefusal }),
    ...(tls === undefined ? {} : { tls: readPeerTlsMaterial(tls) }),
  });
  server.maxConnections = limits.maxConnections;
  const stopWatching = watchTls(server, { ...options, tls });
  const sockets = trackSockets(server);
  server.listen(port, host);
  await once(server, "listening");
  const address = formatAddress(host, (server.address() as AddressInfo).port);
  return {
    address,
    close() {
      stopWatching();
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
