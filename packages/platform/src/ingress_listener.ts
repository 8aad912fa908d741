/**
 * Accepts clients' HTTP requests and passes them to the request path.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import type { MemoryBudget } from "@endivebend/byte-buffers";
import { type Clock, steadyMs } from "@endivebend/clock";
import type { CallerListener, ListenerContext } from "@endivebend/front";
import { hasInvalidHeaderName } from "@endivebend/http-syntax";
import {
  type Admission,
  type CallerLimits,
  type CallerSink,
  type DecisionLog,
  type DeniedReason,
  isStream,
  type Refusal,
  type RoutedRequest,
} from "@endivebend/request-path";
import type { TextMetrics } from "@endivebend/telemetry";
import { brandId, type RequestId } from "@endivebend/types";
import {
  connectionBounds,
  limitConnections,
  type ProcessLimits,
} from "./connection_limit.ts";
import { ConnectionTurns } from "./connection_turns.ts";
import {
  isTooLarge,
  type MissingBody,
  parseTokens,
  parseWork,
  readBody,
  singleHeader,
} from "./incoming_request.ts";
import { closeAfter, discardBody, isLingering } from "./lingering_close.ts";
import {
  answerHeaders,
  type ClientMessage,
  type ServerMessage,
} from "./server_client.ts";
import { isHeadTooLong, takeHead } from "./head_memory.ts";
import { digestRequest } from "./request_digest.ts";
import type { Endpoint } from "./settings.ts";
import type { UnfinishedBodies } from "./unfinished_bodies.ts";
import type { UnreadAnswer, UnreadAnswers } from "./unread_answers.ts";
import { HEADERS, KEY_SCHEME } from "./wire_names.ts";

/** Settings and collaborators of {@link IngressListener}. */
export interface IngressOptions extends ListenerContext {
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** What the daemon may hold of messages. */
  readonly memory: MemoryBudget;
  readonly metrics: Pick<TextMetrics, "count">;
  readonly unread: UnreadAnswers;
  readonly unfinished: UnfinishedBodies;
  readonly processLimits: ProcessLimits;
}

/**
 * Node.js fixes this limit when the server is created, before a configuration
 * is known. Configurations ask for 16,384 bytes.
 */
const MAX_HEADER_BYTES = 65_536;
/** Time limit of a request without a `Deadline-Ms` header. */
const DEFAULT_REQUEST_TIMEOUT_MS = 15_000;
/**
 * Suggested wait after a 503 of admission. A daemon without a configuration
 * gets one within a second.
 */
const NOT_READY_RETRY_MS = 500;
/** Requests that hold memory end within some 500 ms. */
const NO_MEMORY_RETRY_MS = 500;
/** Another daemon takes the request at once. */
const STOPPING_RETRY_MS = 100;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const STATUS_BY_DENIED_REASON: Readonly<Record<DeniedReason, number>> = {
  no_configuration: 503,
  unknown_route: 404,
  unknown_key: 401,
  no_service: 503,
};

/** Replies to requests whose bodies are not read to their ends. */
const REPLY_BY_MISSING_BODY: Readonly<
  Record<Exclude<MissingBody, "gone">, LocalReply>
> = {
  head_too_long: { status: 431 },
  too_large: { status: 413 },
  stalled: { status: 408 },
  no_memory: { status: 503, retryAfterMs: NO_MEMORY_RETRY_MS },
};

/** Statuses for requests that the parser of Node.js rejects. */
const STATUS_BY_PARSER_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const PARSER_ERROR = /^(?:HPE_|ERR_HTTP_)/;

/** The HTTP server for callers; it listens as soon as it is constructed. */
export class IngressListener implements CallerListener {
  readonly #options: IngressOptions;
  readonly #server: Server;
  readonly #turns = new ConnectionTurns();

