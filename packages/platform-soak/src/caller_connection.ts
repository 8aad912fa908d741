/**
 * A caller's connection to a daemon, on a raw socket.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { HttpReader } from "./http_reader.ts";
import type { AnswerEnd, CallerAnswer, Ledger } from "./ledger.ts";

const CONNECT_TIMEOUT_MS = 1_000;

interface Pending {
  readonly timer: NodeJS.Timeout;
  readonly settle: (answer: CallerAnswer) => void;
}

/** Carries one request at a time, and is kept until the daemon closes it. */
export class CallerConnection {
  readonly #ledger: Ledger;
  readonly #socket: Socket;
  readonly #reader = new HttpReader({ isAnswer: true });
  #pending: Pending | undefined;
  #isOpen = true;

  constructor(ledger: Ledger, address: { host: string; port: number }) {
    this.#ledger = ledger;
    this.#socket = connect({ ...address, noDelay: true });
    this.#socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (this.#socket.connecting) this.#socket.destroy();
    });
    this.#socket.on("data", (bytes) => this.#take(bytes));
    // A close with all bytes ends an answer without a length; a reset doesn't.
    this.#socket.on("end", () => this.#finish(true));
    this.#socket.on("error", () => this.#finish(false));
    this.#socket.on("close", () => this.#finish(false));
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether it can carry a request. */
  get isIdle(): boolean {
    return this.#isOpen && this.#pending === undefined;
  }

  /** Sends a request; resolves with whatever comes of it by the deadline. */
  send(request: string, limitMs: number): Promise<CallerAnswer> {
    return new Promise((settle) => {
      const timer = setTimeout(() => {
        this.#settle("abandoned");
        this.close();
      }, limitMs);
      this.#pending = { timer, settle };
      this.#socket.write(request, "latin1");
    });
  }

  close(): void {
    this.#isOpen = false;
    this.#socket.destroy();
  }

  #take(bytes: Buffer): void {
    this.#reader.append(bytes);
    if (this.#pending === undefined) return this.#noteStrayBytes();
    const message = this.#reader.take();
    if (this.#reader.isMalformed) {
      this.#noteStrayBytes();
      return this.#finish(false);
    }
    if (message === undefined) return;
    const closes = message.headers["connection"]?.toLowerCase() === "close";
    this.#settle("complete", message);
    if (closes) this.close();
    if (this.#reader.rest !== "") this.#noteStrayBytes();
  }

  #noteStrayBytes(): void {
    const text = this.#reader.rest.slice(0, 200);
    this.#ledger.strayBytes.push({ atMs: this.#ledger.nowMs(), text });
    this.close();
  }

  #finish(wasClosedInOrder: boolean): void {
    this.#isOpen = false;
    const { head, endsWithConnection } = this.#reader;
    if (head === undefined) this.#settle("none");
    else {
      const isWhole = endsWithConnection && wasClosedInOrder;
      this.#settle(isWhole ? "complete" : "broken");
    }
    this.#socket.destroy();
  }

  #settle(
    end: AnswerEnd,
    { startLine, headers, body } = this.#reader.head === undefined
      ? { startLine: "", headers: {}, body: "" }
      : { ...this.#reader.head, body: this.#reader.body },
  ): void {
    const pending = this.#pending;
    if (pending === undefined) return;
    this.#pending = undefined;
    clearTimeout(pending.timer);
    const status = startLine === ""
      ? undefined
      : Number(startLine.slice(9, 12));
    const atMs = this.#ledger.nowMs();
    pending.settle({ status, headers, body, end, atMs });
  }
}
