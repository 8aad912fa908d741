/**
 * A raw connection, for tests that send bytes which no HTTP client would send.
 *
 * @module
 */

import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** An answer as received over the connection. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** The parsed body; null if the body is not JSON. */
  // deno-lint-ignore no-explicit-any
  readonly json: any;
}

/** A TCP connection that collects what it receives. */
export class RawConnection {
  readonly socket: Socket;
  #received = "";
  #isClosed = false;
  #changeListeners: (() => void)[] = [];

  private constructor(socket: Socket) {
    this.socket = socket;
    const wake = () => {
      for (const resolve of this.#changeListeners) resolve();
      this.#changeListeners = [];
    };
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      this.#received += chunk.toString("latin1");
      wake();
    });
    socket.on("close", () => {
      this.#isClosed = true;
      wake();
    });
  }

  static async open(address: string): Promise<RawConnection> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    return new RawConnection(socket);
  }

  get received(): string {
    return this.#received;
  }

  send(bytes: string | Buffer): void {
    this.socket.write(bytes);
  }

  /** Resolves when the text has been received or the connection has closed. */
  async waitFor(text: string): Promise<string> {
    while (!this.#received.includes(text) && !this.#isClosed) {
      await new Promise<void>((resolve) => this.#changeListeners.push(resolve));
    }
    return this.#received;
  }

  /** Resolves with everything received, once the connection has closed. */
  async waitForClose(): Promise<string> {
    if (!this.#isClosed) await once(this.socket, "close");
    return this.#received;
  }

  /** Takes one answer with a content length off the received text. */
  async answer(): Promise<RawAnswer> {
    await this.waitFor("\r\n\r\n");
    const [head = ""] = this.#received.split("\r\n\r\n", 1);
    const [statusLine = "", ...headLines] = head.split("\r\n");
    const headers = Object.fromEntries(headLines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const bodyStart = head.length + "\r\n\r\n".length;
    const end = bodyStart + Number(headers["content-length"] ?? 0);
    while (this.#received.length < end && !this.#isClosed) {
      await new Promise<void>((resolve) => this.#changeListeners.push(resolve));
    }
    const body = this.#received.slice(bodyStart, end);
    this.#received = this.#received.slice(end);
    const status = Number(statusLine.split(" ")[1]);
    const isJson = headers["content-type"] === "application/json";
    return { status, headers, body, json: isJson ? JSON.parse(body) : null };
  }

  destroy(): void {
    this.socket.destroy();
  }
}

/** Formats an HTTP/1.1 request. */
export function rawRequest(
  line: string,
  options: {
    readonly headers?: readonly string[];
    readonly body?: string;
  } = {},
): string {
  const { headers = [], body = "" } = options;
  const length = body === ""
    ? []
    : [`content-length: ${Buffer.byteLength(body)}`];
  const headLines = [`${line} HTTP/1.1`, "host: h", ...headers, ...length];
  return `${headLines.join("\r\n")}\r\n\r\n${body}`;
}
