/**
 * Sends and receives gossip datagrams over UDP.
 *
 * @module
 */

import { createSocket } from "node:dgram";

/** Carries datagrams between daemons; some may be lost or come twice. */
export interface GossipTransport {
  /** Begins to receive; calls `onOpen` when datagrams can be sent. */
  open(onDatagram: (bytes: Buffer) => void, onOpen: () => void): void;
  /** Sends to an IP address and port, such as `10.0.0.1:7600`. */
  send(address: string, bytes: Buffer): void;
  close(): void;
}

/** Address to receive at. */
export interface UdpTransportOptions {
  readonly ip: string;
  readonly port: number;
  failed(reason: string): void;
}

/**
 * Creates the transport over a UDP socket.
 *
 * @example
 * ```ts
 * const transport = createUdpTransport({ ip, port: 7600, failed: console.error });
 * ```
 */
export function createUdpTransport(
  options: UdpTransportOptions,
): GossipTransport {
  const { ip, port, failed } = options;
  const socket = createSocket({
    type: "udp4",
    reuseAddr: true,
    // Addresses are IP addresses; the default asks the resolver for each.
    lookup: (address, _options, resolved) => resolved(null, address, 4),
  });
  socket.on("error", ({ message }) => failed(message));
  return {
    open(onDatagram, onOpen) {
      socket.on("message", (bytes) => onDatagram(bytes));
      // With the lookup above the socket may listen before this call returns.
      socket.bind(port, ip, () => setImmediate(onOpen));
    },
    send(address, bytes) {
      const [host, port] = address.split(":");
      try {
        socket.send(bytes, Number(port), host, (error) => {
          if (error !== null) failed(error.message);
        });
      } catch (caught) {
        // An address that can't be sent to must not end the process.
        failed(`send to ${address}: ${(caught as Error).message}`);
      }
    },
    close: () => socket.close(),
  };
}
