/**
 * A backend server on raw sockets that answers as its faults say.
 *
 * @module
 */

import type { Socket } from "node:net";
import {
  type AnswerPlan,
  planAnswer,
  type ServerFaults,
} from "./answer_plan.ts";
import { HttpReader, type Message } from "./http_reader.ts";
import type { Ledger, Run } from "./ledger.ts";
import { Link, type LinkCut } from "./links.ts";
import { drawsFor } from "./random.ts";

/** What a server is. */
export interface ServerOptions {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  /** Version of its software. */
  readonly version: string;
  readonly seed: number;
  /** Address that the platform lists. */
  readonly host: string;
  /** Addresses of the links, in the order of the daemons. */
  readonly linkHosts: readonly string[];
}

const SLOTS = 128;
/** A cut answer ends after this many bytes. */
const CUT_AFTER_BYTES = 50;
const EVENT_INTERVAL_MS = 50;
const RESET_DELAY_MS = 5;
/** An answer that a cut link holds back is ended when the link is mended. */
const HELD_END_INTERVAL_MS = 50;

/** A connection from a daemon. */
interface Connection {
  readonly socket: Socket;
  /** Index of the daemon that has opened it. */
  readonly daemon: number;
  readonly reader: HttpReader;
  /** A copy that is sent right before the next answer. */
  held: string;
  isBusy: boolean;
}

/** A request that a server answers. */
interface Exchange {
  readonly connection: Connection;
  readonly message: Message;
  readonly id: string;
  readonly plan: AnswerPlan;
}

/** A running server; it may crash and start again. */
export class BackendServer {
  options: ServerOptions;
  faults: ServerFaults;
  leavingSinceMs: number | undefined;
  bornAtMs = Date.now();
  reportCount = 0;
  readonly #ledger: Ledger;
  readonly #arrivalsById = new Map<string, number>();
  readonly #links: readonly Link[];
  #isUp = false;
  #port = 0;
  #running = 0;

  constructor(ledger: Ledger, options: ServerOptions, faults: ServerFaults) {
    this.#ledger = ledger;
    this.options = options;
    this.faults = faults;
    this.#links = options.linkHosts.map((host, daemon) =>
      new Link(host, (socket) => this.#accept(socket, daemon))
    );
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get address(): string {
    return `${this.options.host}:${this.#port}`;
  }

  /** Listens, after a crash at the same port. */
  async start(): Promise<void> {
    this.bornAtMs = Date.now();
    this.reportCount = 0;
    for (const link of this.#links) this.#port = await link.open(this.#port);
    this.#isUp = true;
  }

  /** The next start is of another version of the software. */
  upgrade(version: string): void {
    this.options = { ...this.options, version };
  }

  /** Resets all connections and accepts none, until it is started again. */
  crash(): void {
    this.#isUp = false;
    for (const link of this.#links) link.close();
    this.#running = 0;
  }

  /** Cuts the links of the daemons; resolves a function that mends them. */
  cutLinks(daemons: Iterable<number>, cut: LinkCut): () => Promise<void> {
    const links = [...daemons].flatMap((daemon) => this.#links[daemon] ?? []);
    for (const link of links) link.cut(cut);
    return async () => {
      await Promise.all(links.map((link) => link.mend(cut)));
    };
  }

  #accept(socket: Socket, daemon: number): void {
    const reader = new HttpReader({ isAnswer: false });
    const connection = { socket, daemon, reader, held: "", isBusy: false };
    socket.on("data", (bytes) => {
      reader.append(bytes);
      this.#serveNext(connection);
    });
  }

  #serveNext(connection: Connection): void {
    if (connection.isBusy) return;
    const message = connection.reader.take();
    if (message !== undefined) this.#serve(connection, message);
  }

  #serve(connection: Connection, message: Message): void {
    const [method = "", path = ""] = message.startLine.split(" ");
    const id = message.headers["attempt-id"];
    if (id === undefined) {
      return this.#write(connection, this.#answerStatus(`${method} ${path}`));
    }
    const count = this.#arrivalsById.get(id) ?? 0;
    this.#arrivalsById.set(id, count + 1);
    const { seed } = this.options;
    const draws = drawsFor(seed, `${this.options.id}/${id}/${count}`);
    const plan = planAnswer(this.faults, draws);
    const exchange = { connection, message, id, plan };
    const expected = message.headers["expect-instance"];
    const isOther = expected !== undefined && expected !== this.options.id;
    if (isOther) return this.#refuse(exchange, 421);
    if (plan.isRefused || this.#running >= SLOTS) {
      return this.#refuse(exchange, 503);
    }
    this.#run(exchange);
  }

  /** Answers what the platform and the daemons ask of the server itself. */
  #answerStatus(call: string): string {
    const { id } = this.options;
    const handlers: Readonly<Record<string, () => string>> = {
      "GET /health": () => formatAnswer(200, { "Instance-Id": id }, ""),
      "GET /api/report": () =>
        formatAnswer(
          200,
          { "Content-Type": "application/json" },
          this.#report(),
        ),
    };
    const handler = handlers[call.split("?")[0] ?? ""];
    return handler?.() ?? formatAnswer(404, { "Not-Run": "1" }, "");
  }