  constructor(options: IngressOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAlive: true,
      noDelay: true,
      connectionsCheckingInterval: 1_000,
    }, (request, response) => {
      this.#serve(request, response).catch((caught) =>
        this.#failRequest(request, { response, caught })
      );
    });
    limitConnections(
      this.#server,
      connectionBounds("callers", options.processLimits),
      (reason) => options.metrics.count("closed_connections", { reason }),
    );
    this.#server.on("connection", (socket) => this.#turns.add(socket));
    this.#server.on(
      "clientError",
      (error, socket) => this.#refuseMalformed(error, socket as Socket),
    );
    this.#server.on("checkContinue", (request, response) => {
      // The client of a body that is refused at its head need not send it.
      const { maxBodyBytes } = this.#limits();
      if (!isTooLarge(request, maxBodyBytes)) response.writeContinue();
      this.#server.emit("request", request, response);
    });
    this.applyLimits(DEFAULT_LIMITS);
    // Node.js must not end requests: each has a time limit of its own.
    this.#server.requestTimeout = 0;
    const { host, port } = options.endpoint;
    this.#server.listen({ host, port, backlog: 1_024 });
  }

  /** Connections with a request that has no complete response yet. */
  get openRequestCount(): number {
    return this.#turns.openCount;
  }

  applyLimits(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Stops accepting connections and closes those that are idle. */
  stopListening(): void {
    this.#turns.noteLastRequests();
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.sendDate = false;
    // A response whose headers were sent before draining began announced
    // keep-alive. The next request on its connection could be cut off when the
    // process exits, so the connection is closed after the response.
    response.once("finish", () => {
      if (this.#options.isLeaving()) request.socket.destroySoon();
    });
    request.on("error", () => {});
    response.on("error", () => {});
    if (isLingering(request.socket)) return discardBody(request);
    let drop = () => {};
    const isOver = new Promise<void>((resolve) => drop = resolve);
    response.once("close", drop);
    const isWaiting = this.#turns.isBusy(request.socket);
    const reading = this.#read(request, { isOver, isWaiting });
    // Without an answer, which would have to wait as well.
    if (reading === "no_memory" && isWaiting) {
      this.#options.metrics.count("closed_connections", { reason: "memory" });
      return void request.socket.destroy();
    }
    if (!await this.#turns.take(request.socket, response)) return drop();
    if (this.#options.isLeaving()) response.setHeader("Connection", "close");
    const arrivedAtMs = this.#nowMs();
    if (!request.complete && await this.#isDeniedAtHead(request, response)) {
      return;
    }
    const body = await reading;
    if (body === "gone") return;
    if (typeof body === "string") {
      return this.#refuseUnread(request, { response, reason: body });
    }
    if (hasInvalidHeaderName(request)) {
      // What follows on the connection may be no request.
      response.setHeader("Connection", "close");
      return sendLocalReply(response, { status: 400 });
    }
    await this.#options.whenCurrent();
    const admission = this.#admit(request);
    if (admission.kind === "denied") {
      return this.#deny(request, { response, reason: admission.reason });
    }
    this.#run({ request, response, body, admission, arrivedAtMs });
  }

  /**
   * Takes the head and begins to read the body, also while the request waits for
   * earlier ones: unread chunks cost up to 300 bytes each.
   */
  #read(
    request: IncomingMessage,
    context: {
      readonly isOver: Promise<void>;
      readonly isWaiting: boolean;
    },
  ): Promise<Buffer | MissingBody> | MissingBody {
    const { maxHeaderBytes, maxBodyBytes, idleTimeoutMs } = this.#limits();
    const { memory, unfinished } = this.#options;
    if (isHeadTooLong(request, maxHeaderBytes)) {
      discardBody(request);
      return "head_too_long";
    }
    if (!takeHead(request, { ...context, memory })) {
      discardBody(request);
      return "no_memory";
    }
    const { isOver } = context;
    return readBody(request, {
      maxBytes: maxBodyBytes,
      memory,
      isOver,
      idleTimeoutMs,
      unfinished,
    });
  }

  /** Denies a request whose body is not needed to know that it may not run. */
  async #isDeniedAtHead(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    await this.#options.whenCurrent();
    const admission = this.#admit(request);
    if (admission.kind !== "denied") return false;
    closeAfter(request, response);
    this.#deny(request, { response, reason: admission.reason });
    return true;
  }

  /** Refuses a request whose body is not read to its end; it has not run. */
  #refuseUnread(
    request: IncomingMessage,
    { response, reason }: {
      readonly response: ServerResponse;
      readonly reason: Exclude<MissingBody, "gone">;
    },
  ): void {
    this.#options.log.decision("refuse", {
      requestId: singleHeader(request, HEADERS.requestId),
      reason,
    });
    closeAfter(request, response);
    sendLocalReply(response, REPLY_BY_MISSING_BODY[reason]);
  }

  /** Ends one request whose handling raised an error, before it was sent on. */
  #failRequest(
    request: IncomingMessage,
    failed: { readonly response: ServerResponse; readonly caught: unknown },
  ): void {
    const { response, caught } = failed;
    this.#options.log.decision("request_failed", {
      requestId: singleHeader(request, HEADERS.requestId),
      reason: String(caught),
    });
    if (response.headersSent) response.socket?.resetAndDestroy();
    else sendLocalReply(response, { status: 500, reason: "internal_error" });
  }

  /**
   * Answers bytes that the parser rejects, after the answers to the requests
   * before them, one of which the refusal would be taken for otherwise.
   */
  #refuseMalformed(
    error: Error & { readonly code?: string },
    socket: Socket,
  ): void {
    const code = error.code ?? "";
    if (!PARSER_ERROR.test(code)) return void socket.destroy();
    const status = STATUS_BY_PARSER_ERROR[code] ?? 400;
    this.#turns.endAfterAnswers(socket, () => {
      const head = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
        "Content-Length: 0\r\nConnection: close\r\n\r\n";
      socket.end(head, () => socket.destroy());
    });
  }

  #admit(request: IncomingMessage): Admission {
    const { headers, url = "/" } = request;
    const authorization = headers[HEADERS.authorization] ?? "";
    return this.#options.admission.admit({
      host: (headers.host ?? "").replace(/:\d+$/, ""),
      path: url,
      key: authorization.startsWith(KEY_SCHEME)
        ? authorization.slice(KEY_SCHEME.length).trim()
        : undefined,
      tokens: parseTokens(singleHeader(request, HEADERS.tokens))?.total,
    });
  }

  #deny(
    request: IncomingMessage,
    context: {
      readonly response: ServerResponse;
      readonly reason: DeniedReason;
    },
  ): void {
    const status = STATUS_BY_DENIED_REASON[context.reason];
    this.#options.log.decision("deny", {
      requestId: singleHeader(request, HEADERS.requestId),
      reason: context.reason,
      revision: this.#options.admission.view?.configuration.revision,
    });
    const retryAfterMs = status === 503 ? NOT_READY_RETRY_MS : undefined;
    sendLocalReply(context.response, { status, retryAfterMs });
  }

  #run(context: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    readonly admission: Admission & { readonly kind: "admitted" };
    readonly arrivedAtMs: number;
  }): void {
    const { request, response, admission } = context;
    const routedRequest = buildRoutedRequest(context);
    const { requestId, deadlineMs, timeoutAtMs } = routedRequest;
    const timeLeftMs = Math.min(deadlineMs, timeoutAtMs) - this.#nowMs();
    const hasBegunInTime = this.#turns.takeLastRequest(request.socket);
    if (!hasBegunInTime && !this.#options.mayTake(timeLeftMs)) {
      this.#options.log.decision("refuse", { requestId, reason: "stopping" });
      const retryAfterMs = STOPPING_RETRY_MS;
      return sendLocalReply(response, { status: 503, retryAfterMs });
    }
    const slow: UnreadAnswer = {
      get writableLength() {
        return response.writableLength;
      },
      cutOff: () => {
        this.#options.log.decision("cut_off", { requestId, reason: "unread" });
        this.#options.metrics.count("unread_answers", { reader: "client" });
        sink.abortAnswer();
      },
    };
    const { unread } = this.#options;
    const sink = new ResponseSink(response, {
      isStream: isStream(routedRequest.route.kind),
      noteUnread: () => unread.note(slow, this.#nowMs()),
    });
    const opened = this.#options.admission.open(routedRequest, sink);
    if (opened.kind === "over_limit") {
      this.#options.log.decision("over_limit", {
        requestId: routedRequest.requestId,
        team: opened.team,
        cost: admission.cost,
        retryAfterMs: opened.retryAfterMs,
      });
      const { retryAfterMs } = opened;
      return sendLocalReply(response, { status: 429, retryAfterMs });
    }
    const { run } = opened;
    response.on("drain", () => {
      unread.forget(slow);
      run.callerReady();
    });
    response.once("close", () => {
      unread.forget(slow);
      if (!response.writableFinished) run.callerGone();
    });
    if (request.socket.destroyed) return run.callerGone();
    run.start();
  }

  #limits(): CallerLimits {
    return this.#options.admission.view?.configuration.callerLimits ??
      DEFAULT_LIMITS;
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }
}

