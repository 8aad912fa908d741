/**
 * Connections to one server, which are used for several requests.
 *
 * @module
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { type Clock, steadyMs } from "@endivebend/clock";
import { mayEndInHead } from "./answer_body.ts";

/** Keep-alive time of servers that state none in a `Keep-Alive` header. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Timers take no longer times; a server that states more is not waited for. */
const MAX_IDLE_TIMEOUT_MS = 600_000;
/** An idle connection is closed this long before the server may close it. */
const IDLE_MARGIN_MS = 600;
/** A server that sent a second copy is taken to send more for so long. */
const STUTTER_MS = 5_000;

/** Keep-alive time that a socket's server last stated, in milliseconds. */
const keepAliveMsBySocket = new WeakMap<Socket, number>();
/** The bytes that were read last; they are kept while an answer is read. */
const lastReadBySocket = new WeakMap<Socket, Buffer>();

/**
 * Notes the keep-alive time, in milliseconds, that a socket's server has stated.
 */
export function noteKeepAlive(socket: Socket, keepAliveMs: number): void {
  keepAliveMsBySocket.set(socket, Math.min(MAX_IDLE_TIMEOUT_MS, keepAliveMs));
}

/** Notes what is read while the socket carries a request. */
export function noteReads(socket: Socket): void {
  socket.on("data", noteRead);
}

function noteRead(this: Socket, bytes: Buffer): void {
  lastReadBySocket.set(this, bytes);
}

/**
 * Closes idle connections before their server does, so that no request is sent
 * on a connection that the server is closing. Closes them also when the server
 * sends bytes without a request: what follows can't be told from an answer.
 *
 * @example
 * ```ts
 * const agent = new ServerAgent(clock);
 * request({ agent, host, port });
 * ```
 */
export class ServerAgent extends Agent {
  readonly #clock: Clock;
  readonly #onStrayBytes: (this: Socket) => void;
  #stuttersUntilMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    super({ keepAlive: true });
    this.#clock = clock;
    const noteStutter = () => this.noteStutter();
    this.#onStrayBytes = function () {
      noteStutter();
      this.destroy();
    };
  }

  /**
   * Whether the server has sent an answer twice of late. A copy that comes where
   * the next answer on a connection is due costs that answer.
   */
  get stutters(): boolean {
    return steadyMs(this.#clock) < this.#stuttersUntilMs;
  }

  /** Notes that the server has sent an answer twice. */
  noteStutter(): void {
    this.#stuttersUntilMs = steadyMs(this.#clock) + STUTTER_MS;
  }

  /** Closes the connections that carry no request. */
  closeIdle(): void {
    for (const socket of this.idleSockets()) socket.destroy();
  }

  /** Connections that wait for the next request. */
  idleSockets(): Socket[] {
    return Object.values(this.freeSockets).flatMap((sockets) => sockets ?? []);
  }

  // Node.js calls this when an answer was read to its end and the socket could
  // be reused.
  override keepSocketAlive(socket: Socket): boolean {
    const hint = keepAliveMsBySocket.get(socket) ?? DEFAULT_IDLE_TIMEOUT_MS;
    const idleMs = hint - IDLE_MARGIN_MS;
    const lastRead = lastReadBySocket.get(socket);
    lastReadBySocket.delete(socket);
    // The parser drops the beginning of a head that follows an answer.
    const isFollowed = lastRead !== undefined && mayEndInHead(lastRead);
    if (idleMs <= 0 || isFollowed) return false;
    socket.setKeepAlive(true, 1_000);
    socket.setTimeout(idleMs);
    socket.on("data", this.#onStrayBytes);
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", this.#onStrayBytes);
    socket.off("data", noteRead);
    super.reuseSocket(socket, request);
  }
}
