/**
 * The HTTP server under every stand-in: routes, a control listener that stays
 * up while the main listener is down, and faults of connections.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import createRouter, { type HTTPMethod } from "find-my-way";
import { HttpFailure, readJsonObject, sendJson } from "./http_messages.ts";

/** What a handler gets. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly query: URLSearchParams;
}

/** Answers one call; a thrown {@link HttpFailure} becomes its status. */
export type CallHandler = (call: Call) => Promise<void> | void;

/** Handlers by `METHOD /path`. */
export type RouteTable = Readonly<Record<string, CallHandler>>;

/** State that the control interface reads and changes. */
export interface Controllable {
  /** Applies the fields of one control message. */
  applyControl(fields: Record<string, unknown>): Promise<void> | void;
  /** What `GET /control` returns. */
  readControl(): unknown;
  /** What `GET /record` returns. */
  readRecord(): unknown;
}

/** What every started stand-in offers. */
export interface StandIn {
  /** IP number and port of the main listener. */
  readonly address: string;
  /** IP number and port of the control listener, which faults never stop. */
  readonly controlAddress: string;
  /** Does what `POST /control` does. */
  control(fields: Record<string, unknown>): Promise<void>;
  close(): Promise<void>;
}

/** Where a stand-in listens; 0 or nothing takes a free port. */
export interface ListenOptions {
  readonly port?: number;
  readonly controlPort?: number;
}

const LOOPBACK = "127.0.0.1";

/** A server with routes, a control listener and faults of connections. */
export class StandInServer implements StandIn {
  readonly #routes: RouteTable;
  readonly #controllable: Controllable;
  readonly #main: Server;
  readonly #control: Server;
  readonly #sockets = new Set<Socket>();
  #port = 0;
  #hangs = false;
  /** Runs before each main call; true means that it dealt with the call. */
  intercept: (call: Call) => Promise<boolean> | boolean = () => false;

  constructor(routes: RouteTable, controllable: Controllable) {
    this.#routes = routes;
    this.#controllable = controllable;
    const controlRoutes = this.#controlRoutes();
    this.#main = this.#createServer({ ...routes, ...controlRoutes });
    this.#control = this.#createServer(controlRoutes);
    this.#main.on("connection", (socket: Socket) => this.#track(socket));
  }

  get address(): string {
    return `${LOOPBACK}:${this.#port}`;
  }

  get controlAddress(): string {
    return `${LOOPBACK}:${(this.#control.address() as AddressInfo).port}`;
  }

  async start(options: ListenOptions): Promise<void> {
    await listen(this.#main, options.port ?? 0);
    this.#port = (this.#main.address() as AddressInfo).port;
    await listen(this.#control, options.controlPort ?? 0);
  }

  async control(fields: Record<string, unknown>): Promise<void> {
    await this.#controllable.applyControl(fields);
  }

  async close(): Promise<void> {
    this.destroyConnections();
    this.#main.close();
    this.#control.closeAllConnections();
    await new Promise((resolve) => this.#control.close(resolve));
  }

  /** Ends the main listener: new connections are refused. */
  stopListening(): void {
    if (this.#main.listening) this.#main.close();
  }

  /** Listens again on the same port. */
  async listenAgain(): Promise<void> {
    if (!this.#main.listening) await listen(this.#main, this.#port);
  }

  /** While set, connections are accepted and no call is answered. */
  setHangs(hangs: boolean): void {
    this.#hangs = hangs;
  }

  destroyConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Open connections send nothing more; connections made later work. */
  silenceConnections(): void {
    for (const socket of this.#sockets) silence(socket);
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
  }

  #createServer(routes: RouteTable): Server {
    const router = createRouter({ maxParamLength: 1000 });
    for (const [key, handler] of Object.entries(routes)) {
      const [method, path] = key.split(" ") as [HTTPMethod, string];
      router.on(method, path, () => {}, handler);
    }
    const server = createServer((request, response) => {
      response.on("error", () => {});
      const isMain = server === this.#main;
      if (isMain && this.#hangs) return;
      const url = new URL(request.url ?? "/", "http://stand-in");
      const found = router.find(request.method as HTTPMethod, url.pathname);
      const call: Call = {
        request,
        response,
        params: found?.params ?? {},
        query: url.searchParams,
      };
      const isControl = /^\/(control|record)$/.test(url.pathname);
      const skipsIntercept = !isMain || isControl;
      void this.#answer(call, {
        handler: found?.store as CallHandler | undefined,
        skipsIntercept,
      });
    });
    server.keepAliveTimeout = 60_000;
    server.requestTimeout = 0;
    return server;
  }

  async #answer(
    call: Call,
    options: {
      readonly handler: CallHandler | undefined;
      readonly skipsIntercept: boolean;
    },
  ): Promise<void> {
    try {
      if (!options.skipsIntercept && await this.intercept(call)) return;
      if (options.handler === undefined) {
        throw new HttpFailure(404, "No such route");
      }
      await options.handler(call);
    } catch (error) {
      answerFailure(call.response, error);
    }
  }

  #controlRoutes(): RouteTable {
    return {
      "GET /control": ({ response }) =>
        sendJson(response, 200, { body: this.#controllable.readControl() }),
      "POST /control": async ({ request, response }) => {
        await this.control(await readJsonObject(request));
        sendJson(response, 200, { body: this.#controllable.readControl() });
      },
      "GET /record": ({ response }) =>
        sendJson(response, 200, { body: this.#controllable.readRecord() }),
    };
  }
}

/** Makes a socket send nothing more until its other end closes it. */
function silence(socket: Socket): void {
  // Writes that never complete keep all later ones in the socket's buffer.
  socket._write = () => {};
  socket._writev = () => {};
  socket.once("end", () => socket.destroy());
}

function answerFailure(response: ServerResponse, error: unknown): void {
  if (response.destroyed) return;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const failure = error instanceof HttpFailure
    ? error
    : new HttpFailure(500, `Stand-in failed: ${String(error)}`);
  const body = { error: { message: failure.message }, ...failure.fields };
  sendJson(response, failure.status, { body });
}

function listen(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, LOOPBACK, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** Resolves after a time; never keeps the process alive. */
export function delay(ms: number): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, ms).unref());
}