function buildRoutedRequest(context: {
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly admission: Admission & { readonly kind: "admitted" };
  readonly arrivedAtMs: number;
}): RoutedRequest {
  const { request, admission, arrivedAtMs } = context;
  const message: ClientMessage = {
    method: request.method ?? "GET",
    target: request.url ?? "/",
    rawHeaders: request.rawHeaders,
    body: context.body,
  };
  const timeLeftMs = Number(
    singleHeader(request, HEADERS.timeLeft) ?? DEFAULT_REQUEST_TIMEOUT_MS,
  );
  return {
    requestId: brandId<RequestId>(
      singleHeader(request, HEADERS.requestId) ?? "",
    ),
    digest: digestRequest({
      method: message.method,
      target: message.target,
      team: admission.team?.id,
      body: message.body,
    }),
    route: admission.route,
    service: admission.service,
    team: admission.team,
    work: parseWork(request),
    cost: admission.cost,
    deadlineMs: arrivedAtMs +
      (Number.isFinite(timeLeftMs) ? timeLeftMs : DEFAULT_REQUEST_TIMEOUT_MS),
    timeoutAtMs: arrivedAtMs + admission.route.timeoutMs,
    resumeAfter: singleHeader(request, HEADERS.resumeAfter),
    takesUp: parseRequestId(singleHeader(request, HEADERS.resumes)),
    message,
  };
}

