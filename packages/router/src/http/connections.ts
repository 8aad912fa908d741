/**
 * The requests that are open on each connection of a caller or operator.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request whose answer has not been handed to the system in full. */
export class OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  #endListeners: (() => void)[] = [];
  #hasEnded = false;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.request = request;
    this.response = response;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** True when the caller has left before its answer was whole. */
  get isAbandoned(): boolean {
    return this.#hasEnded && !this.response.writableFinished;
  }

  /** Calls the listener when the caller leaves before its answer is whole. */
  onAbandoned(listener: () => void): void {
    this.onEnded(() => {
      if (this.isAbandoned) listener();
    });
  }

  /** Calls the listener once the answer is out or the caller has left. */
  onEnded(listener: () => void): void {
    if (this.#hasEnded) return listener();
    this.#endListeners.push(listener);
  }

  /** Ends the request; only its connection calls this. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    for (const listener of this.#endListeners) listener();
    this.#endListeners = [];
  }
}

/** What is known of one connection. */
export class Connection {
  readonly open = new Set<OpenRequest>();
  /** Set when the connection ends after the answers that are open. */
  isClosing = false;
  /** Set when the parser has met an error, after which it reads nothing more. */
  hasParserFailed = false;

  constructor(socket: Socket) {
    // The answers behind the first of a pipeline get no event of their own.
    socket.once("close", () => {
      for (const request of [...this.open]) this.#end(request);
    });
  }

  register(request: IncomingMessage, response: ServerResponse): OpenRequest {
    const openRequest = new OpenRequest(request, response);
    this.open.add(openRequest);
    response.once("close", () => this.#end(openRequest));
    return openRequest;
  }

  #end(request: OpenRequest): void {
    this.open.delete(request);
    request.end();
  }
}

const connections = new WeakMap<Socket, Connection>();
const openRequests = new WeakMap<ServerResponse, OpenRequest>();

/** The connection of a socket. */
export function connectionOf(socket: Socket): Connection {
  const known = connections.get(socket);
  if (known !== undefined) return known;
  const connection = new Connection(socket);
  connections.set(socket, connection);
  return connection;
}

/**
 * The open request of an exchange; it is registered on the first call.
 *
 * @example
 * ```ts
 * openRequestOf(request, response).onLeft(() => run.abandon());
 * ```
 */
export function openRequestOf(
  request: IncomingMessage,
  response: ServerResponse,
): OpenRequest {
  const known = openRequests.get(response);
  if (known !== undefined) return known;
  const openRequest = connectionOf(request.socket).register(request, response);
  openRequests.set(response, openRequest);
  return openRequest;
}
