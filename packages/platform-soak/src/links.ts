/**
 * The link between a daemon and a backend server, and the forms in which it
 * can be cut. A server listens at one address for each daemon.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How a link is cut. */
export interface LinkCut {
  /** What a new connection meets. */
  readonly fresh: FreshForm;
  /** What becomes of connections that are open. */
  readonly open: OpenForm;
}

type SocketHandler = (socket: Socket) => void;
type AcceptHandler = (socket: Socket, serve: SocketHandler) => void;

interface FreshHandler {
  /** Ends or stops the listener when the cut begins. */
  readonly stopListening?: (link: Link) => void;
  readonly accept: AcceptHandler;
}

const LISTEN_QUEUE = 1_024;
/** The shortest queue of Linux holds two connections. */
const SHORT_QUEUE = 1;
const FILLERS = 3;
/** A process that holds a listener ends by itself after this time. */
const HOLDER_LIMIT_S = 120;

const reset: SocketHandler = (socket) => socket.resetAndDestroy();
const keep: SocketHandler = () => {};
const holdAnswers: SocketHandler = (socket) => socket.cork();
const hold: SocketHandler = (socket) => {
  socket.pause();
  socket.cork();
};

function serveAnd(handler: SocketHandler): AcceptHandler {
  return (socket, serve) => {
    serve(socket);
    handler(socket);
  };
}

/** What a new connection meets while its link is cut. */
const FRESH_FORMS = {
  refused: { stopListening: (link) => link.refuse(), accept: reset },
  unanswered: { stopListening: (link) => link.fillQueue(), accept: reset },
  reset_on_accept: { accept: reset },
  reset_on_bytes: {
    accept: (socket) => socket.once("data", () => reset(socket)),
  },
  silent: { accept: serveAnd(hold) },
  /** Requests arrive, answers don't. */
  one_way: { accept: serveAnd(holdAnswers) },
} satisfies Readonly<Record<string, FreshHandler>>;

/** What becomes of open connections when their link is cut. */
const OPEN_FORMS = {
  reset,
  silent: hold,
  one_way: holdAnswers,
  alive: keep,
} satisfies Readonly<Record<string, SocketHandler>>;

/** What a new connection meets. */
export type FreshForm = keyof typeof FRESH_FORMS;
/** What becomes of open connections. */
export type OpenForm = keyof typeof OPEN_FORMS;

/** Names of all forms of {@link FreshForm}. */
export const FRESH_FORM_NAMES = Object.keys(FRESH_FORMS) as FreshForm[];

/** A process that keeps listeners open and accepts nothing. */
interface ListenerHolder {
  end(): Promise<void>;
}

const listenersToHold: number[] = [];
let nextHolder: Promise<ListenerHolder> | undefined;

/** Starts one process for all listeners that are held at the same time. */
function holdListener(fd: number): Promise<ListenerHolder> {
  listenersToHold.push(fd);
  nextHolder ??= Promise.resolve().then(() => {
    nextHolder = undefined;
    const listeners = listenersToHold.splice(0);
    const child = spawn("sleep", [String(HOLDER_LIMIT_S)], {
      stdio: ["ignore", "ignore", "ignore", ...listeners],
    });
    const exited = once(child, "exit");
    return {
      async end() {
        child.kill("SIGKILL");
        await exited;
      },
    };
  });
  return nextHolder;
}

/** The address at which a server takes the connections of one daemon. */
export class Link {
  readonly #host: string;
  readonly #serve: SocketHandler;
  readonly #sockets = new Set<Socket>();
  #port = 0;
  #isUp = false;
  #server: Server | undefined;
  #cut: LinkCut | undefined;
  /** Holds the listener of a link whose connections are not answered. */
  #holding: Promise<ListenerHolder> | undefined;
  #fillers: Socket[] = [];

  constructor(host: string, serve: SocketHandler) {
    this.#host = host;
    this.#serve = serve;
  }

  /** The server starts at the port, or at a free one if it is 0. */
  async open(port: number): Promise<number> {
    this.#isUp = true;
    this.#port = port;
    const form: FreshHandler | undefined = this.#form;
    if (form?.stopListening === undefined) await this.#listen();
    return this.#port;
  }

  /** The server ends. */
  close(): void {
    this.#isUp = false;
    this.refuse();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Cuts the link; false if it is cut already. */
  cut(cut: LinkCut): boolean {
    if (this.#cut !== undefined) return false;
    this.#cut = cut;
    const form: FreshHandler = FRESH_FORMS[cut.fresh];
    form.stopListening?.(this);
    for (const socket of this.#sockets) OPEN_FORMS[cut.open](socket);
    return true;
  }

  /** Ends the given cut; delivers what was held back meanwhile. */
  async mend(cut: LinkCut): Promise<void> {
    if (this.#cut !== cut) return;
    const holder = await this.#holding;
    this.#holding = undefined;
    for (const filler of this.#fillers) filler.destroy();
    this.#fillers = [];
    await holder?.end();
    this.#cut = undefined;
    for (const socket of this.#sockets) {
      while (socket.writableCorked > 0) socket.uncork();
      socket.resume();
    }
    if (this.#isUp && this.#server === undefined) await this.#listen();
  }

  /** Closes the listener; open connections stay. */
  refuse(): void {
    this.#server?.close();
    this.#server = undefined;
  }

  /**
   * Leaves the listener to a process that accepts nothing, with a queue that is
   * full: the kernel then drops what opens a connection.
   */
  fillQueue(): void {
    if (this.#server === undefined) return;
    // Node.js has no public way to either.
    const { _handle: handle } = this.#server as unknown as {
      readonly _handle: { readonly fd: number; listen(queue: number): void };
    };
    handle.listen(SHORT_QUEUE);
    this.#holding = holdListener(handle.fd).then((holder) => {
      this.refuse();
      this.#fillers = Array.from({ length: FILLERS }, () => {
        const filler = connect(this.#port, this.#host);
        return filler.on("error", () => {});
      });
      return holder;
    });
  }

  get #form(): FreshHandler | undefined {
    return this.#cut && FRESH_FORMS[this.#cut.fresh];
  }

  async #listen(): Promise<void> {
    const server = createServer({ noDelay: true }, (socket) => {
      this.#accept(socket);
    });
    this.#server = server;
    server.listen(this.#port, this.#host, LISTEN_QUEUE);
    await once(server, "listening");
    this.#port = (server.address() as AddressInfo).port;
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    const form = this.#form;
    if (form === undefined) this.#serve(socket);
    else form.accept(socket, this.#serve);
  }
}
