/**
 * Bounds the connections of a listener, and those whose request has begun and
 * does not end. Clients that the router does not control open as many as they
 * like; without a bound they take the descriptors that servers, other daemons
 * and the store need, and each unfinished head or trailer holds up to 64 KiB
 * that no budget counts.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The bounds of one listener. */
export interface ConnectionBounds {
  readonly maxConnections: number;
  /** Requests of which a part has come and more is due. */
  readonly maxUnfinished: number;
}

/** What the process may use. */
export interface ProcessLimits {
  readonly memoryBytes: number;
  readonly maxDescriptors: number;
}

/** Listeners differ in how much of the process they may take. */
export type ListenerKind = "callers" | "daemons" | "records" | "status";

const BYTES_PER_MB = 1_048_576;
/**
 * Share of the descriptors. Each request of a caller may take another for its
 * server; 0.3 are left for servers, the store and the process itself.
 */
const DESCRIPTOR_SHARE: Readonly<Record<ListenerKind, number>> = {
  callers: 0.45,
  daemons: 0.15,
  // A daemon keeps one connection to each of those that it asks.
  records: 0.05,
  status: 0.02,
};
/** A head without end holds 64 KiB: four of them are a quarter of a MB. */
const CONNECTIONS_PER_MB: Readonly<Record<ListenerKind, number>> = {
  callers: 4,
  daemons: 2,
  records: 1,
  status: 0.5,
};
/** Trailers hold 64 KiB: an eighth of the memory, as for messages. */
const UNFINISHED_PER_MB = 2;

/**
 * Derives the bounds of a listener from what the process may use.
 *
 * @example
 * ```ts
 * const bounds = connectionBounds("callers", { memoryBytes, maxDescriptors });
 * ```
 */
export function connectionBounds(
  kind: ListenerKind,
  { memoryBytes, maxDescriptors }: ProcessLimits,
): ConnectionBounds {
  const memoryMb = memoryBytes / BYTES_PER_MB;
  const ofDescriptors = maxDescriptors * DESCRIPTOR_SHARE[kind];
  const ofMemory = memoryMb * CONNECTIONS_PER_MB[kind];
  return {
    maxConnections: Math.max(1, Math.floor(Math.min(ofDescriptors, ofMemory))),
    maxUnfinished: Math.max(1, Math.floor(memoryMb * UNFINISHED_PER_MB)),
  };
}

/** Why a connection was closed. */
export type ClosedFor = "connections" | "unfinished";

/**
 * Closes connections beyond the bounds: at first the one that has carried no
 * request for the longest, then the one whose request has been unfinished for
 * the longest. A request that has come whole is never ended; where all
 * connections carry one, the new connection is closed.
 *
 * @example
 * ```ts
 * limitConnections(server, bounds, (reason) => log(reason));
 * ```
 */
export function limitConnections(
  server: Server,
  bounds: ConnectionBounds,
  closed: (reason: ClosedFor) => void,
): void {
  /** Messages of each connection that are open: requests and responses. */
  const openMessages = new Map<Socket, number>();
  /** Without any, the longest unused first. */
  const idle = new Set<Socket>();
  /** With a request that has not come whole, the oldest first. */
  const unfinished = new Set<Socket>();
  const forget = (socket: Socket) => {
    openMessages.delete(socket);
    idle.delete(socket);
    unfinished.delete(socket);
  };
  const close = (socket: Socket, reason: ClosedFor) => {
    closed(reason);
    forget(socket);
    socket.destroy();
  };
  const countMessage = (socket: Socket, change: 1 | -1) => {
    const count = openMessages.get(socket);
    if (count === undefined) return;
    openMessages.set(socket, count + change);
    if (count + change > 0) idle.delete(socket);
    else idle.add(socket);
  };
  server.on("connection", (socket: Socket) => {
    if (openMessages.size >= bounds.maxConnections) {
      const [longestIdle] = idle;
      const [oldest] = unfinished;
      close(longestIdle ?? oldest ?? socket, "connections");
      if (socket.destroyed) return;
    }
    openMessages.set(socket, 0);
    idle.add(socket);
    socket.once("close", () => forget(socket));
  });
  server.prependListener(
    "request",
    (request: IncomingMessage, response: ServerResponse) => {
      const { socket } = request;
      countMessage(socket, 1);
      response.once("close", () => countMessage(socket, -1));
      if (request.complete || !openMessages.has(socket)) return;
      countMessage(socket, 1);
      unfinished.add(socket);
      request.once("close", () => {
        unfinished.delete(socket);
        countMessage(socket, -1);
      });
      const [oldest] = unfinished;
      if (oldest !== undefined && unfinished.size > bounds.maxUnfinished) {
        close(oldest, "unfinished");
      }
    },
  );
}
