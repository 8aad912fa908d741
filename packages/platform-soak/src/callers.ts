/**
 * Callers: an even load on the daemons over connections that they keep, with
 * retries and take-ups of streams that broke off.
 *
 * @module
 */

import { CallerConnection } from "./caller_connection.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { Ledger, RequestKind, SentRequest } from "./ledger.ts";
import { drawsFor } from "./random.ts";
import { eventsOf } from "./stream_events.ts";

/** Host of all routes. */
export const HOST = "soak.example";
/** The service behind each kind of route. */
export const SERVICE_BY_KIND: Readonly<Record<RequestKind, string>> = {
  safe: "plain",
  unsafe: "plain",
  stream: "events",
};

/** What the callers send. */
export interface LoadOptions {
  readonly seed: number;
  /** Requests a second for each daemon, without retries. */
  readonly ratePerS: number;
  /** Kinds, one of which is drawn for each request. */
  readonly kinds: readonly RequestKind[];
  /** Most retries and take-ups of one request. */
  readonly retries: number;
}

/** Where the callers send it, and what they note. */
export interface LoadContext {
  readonly ledger: Ledger;
  readonly daemons: readonly DaemonProcess[];
  /** Versions of which two servers or more serve. */
  servedVersions(): readonly string[];
}

/** What a caller wants, over its tries. */
interface Wish {
  readonly name: string;
  readonly kind: RequestKind;
  readonly lastEvent: number;
  readonly triesLeft: number;
  readonly resumeAfter: number;
  readonly resumes: string | undefined;
}

const PLAIN_LIMIT_MS = 3_000;
const STREAM_LIMIT_MS = 9_000;
/** Pause before the first retry when the answer names none; it grows. */
const RETRY_PAUSE_MS = 150;
/** Most that a caller waits because an answer asks it to. */
const MAX_RETRY_AFTER_MS = 1_000;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FINAL_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

/** Sends requests at an even rate until it is stopped. */
export class Callers {
  readonly #options: LoadOptions;
  readonly #context: LoadContext;
  readonly #connections = new Map<number, CallerConnection[]>();
  readonly #open = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;
  #requests = 0;
  #nextDaemon = 0;

  constructor(options: LoadOptions, context: LoadContext) {
    this.#options = options;
    this.#context = context;
  }

  start(): void {
    const { ratePerS } = this.#options;
    const intervalMs = 1_000 / (ratePerS * this.#context.daemons.length);
    const startedAtMs = performance.now();
    this.#timer = setInterval(() => {
      const due = (performance.now() - startedAtMs) / intervalMs;
      while (this.#sent < due) this.#begin();
    }, 5);
  }

  /** Sends nothing new; resolves when every request has ended. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    while (this.#open.size > 0) await Promise.all(this.#open);
    for (const connection of [...this.#connections.values()].flat()) {
      connection.close();
    }
  }

  #begin(): void {
    const { seed, kinds, retries } = this.#options;
    const name = `w${this.#sent}`;
    this.#sent += 1;
    const draws = drawsFor(seed, name);
    const wish: Wish = {
      name,
      kind: draws.pick(kinds),
      lastEvent: draws.int(5, 60),
      triesLeft: retries,
      resumeAfter: 0,
      resumes: undefined,
    };
    this.#track(this.#pursue(wish));
  }

  #track(work: Promise<void>): void {
    this.#open.add(work);
    void work.finally(() => this.#open.delete(work));
  }

  /** Retries come on new connections, to the next daemon. */
  async #pursue(first: Wish): Promise<void> {
    let wish: Wish | undefined = first;
    let mustConnect = false;
    let tries = 0;
    while (wish !== undefined) {
      const sent = await this.#send(wish, mustConnect);
      wish = nextWish(wish, sent);
      mustConnect = true;
      tries += 1;
      if (wish !== undefined) await pause(sent, tries);
    }
  }

  async #send(wish: Wish, mustConnect: boolean): Promise<SentRequest> {
    const { ledger, daemons } = this.#context;
    const { kind } = wish;
    const daemon = this.#pickDaemon();
    this.#requests += 1;
    const sent: SentRequest = {
      id: `${this.#options.seed.toString(16)}-${this.#requests}`,
      kind,
      service: SERVICE_BY_KIND[kind],
      daemon,
      sentAtMs: ledger.nowMs(),
      isFirstTry: wish.triesLeft === this.#options.retries,
      stream: kind === "stream" ? wish.name : undefined,
      lastEvent: wish.lastEvent,
      resumeAfter: wish.resumeAfter,
      resumes: wish.resumes,
      servedVersions: this.#context.servedVersions(),
      answer: undefined,
    };
    ledger.requests.set(sent.id, sent);
    const open = this.#connections.get(daemon) ?? [];
    this.#connections.set(daemon, open.filter(({ isOpen }) => isOpen));
    let connection = mustConnect ? undefined : open.find((one) => one.isIdle);
    if (connection === undefined) {
      connection = new CallerConnection(ledger, daemons[daemon]!.address);
      this.#connections.get(daemon)!.push(connection);
    }
    const limitMs = kind === "stream" ? STREAM_LIMIT_MS : PLAIN_LIMIT_MS;
    sent.answer = await connection.send(formatRequest(sent, limitMs), limitMs);
    return sent;
  }

  /** The load balancer's choice: those that are ready, in turn. */
  #pickDaemon(): number {
    const { daemons } = this.#context;
    const ready = daemons.filter(({ isInRotation }) => isInRotation);
    const choice = ready.length * 2 < daemons.length ? daemons : ready;
    this.#nextDaemon += 1;
    return choice[this.#nextDaemon % choice.length]!.options.index;
  }
}

function formatRequest(sent: SentRequest, limitMs: number): string {
  const body = `body of ${sent.id}`;
  const stream = sent.stream === undefined
    ? ""
    : `Accept: text/event-stream\r\nX-Stream: ${sent.stream}\r\n`;
  const takeUp = sent.resumes === undefined
    ? ""
    : `Last-Event-Id: ${sent.resumeAfter}\r\nResumes: ${sent.resumes}\r\n`;
  return `POST /${sent.kind}/a?events=${sent.lastEvent} HTTP/1.1\r\n` +
    `Host: ${HOST}\r\nAttempt-Id: ${sent.id}\r\n` +
    `Deadline-Ms: ${limitMs}\r\n${stream}${takeUp}` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** What the caller tries next; undefined when it is content or gives up. */
function nextWish(wish: Wish, sent: SentRequest): Wish | undefined {
  const { status, end } = sent.answer!;
  if (wish.triesLeft === 0) return undefined;
  const next = { ...wish, triesLeft: wish.triesLeft - 1 };
  const isSuccess = status !== undefined && status < 300;
  if (isSuccess && end === "complete") return undefined;
  if (status !== undefined && FINAL_STATUSES.has(status)) return undefined;
  const mayRetry = wish.kind !== "unsafe" ||
    (status !== undefined && NOT_RUN_STATUSES.has(status));
  if (!mayRetry) return undefined;
  const events = isSuccess ? eventsOf(sent.answer!.body).events : [];
  if (events.length === 0) return next;
  return {
    ...next,
    resumeAfter: events.at(-1)!.number,
    resumes: wish.resumes ?? sent.id,
  };
}

function pause({ answer }: SentRequest, tries: number): Promise<void> {
  const seconds = Number(answer?.headers["retry-after"] ?? 0);
  const waitMs = Math.min(MAX_RETRY_AFTER_MS, seconds * 1_000);
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(RETRY_PAUSE_MS * tries ** 2, waitMs));
  });
}