  #report(): string {
    return JSON.stringify({
      stage: "both",
      models: [],
      busy: false,
      seq: 0,
      queued: 0,
      running: this.#running,
      born: this.bornAtMs,
    });
  }

  #refuse(exchange: Exchange, status: number): void {
    const { connection, plan, id } = exchange;
    this.#noteArrival(exchange, undefined);
    const names: Record<string, string> = plan.namesRequest
      ? { "Attempt-Id": id }
      : {};
    const fields = { ...names, "Not-Run": "1", "Instance-Id": this.options.id };
    this.#answer(connection, formatAnswer(status, fields, ""), plan);
  }

  #run(exchange: Exchange): void {
    const { connection, message, id, plan } = exchange;
    this.#running += 1;
    const { id: server, version } = this.options;
    const number = this.#ledger.arrivals.length;
    const proof = `${server}.${version}.${id}.${number}`;
    const isStream = message.headers["accept"] === "text/event-stream";
    const body = isStream
      ? ""
      : `${proof} ${"x".repeat(plan.fillerBytes)} end of ${proof}\n`;
    const run = { server, version, proof, status: 200, body };
    this.#noteArrival(exchange, run);
    connection.isBusy = true;
    setTimeout(() => {
      if (isStream) return this.#stream(exchange, run);
      this.#running -= 1;
      connection.isBusy = false;
      const fields = answerFields(id, proof);
      const { isFramed } = plan;
      this.#answer(
        connection,
        formatAnswer(200, fields, body, { isFramed }),
        plan,
      );
      this.#serveNext(connection);
    }, plan.workMs);
  }

  /** Writes an answer, and its copy or its first bytes only. */
  #answer(connection: Connection, text: string, plan: AnswerPlan): void {
    const { socket } = connection;
    if (plan.isCut) {
      socket.write(text.slice(0, CUT_AFTER_BYTES), "latin1");
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
      return;
    }
    this.#write(connection, text, plan);
    if (!plan.isFramed) {
      const delayMs = plan.copy === undefined ? 0 : plan.copyDelayMs + 30;
      setTimeout(() => endWhenOpen(socket), delayMs);
    }
  }

  #write(connection: Connection, text: string, plan?: AnswerPlan): void {
    const { socket, held } = connection;
    const send = (part: string, delayMs: number) =>
      setTimeout(() => {
        if (socket.writable) socket.write(part, "latin1");
      }, delayMs);
    connection.held = "";
    const split = Math.ceil(text.length * (plan?.copySplit ?? 0));
    const now = held + text + (plan?.copy === "same_segment" ? text : "");
    if (socket.writable) socket.write(now, "latin1");
    const delayMs = plan?.copyDelayMs ?? 0;
    const forms: Readonly<Record<string, () => void>> = {
      soon: () => send(text, delayMs),
      late: () => send(text, delayMs),
      before_next() {
        connection.held = text;
      },
      two_pieces() {
        send(text.slice(0, split), delayMs);
        send(text.slice(split), delayMs + 20);
      },
      tail: () => send(text.slice(split), delayMs),
      part: () => send(text.slice(0, split), delayMs),
    };
    forms[plan?.copy ?? ""]?.();
  }

  /** Sends events; chunks end anywhere, as events do not matter to them. */
  #stream(exchange: Exchange, run: Run): void {
    const { connection, message, id, plan } = exchange;
    const { socket } = connection;
    const after = Number(message.headers["last-event-id"] ?? 0);
    const last = Number(/events=(\d+)/.exec(message.startLine)?.[1] ?? 10);
    const name = message.headers["x-stream"] ?? id;
    const events: string[] = [];
    for (let event = after + 1; event <= last; event++) {
      events.push(
        `id: ${event}\ndata: ${name} ${event} ${run.version} ${run.proof}\n\n`,
      );
    }
    const head = formatHead(200, {
      ...answerFields(id, run.proof),
      "Content-Type": "text/event-stream",
      "Transfer-Encoding": "chunked",
    });
    let sent = head;
    const write = (text: string) => {
      sent += text;
      if (socket.writable) socket.write(text, "latin1");
    };
    const finish = () => {
      this.#running -= 1;
      connection.isBusy = false;
      this.#serveNext(connection);
    };
    socket.write(connection.held + head, "latin1");
    connection.held = "";
    let next = 0;
    const step = () => {
      if (socket.destroyed) return finish();
      if (next === plan.breaksOffAfter) {
        const text = events[next] ?? "";
        write(formatChunk(text.slice(0, Math.ceil(text.length / 2))));
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        return finish();
      }
      if (next < events.length) {
        write(splitChunk(events[next]!, plan.copySplit));
        next += 1;
        return void setTimeout(step, EVENT_INTERVAL_MS);
      }
      write("0\r\n\r\n");
      finish();
      if (plan.copy !== undefined && plan.copy !== "same_segment") {
        connection.socket.setNoDelay(true);
        this.#copyStream(connection, sent, plan);
      } else if (plan.copy === "same_segment") write(sent);
    };
    step();
  }

  #copyStream(connection: Connection, sent: string, plan: AnswerPlan): void {
    const split = Math.ceil(sent.length * plan.copySplit);
    const text = plan.copy === "tail"
      ? sent.slice(split)
      : plan.copy === "part"
      ? sent.slice(0, split)
      : sent;
    if (plan.copy === "before_next") {
      connection.held = text;
      return;
    }
    setTimeout(() => {
      if (connection.socket.writable) connection.socket.write(text, "latin1");
    }, plan.copyDelayMs);
  }

  #noteArrival({ id, plan, connection }: Exchange, run: Run | undefined): void {
    const { id: server, service } = this.options;
    this.#ledger.arrivals.push({
      id,
      server,
      service,
      atMs: this.#ledger.nowMs(),
      via: connection.daemon,
      leavingSinceMs: this.leavingSinceMs,
      copy: plan.copy,
      run,
    });
  }
}

/** Ends a connection; one that is held back must not show its end. */
function endWhenOpen(socket: Socket): void {
  if (socket.writableCorked === 0) return void socket.end();
  if (!socket.destroyed) {
    setTimeout(() => endWhenOpen(socket), HELD_END_INTERVAL_MS);
  }
}

function answerFields(id: string, proof: string): Record<string, string> {
  return { "Attempt-Id": id, "Response-Seal": proof };
}

function formatHead(
  status: number,
  fields: Readonly<Record<string, string>>,
): string {
  const lines = Object.entries(fields).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 ${status} Answer\r\n${lines.join("")}\r\n`;
}

function formatAnswer(
  status: number,
  fields: Readonly<Record<string, string>>,
  body: string,
  { isFramed = true }: { readonly isFramed?: boolean } = {},
): string {
  const framing: Record<string, string> = isFramed
    ? { "Content-Length": String(body.length) }
    : { "Connection": "close" };
  return formatHead(status, { ...fields, ...framing }) + body;
}

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** An event in two chunks, split at a share of its bytes. */
function splitChunk(text: string, share: number): string {
  const at = Math.min(text.length - 1, Math.max(1, text.length * share | 0));
  return formatChunk(text.slice(0, at)) + formatChunk(text.slice(at));
}
