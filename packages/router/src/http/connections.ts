/**
 * Tracks the open requests on each connection of a caller or operator.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * A request that is open until its answer has been handed to the operating
 * system in full or the client has disconnected.
 */
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

  /** Whether the client disconnected before its answer was complete. */
  get isAbandoned(): boolean {
    return this.#hasEnded && !this.response.writableFinished;
  }

  /**
   * Calls the listener if the client disconnects before the complete answer.
   */
  onAbandoned(listener: () => void): void {
    this.onEnded(() => {
      if (this.isAbandoned) listener();
    });
  }

  /** Calls the listener once the answer is sent or the client disconnected. */
  onEnded(listener: () => void): void {
    if (this.#hasEnded) return listener();
    this.#endListeners.push(listener);
  }

  /** Marks the request as ended. Called only by its {@link Connection}. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    for (const listener of this.#endListeners) listener();
    this.#endListeners = [];
  }
}

/** State of one client connection. */
export class Connection {
  readonly open = new Set<OpenRequest>();
  /** Set when the connection is to end after the answers in progress. */
  isClosing = false;
  /** Set after an error of the HTTP parser, which then reads nothing more. */
  hasParserFailed = false;

  constructor(socket: Socket) {
    // Of pipelined answers only the first one gets a close event of its own.
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

/**
 * Returns the connection state of a socket; it is created on the first call.
 */
export function connectionOf(socket: Socket): Connection {
  const known = connections.get(socket);
  if (known !== undefined) return known;
  const connection = new Connection(socket);
  connections.set(socket, connection);
  return connection;
}

/**
 * Returns the open request of a request and its response; it is registered on
 * the first call.
 *
 * @example
 * ```ts
 * openRequestOf(request, response).onAbandoned(() => run.abandon());
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
