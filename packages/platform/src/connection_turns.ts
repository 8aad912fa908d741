/**
 * Lets the requests of a connection run one after the other. A client may send
 * several without waiting for answers (pipelining). If a later one ran at once
 * and the connection closed after an earlier answer, as while draining, a
 * request would have run without an answer.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Most requests that may wait on one connection for earlier answers. */
const MAX_WAITING_REQUESTS = 32;

interface ConnectionState {
  /** The response to the request that runs or is being read. */
  current: ServerResponse | undefined;
  /** Whether the parser has rejected bytes; it reads nothing after them. */
  hasParserFailed: boolean;
  /** Start the requests that wait, in the order of their arrival. */
  readonly waiting: (() => void)[];
  /** Bytes that had been read when the latest response was closed. */
  bytesReadAtClose: number;
}

/** Tracks the connections of one HTTP server. */
export class ConnectionTurns {
  readonly #connections = new Map<Socket, ConnectionState>();
  /** Connections with a request that had begun when the last ones were noted. */
  #lastRequests: Set<Socket> | undefined;

  /** Starts tracking a connection. */
  add(socket: Socket): void {
    const connection: ConnectionState = {
      current: undefined,
      hasParserFailed: false,
      waiting: [],
      bytesReadAtClose: 0,
    };
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      for (const start of connection.waiting) start();
    });
  }

  /** Whether a request of the connection runs or is being read. */
  isBusy(socket: Socket): boolean {
    return this.#connections.get(socket)?.current !== undefined;
  }

  /**
   * Resolves when the earlier responses of the connection have been sent: true
   * if the request may run, false if its connection has closed. A connection on
   * which too many requests wait is closed.
   *
   * @example
   * ```ts
   * if (!await turns.take(request.socket, response)) return;
   * ```
   */
  async take(socket: Socket, response: ServerResponse): Promise<boolean> {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return false;
    if (connection.waiting.length >= MAX_WAITING_REQUESTS) socket.destroy();
    if (connection.current !== undefined) {
      await new Promise<void>((start) => connection.waiting.push(start));
    }
    if (socket.destroyed || !socket.writable) return false;
    if (connection.hasParserFailed && !response.req.complete) {
      connection.waiting.shift()?.();
      return false;
    }
    connection.current = response;
    response.once("close", () => {
      connection.bytesReadAtClose = socket.bytesRead;
      connection.current = undefined;
      connection.waiting.shift()?.();
    });
    return true;
  }

  /**
   * Ends a connection on which the parser has rejected bytes: calls `refuse`
   * when the requests before them have been answered. Destroys the connection
   * where the refusal would become a part of an answer.
   *
   * @example
   * ```ts
   * turns.endAfterAnswers(socket, () => socket.end(refusal));
   * ```
   */
  endAfterAnswers(socket: Socket, refuse: () => void): void {
    const connection = this.#connections.get(socket);
    if (connection?.hasParserFailed === true) return;
    if (connection === undefined) return void socket.destroy();
    connection.hasParserFailed = true;
    const { current } = connection;
    const end = () => {
      if (socket.writable) refuse();
      else socket.destroy();
    };
    if (current === undefined) return end();
    // The request with the rejected bytes is still being read, so it won't run.
    if (!current.req.complete && !current.headersSent) return end();
    if (!current.req.complete) return void socket.destroy();
    connection.waiting.push(end);
  }

  /**
   * Connections whose client has sent bytes since the latest response was
   * closed: a request without a complete response, or a part of one.
   */
  get openCount(): number {
    return this.#openSockets().length;
  }

  /** Notes which requests have begun, at the first call. */
  noteLastRequests(): void {
    this.#lastRequests ??= new Set(this.#openSockets());
  }

  /** Whether the connection's request had begun then; true for one request. */
  takeLastRequest(socket: Socket): boolean {
    return this.#lastRequests?.delete(socket) === true;
  }

  #openSockets(): Socket[] {
    return [...this.#connections]
      .filter(([socket, { current, bytesReadAtClose }]) =>
        current !== undefined || socket.bytesRead > bytesReadAtClose
      )
      .map(([socket]) => socket);
  }
}
