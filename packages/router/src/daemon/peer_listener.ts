/**
 * The listener for the calls of other daemons.
 *
 * @module
 */

import { once } from "node:events";
import type { Http2SecureServer, Http2Server } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { createPeerServer, type PeerHandlers } from "@endivebend/peers";
import type { Settings } from "@endivebend/settings";
import {
  formatAddress,
  readTlsMaterial,
  reloadCertificates,
} from "../http/listener.ts";

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** An open listener for peers. */
export interface PeerListener {
  readonly address: string;
  close(): Promise<void>;
}

/**
 * Opens the listener. The handlers may be filled in later: a call without one
 * is answered as unimplemented.
 */
export async function openPeerListener(
  settings: Settings,
  handlers: Partial<PeerHandlers>,
): Promise<PeerListener> {
  const { host, port, tls } = settings.listen.peers;
  const material = tls === undefined ? undefined : readTlsMaterial(tls);
  const server = createPeerServer(handlers, {
    sharedKey: settings.peers.sharedKey,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    ...(material === undefined
      ? {}
      : { tls: { ...material, ca: material.ca ?? material.cert } }),
  });
  const stopReload = tls === undefined
    ? () => {}
    : reloadCertificates(server as Http2SecureServer, tls);
  const sockets = trackSockets(server);
  server.listen(port, host);
  await once(server, "listening");
  const address = formatAddress(host, (server.address() as AddressInfo).port);
  return {
    address,
    close() {
      stopReload();
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

function trackSockets(server: Http2Server): ReadonlySet<Socket> {
  const sockets = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  return sockets;
}