function parseRequestId(value: string | undefined): RequestId | undefined {
  return value === undefined || value === ""
    ? undefined
    : brandId<RequestId>(value);
}

/** Writes the answer of the request path to the client's connection. */
class ResponseSink implements CallerSink {
  readonly #response: ServerResponse;
  readonly #isStream: boolean;
  readonly #noteUnread: () => void;

  constructor(response: ServerResponse, { isStream, noteUnread }: {
    readonly isStream: boolean;
    /** Called when the client does not read as fast as the answer comes. */
    noteUnread(): void;
  }) {
    this.#response = response;
    this.#isStream = isStream;
    this.#noteUnread = noteUnread;
  }

  head(head: { readonly message: unknown }): void {
    const message = head.message as ServerMessage;
    const headers = answerHeaders(message, { isStream: this.#isStream });
    if (!message.isFramed) {
      // Only the end of its connection ends such an answer, so it may be
      // incomplete. Chunked encoding would mark it as complete.
      this.#response.useChunkedEncodingByDefault = false;
    }
    const closesConnection = !message.isFramed ||
      this.#response.hasHeader("connection");
    this.#response.writeHead(message.status, message.statusText, [
      ...headers,
      ...(closesConnection ? ["Connection", "close"] : []),
    ]);
  }

  data(chunk: Buffer): boolean {
    const isRead = this.#response.write(chunk);
    if (!isRead) this.#noteUnread();
    return isRead;
  }

  end(): void {
    this.#response.end();
  }

  refuse(refusal: Refusal): void {
    const isDeadlinePassed = refusal.reason === "deadline_passed";
    const statusIfSent = isDeadlinePassed ? 504 : 502;
    sendLocalReply(this.#response, {
      status: refusal.isNotRun ? 503 : statusIfSent,
      retryAfterMs: refusal.retryAfterMs,
      reason: refusal.reason,
    });
  }

  abortAnswer(): void {
    // A normal close would make an answer without a length look complete.
    this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }
}

/** A response that the router makes itself, such as a refusal. */
interface LocalReply {
  readonly status: number;
  readonly retryAfterMs?: number | undefined;
  readonly reason?: string;
}

function sendLocalReply(response: ServerResponse, answer: LocalReply): void {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify({ error: answer.reason ?? answer.status });
  const headers: string[] = [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ];
  if (answer.retryAfterMs !== undefined) {
    const seconds = (answer.retryAfterMs / 1_000).toFixed(3);
    headers.push("Retry-After", seconds);
  }
  if (response.hasHeader("connection")) headers.push("Connection", "close");
  response.writeHead(answer.status, headers);
  response.end(body);
}
