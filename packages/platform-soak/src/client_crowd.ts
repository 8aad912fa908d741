/**
 * Clients that keep to no limit: each opens a connection, sends what it is told
 * and stays, mostly without reading.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** A crowd of clients that all do the same. */
export interface CrowdOptions {
  readonly host: string;
  readonly port: number;
  /** Address that the clients connect from, if it matters. */
  readonly from?: string;
  readonly clients: number;
  /** Whether the clients read what comes, and drop it. */
  readonly reads?: boolean;
  /** What the client with the number sends; shared buffers cost nothing. */
  readonly sends: (number: number) => readonly (Buffer | string)[];
}

const POLL_MS = 50;

/** The open connections of a crowd. */
export class ClientCrowd {
  readonly #sockets: Socket[];
  readonly #open = new Set<Socket>();
  readonly #connecting = new Set<Socket>();

  constructor(
    { host, port, from, clients, reads = false, sends }: CrowdOptions,
  ) {
    this.#sockets = Array.from({ length: clients }, (_, number) => {
      const socket = connect({
        host,
        port,
        ...(from !== undefined && { localAddress: from }),
      });
      this.#open.add(socket);
      this.#connecting.add(socket);
      socket.once("connect", () => this.#connecting.delete(socket));
      socket.on("error", () => {});
      if (reads) socket.resume();
      socket.once("close", () => {
        this.#open.delete(socket);
        this.#connecting.delete(socket);
      });
      for (const bytes of sends(number)) socket.write(bytes);
      return socket;
    });
  }

  /** Connections that the daemon has not closed. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Resolves when every client has handed everything to the kernel or is closed,
   * and at the latest after the time limit, as a daemon may stop reading.
   */
  async whenSent(limitMs: number): Promise<void> {
    const deadlineMs = performance.now() + limitMs;
    const isSending = () =>
      this.#connecting.size > 0 ||
      [...this.#open].some(({ writableLength }) => writableLength > 0);
    while (isSending() && performance.now() < deadlineMs) await sleep(POLL_MS);
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Closes all connections with a reset, as clients do that give up. */
  reset(): void {
    for (const socket of this.#open) socket.resetAndDestroy();
  }
}

/** Encodes a body as chunks, without the last chunk that would end it. */
export function chunked(
  { bodyBytes, chunkBytes, extension = "" }: {
    readonly bodyBytes: number;
    readonly chunkBytes: number;
    readonly extension?: string;
  },
): Buffer {
  const chunk = `${chunkBytes.toString(16)}${extension}\r\n` +
    `${"x".repeat(chunkBytes)}\r\n`;
  return Buffer.from(chunk.repeat(Math.floor(bodyBytes / chunkBytes)));
}
