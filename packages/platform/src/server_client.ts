/**
 * Sends attempts to backend servers over HTTP/1.1.
 *
 * @module
 */

import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import { connect, type Socket } from "node:net";
import {
  ChunkBatch,
  holdReading,
  paceReading,
  releaseReading,
} from "@endivebend/byte-buffers";
import { type Clock, steadyMs } from "@endivebend/clock";
import {
  findFieldFault,
  findHeadFault,
  isIpAndPort,
} from "@endivebend/http-syntax";
import {
  type AnswerHead,
  type AttemptFailure,
  type AttemptHandle,
  type AttemptListener,
  type AttemptOrder,
  BEGINS_TOO_LATE,
  type ForwardOrder,
  isRepeatable,
  type LinkState,
  type ListenState,
  type ServerClient,
  type ServerLoad,
  type WeightsVersion,
} from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type RequestId,
} from "@endivebend/types";
import { AnswerBody } from "./answer_body.ts";
import { type BoundedRequestId, boundRequestId } from "./bounded_names.ts";
import { FORWARD_HEADERS, isForwardHeader } from "./forward_wire.ts";
import { noteKeepAlive, noteReads, ServerAgent } from "./server_agent.ts";
import { filterHeaders, HEADERS, PATHS, SYSTEM_HEADERS } from "./wire_names.ts";

/** A request as the client sent it. */
export interface ClientMessage {
  readonly method: string;
  /** Request target: path and query. */
  readonly target: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Status line and headers of an answer as the server sent them. */
export interface ServerMessage {
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly string[];
  /**
   * Whether the answer has a length or chunks; otherwise it ends with its
   * connection.
   */
  readonly isFramed: boolean;
}

/**
 * Failure domains are some 1 ms apart, and a server that is up accepts at once.
 */
const CONNECT_TIMEOUT_MS = 300;
/**
 * A server answers a report at once, whatever waits there. The time is counted
 * in turns, as a process that gets little of its processor reads late as well.
 */
const ANSWER_TURN_MS = 100;
const MAX_ANSWER_TURNS = 4;
/** Servers have a use for a few (RFC 9110, section 15.2). */
const MAX_INFORMATIONAL_ANSWERS = 16;
/** Bodies of this length, in bytes, are read so that a connection is reused. */
const MAX_DRAINED_BYTES = 4_096;
/** Time for such a body to arrive; it is sent together with its head. */
const DRAIN_TIMEOUT_MS = 1_000;
const WHOLE_NUMBER = /^\d{1,15}$/;
const DECIMAL = /^\d{1,16}(?:\.\d{1,16})?$/;
/** A server that asks for a longer quiet is asked again after this time. */
const MAX_QUIET_MS = 3_600_000;
/** A late copy of an answer to one of so many requests is recognized. */
const MAX_NOTED_REQUESTS = 32;
const FOREIGN_ANSWER = "The answer belongs to another request";
const FOREIGN_HEAD = "The answer ends in the head of another one";
const ENDS_CHUNKED = /(?:^|,)[ \t]*chunked[ \t]*$/i;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/**
 * The last requests that a socket has carried, the newest last. Clients choose
 * the ids, which are kept for as long as the connection.
 */
const requestsBySocket = new WeakMap<Socket, BoundedRequestId[]>();

function noteRequest(socket: Socket, request: RequestId): void {
  const requests = requestsBySocket.get(socket) ?? [];
  requestsBySocket.set(socket, requests);
  requests.push(boundRequestId(request));
  if (requests.length > MAX_NOTED_REQUESTS) requests.shift();
}

/**
 * Closes idle connections where one of them has carried the request before: a
 * late copy of what its server answered then has the request's id.
 */
function closeFormerConnections(agent: ServerAgent, request: RequestId): void {
  const id = boundRequestId(request);
  const isFormer = agent.idleSockets().some((socket) =>
    requestsBySocket.get(socket)?.includes(id)
  );
  if (isFormer) agent.closeIdle();
}

/**
 * Creates the client, which keeps one connection pool for each address. `ip` is
 * the address that other daemons see its connections come from.
 */
export function createServerClient(
  clock: Clock,
  { ip }: { readonly ip?: string } = {},
): ServerClient {
  const agents = new Map<string, ServerAgent>();
  // Requests that run at most once are not sent to other daemons on connections
  // that may be dead, nor to servers where a second copy may cost the answer.
  const unpooled = new Agent({ keepAlive: false });
  function agentFor(address: string): ServerAgent {
    const known = agents.get(address);
    if (known !== undefined) return known;
    const agent = new ServerAgent(clock);
    agents.set(address, agent);
    return agent;
  }
  return {
    start(order, listener) {
      const { server, request, forwarder } = order;
      const headers = requestHeaders(order, clock);
      const message = request.message as ClientMessage;
      const expected = { requestId: request.requestId, serverId: server.id };
      const { beginByMs } = order;
      const maySend = () => isInTime(beginByMs, clock);
      if (forwarder === undefined) {
        const { address } = server;
        const known = agentFor(address);
        const mayReuse = isRepeatable(request.route.kind) || !known.stutters;
        const agent = mayReuse ? known : unpooled;
        return startExchange({
          address,
          agent,
          known,
          message,
          headers,
          expected,
          maySend,
        }, listener);
      }
      headers.push(FORWARD_HEADERS.server, server.id);
      headers.push(FORWARD_HEADERS.address, server.address);
      if (beginByMs !== undefined) {
        const beginInMs = Math.floor(beginByMs - steadyMs(clock));
        headers.push(FORWARD_HEADERS.beginIn, String(beginInMs));
      }
      const { expectedStartMs } = order;
      if (expectedStartMs !== undefined) {
        headers.push(FORWARD_HEADERS.expectedStart, String(expectedStartMs));
      }
      const { address } = forwarder;
      return startExchange({
        address,
        agent: isRepeatable(request.route.kind) ? agentFor(address) : unpooled,
        message,
        headers,
        expected,
        maySend,
        forwardedFrom: ip,
        isForwarded: true,
      }, listener);
    },
    forward(order, listener) {
      const { requestId, server, beginByMs } = order;
      const known = agentFor(server.address);
      return startExchange({
        address: server.address,
        agent: known.stutters ? unpooled : known,
        known,
        message: order.message as ClientMessage,
        headers: forwardedHeaders(order, clock),
        expected: { requestId, serverId: server.id },
        maySend: () => isInTime(beginByMs, clock),
      }, listener);
    },
    checkListening,
    checkAnswering,
    closeIdleConnections(address) {
      agents.get(address)?.closeIdle();
    },
  };
}

function isInTime(beginByMs: number | undefined, clock: Clock): boolean {
  return beginByMs === undefined || steadyMs(clock) < beginByMs;
}

function checkListening(address: string): Promise<ListenState> {
  if (!isIpAndPort(address)) return Promise.resolve("unknown");
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const settle = (state: ListenState) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setTimeout(
      () => setImmediate(() => settle("unknown")),
      CONNECT_TIMEOUT_MS,
    );
    socket.on("connect", () => settle("listening"));
    socket.on(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        settle(code === "ECONNREFUSED" ? "closed" : "unknown"),
    );
  });
}

/**
 * Asks for a report, which waits for no slot. Whatever comes back has come over
 * the link, be it a refusal or malformed.
 */
function checkAnswering(
  { id, address }: { readonly id: BackendServerId; readonly address: string },
): Promise<LinkState> {
  if (!isIpAndPort(address)) return Promise.resolve("no_connection");
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    let isAccepted = false;
    let turns = 0;
    const settle = (state: LinkState) => {
      clearInterval(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setInterval(() => {
      turns += 1;
      if (turns < MAX_ANSWER_TURNS) return;
      // After a pause of the process an answer may be there and not yet read.
      setImmediate(() => settle(isAccepted ? "silent" : "no_connection"));
    }, ANSWER_TURN_MS);
    socket.on("connect", () => {
      isAccepted = true;
      socket.write(
        `GET ${PATHS.report} HTTP/1.1\r\nHost: ${address}\r\n` +
          `Expect-Instance: ${id}\r\nConnection: close\r\n\r\n`,
      );
    });
    socket.once("data", () => settle("answered"));
    socket.on("end", () => settle("reset"));
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      const failure = code === "ECONNREFUSED" ? "refused" : "no_connection";
      settle(isAccepted ? "reset" : failure);
    });
  });
}

/** The answer that a request expects. */
interface ExpectedAnswer {
  readonly requestId: RequestId;
  readonly serverId: BackendServerId;
}

/** One request, sent to a server or to a daemon that forwards it. */
interface Exchange {
  readonly address: string;
  readonly agent: Agent;
  /** What is known of the server; undefined for a daemon that forwards. */
  readonly known?: ServerAgent;
  readonly message: ClientMessage;
  readonly headers: readonly string[];
  readonly expected: ExpectedAnswer;
  /**
   * Whether the request may still be sent, checked when its connection is ready.
   * The process may have been paused since the attempt was decided.
   */
  readonly maySend: () => boolean;
  readonly isForwarded?: boolean;
  /** Own address from which to connect. */
  readonly forwardedFrom?: string | undefined;
}

/**
 * Opens the request, or returns why there is none: addresses and ids are those
 * that others have written, and one of them must end its own request only.
 */
function openRequest(exchange: Exchange): ClientRequest | Error {
  const { address, agent, message, headers, forwardedFrom } = exchange;
  if (!isIpAndPort(address)) {
    return new Error(`The server's address ${JSON.stringify(address)} is none`);
  }
  const [host, port] = address.split(":");
  try {
    return request({
      agent,
      host,
      port,
      method: message.method,
      path: message.target,
      // Node.js accepts a flat list of names and values and keeps their letter
      // case; its types don't say so.
      headers: headers as unknown as Record<string, string>,
      ...(forwardedFrom && { localAddress: forwardedFrom }),
    });
  } catch (caught) {
    return caught as Error;
  }
}

function startExchange(
  exchange: Exchange,
  listener: AttemptListener,
): AttemptHandle {
  const { message, known, expected, maySend, isForwarded = false } = exchange;
  if (known !== undefined) closeFormerConnections(known, expected.requestId);
  const outgoing = openRequest(exchange);
  if (outgoing instanceof Error) {
    const { message: reason } = outgoing;
    queueMicrotask(() => listener.failed({ kind: "unsent", reason }));
    return { abort() {}, pause() {}, resume() {} };
  }
  let answer: IncomingMessage | undefined;
  let wasSent = false;
  let isFinished = false;
  let isPaused = false;
  let body: AnswerBody | undefined;
  const relay = (bytes: Buffer) => {
    if (!isFinished && bytes.length > 0) listener.data(bytes);
  };
  const batch = new ChunkBatch((bytes) => {
    relay(body === undefined ? bytes : body.push(bytes));
    if (body?.found !== undefined) noteStutter();
    if (body?.isCutOff) fail(FOREIGN_HEAD);
  });
  const noteStutter = () => known?.noteStutter();
  const fail = (
    reason: string,
    kind: AttemptFailure["kind"] = wasSent ? "broken" : "unsent",
    isOwnFault = isForwarded,
  ) => {
    batch.flush();
    if (isFinished) return;
    isFinished = true;
    clearTimeout(connectTimer);
    const at = isOwnFault ? { at: "forwarder" as const } : {};
    listener.failed({ kind, reason, ...at });
    outgoing.destroy();
  };
  // After a pause of the process its timers run before its sockets are looked
  // at, and the connection may have been accepted meanwhile.
  const connectTimer = setTimeout(
    () => setImmediate(() => failUnconnected()),
    CONNECT_TIMEOUT_MS,
  );
  const failUnconnected = () => {
    if (!wasSent) fail("The server did not accept the connection in time");
  };
  outgoing.on("socket", (socket) => {
    noteRequest(socket, expected.requestId);
    noteReads(socket);
    const send = () => {
      if (isFinished) return;
      if (!maySend()) return fail(BEGINS_TOO_LATE);
      clearTimeout(connectTimer);
      wasSent = true;
      listener.sent();
      outgoing.end(message.body);
    };
    if (!socket.connecting) return send();
    socket.once("connect", () => {
      if (!isFinished) listener.connected();
      send();
    });
  });
  outgoing.on("error", ({ message, code }: NodeJS.ErrnoException) => {
    // Bytes after the end of a complete answer don't invalidate it.
    if (answer?.complete !== true) return fail(message);
    if (code?.startsWith("HPE_")) noteStutter();
  });
  let informationalAnswers = 0;
  outgoing.on("information", () => {
    informationalAnswers += 1;
    if (informationalAnswers > MAX_INFORMATIONAL_ANSWERS) {
      fail("The server sends informational answers without a final one");
    }
  });
  outgoing.on("upgrade", (_answer, socket) => {
    socket.destroy();
    fail("The server changed the protocol without being asked");
  });
  outgoing.on("close", () => {
    if (answer === undefined) fail("The connection closed without an answer");
  });
  outgoing.on("response", (response) => {
    try {
      takeAnswer(response);
    } catch (caught) {
      fail(`The answer can't be read: ${(caught as Error).message}`);
    }
  });
  const release = () => {
    if (answer !== undefined) releaseReading(answer.socket, "receiver");
  };
  const takeAnswer = (response: IncomingMessage) => {
    answer = response;
    // The next request on the connection must not find it held.
    response.once("close", release);
    const headFault = findHeadFault(response);
    if (headFault !== undefined) return fail(`The answer has ${headFault}`);
    const hint = KEEP_ALIVE_TIMEOUT.exec(
      String(response.headers["keep-alive"] ?? ""),
    );
    if (hint !== null) noteKeepAlive(response.socket, Number(hint[1]) * 1_000);
    if (isForwarded) {
      const {
        [FORWARD_HEADERS.outcome]: outcome,
        [FORWARD_HEADERS.reason]: reason,
        [FORWARD_HEADERS.ownFault]: ownFault,
      } = response.headers;
      if (outcome === "unsent" || outcome === "broken") {
        return fail(String(reason ?? ""), outcome, ownFault !== undefined);
      }
    }
    // A daemon that forwards has checked whose answer it is.
    const isFirstAnswer = isForwarded || !outgoing.reusedSocket;
    const head = readHead(response, { expected, isFirstAnswer });
    if (head === undefined) {
      if (outgoing.reusedSocket) noteStutter();
      return fail(FOREIGN_ANSWER);
    }
    const { socket } = response;
    const { requestId } = expected;
    const earlier = requestsBySocket.get(socket)?.slice(0, -1) ?? [];
    body = new AnswerBody({ requestId, earlier, isFramed: isFramed(response) });
    let wasReset = false;
    if (!isFramed(response)) {
      const noteReset = () => wasReset = !hasPeer(socket);
      socket.prependListener("end", noteReset);
      response.once("close", () => socket.off("end", noteReset));
    }
    response.on("error", ({ message }) => fail(message));
    response.on("aborted", () => fail("The answer was cut off before its end"));
    if (isPaused) {
      // What came together with the head waits as well.
      holdReading(socket, "receiver");
      response.pause();
    }
    listener.head(head);
    // The listener may have aborted the attempt.
    if (isFinished) return;
    response.on("data", (chunk: Buffer) => batch.add(chunk));
    paceReading(response);
    response.on("end", () => {
      batch.flush();
      if (isFinished) return;
      if (!response.complete || wasReset) {
        return fail("The answer was cut off before its end");
      }
      // Nothing but the end of the connection proves such an answer whole, and a
      // server may close its connection with the rest of the upload unread.
      if (!isFramed(response) && !outgoing.writableFinished) {
        return fail("The answer ended before the request was written");
      }
      const trailerFault = findFieldFault(response.rawTrailers);
      if (trailerFault !== undefined) {
        return fail(`The answer's trailer has ${trailerFault}`);
      }
      const rest = body?.end();
      if (rest === undefined || body?.isCutOff) return fail(FOREIGN_HEAD);
      // Node.js closes the connection at the head of a second answer.
      if (outgoing.shouldKeepAlive && socket.destroyed) noteStutter();
      relay(rest);
      if (isFinished) return;
      isFinished = true;
      listener.end();
    });
  };
  return {
    abort() {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(connectTimer);
      release();
      drainOrDestroy(outgoing, answer);
    },
    pause() {
      isPaused = true;
      if (answer !== undefined) holdReading(answer.socket, "receiver");
    },
    resume() {
      isPaused = false;
      answer?.resume();
      // What the answer holds is read out first, and may take up this turn.
      process.nextTick(() => {
        if (!isPaused) release();
      });
    },
  };
}

/**
 * Whether a socket that has ended was closed in order by its peer. libuv reports
 * a reset as an end when it reads it together with data; the kernel has
 * forgotten the peer then.
 */
function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/** Whether an answer doesn't end with its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  return coding === undefined
    ? headers["content-length"] !== undefined
    : ENDS_CHUNKED.test(coding);
}

/**
 * Reads a short refusal to its end, so that its connection can be reused;
 * otherwise destroys the request.
 */
function drainOrDestroy(
  outgoing: ClientRequest,
  answer: IncomingMessage | undefined,
): void {
  if (answer === undefined) return reset(outgoing);
  const length = Number(answer.headers["content-length"] ?? Number.NaN);
  const isShortRefusal = answer.headers[HEADERS.notRun] !== undefined &&
    length <= MAX_DRAINED_BYTES;
  if (!isShortRefusal) return void outgoing.destroy();
  const timer = setTimeout(() => outgoing.destroy(), DRAIN_TIMEOUT_MS);
  answer.once("close", () => clearTimeout(timer));
  answer.resume();
}

/**
 * Destroys a request that may not have arrived. After an orderly close the kernel
 * would go on sending it until the server accepts it.
 */
function reset(outgoing: ClientRequest): void {
  const { socket } = outgoing;
  if (socket?.connecting === false) socket.resetAndDestroy();
  outgoing.destroy();
}

/** The headers of another daemon's request, with the time that is left. */
function forwardedHeaders(order: ForwardOrder, clock: Clock): string[] {
  const { rawHeaders, body } = order.message as ClientMessage;
  const headers = filterHeaders(
    rawHeaders,
    (name) =>
      isForwardHeader(name) || name === HEADERS.timeLeft ||
      name === "content-length",
  );
  const timeLeftMs = Math.floor(order.deadlineMs - steadyMs(clock));
  headers.push("Deadline-Ms", String(Math.max(1, timeLeftMs)));
  const hadLength = rawHeaders.some((name, index) =>
    index % 2 === 0 && name.toLowerCase() === "content-length"
  );
  if (hadLength) headers.push("Content-Length", String(body.length));
  headers.push("Connection", "keep-alive");
  return headers;
}

function requestHeaders(order: AttemptOrder, clock: Clock): string[] {
  const { request: routedRequest } = order;
  const message = routedRequest.message as ClientMessage;
  const nowMs = steadyMs(clock);
  const headers = filterHeaders(
    message.rawHeaders,
    (name) =>
      SYSTEM_HEADERS.has(name) || name === "content-length" ||
      name === HEADERS.resumeAfter || isForwardHeader(name),
  );
  const timeLeftMs = Math.max(1, Math.floor(order.deadlineMs - nowMs));
  headers.push("Deadline-Ms", String(timeLeftMs));
  headers.push("Expect-Instance", order.server.id);
  if (routedRequest.team !== undefined) {
    headers.push("Tenant", routedRequest.team.id);
  }
  if (routedRequest.work !== undefined) {
    headers.push("Request-Priority", String(order.urgency));
  }
  const { weights, fetchFrom, saveTo } = order.cache;
  if (weights !== undefined) headers.push("Expect-Version", String(weights));
  if (order.cacheScope !== undefined) {
    headers.push("Cache-Salt", order.cacheScope);
  }
  if (fetchFrom !== undefined) headers.push("Kv-Fetch", fetchFrom);
  if (saveTo !== undefined) headers.push("Kv-Save", saveTo);
  if (order.resumeAfter !== undefined) {
    headers.push("Last-Event-Id", order.resumeAfter);
  }
  const hasBody = message.body.length > 0 || message.method === "POST" ||
    message.method === "PUT" || message.method === "PATCH";
  if (hasBody) headers.push("Content-Length", String(message.body.length));
  headers.push("Connection", "keep-alive");
  return headers;
}

/**
 * Returns undefined when the answer belongs to another request. Refusals may
 * lack the request's id; on a connection that has been used before, such a
 * refusal may be a late copy of one to an earlier request.
 */
function readHead(
  response: IncomingMessage,
  { expected, isFirstAnswer }: {
    readonly expected: ExpectedAnswer;
    /** Whether the connection has carried no other request. */
    readonly isFirstAnswer: boolean;
  },
): AnswerHead | undefined {
  const { headers, rawHeaders } = response;
  const status = response.statusCode ?? 0;
  const isNotRun = headers[HEADERS.notRun] !== undefined;
  const echoedRequestId = headers[HEADERS.requestId];
  const belongsToRequest = echoedRequestId === expected.requestId ||
    (isFirstAnswer && echoedRequestId === undefined &&
      (isNotRun || status === 421));
  if (!belongsToRequest) return undefined;
  const instanceId = headers[HEADERS.serverId];
  const message: ServerMessage = {
    status,
    statusText: response.statusMessage ?? "",
    rawHeaders,
    isFramed: headers[FORWARD_HEADERS.unframed] === undefined &&
      isFramed(response),
  };
  return {
    status,
    isNotRun,
    isMisdirected: status === 421,
    isExpectedServer: instanceId === undefined
      ? undefined
      : instanceId === expected.serverId,
    hasProof: headers[HEADERS.proof] !== undefined,
    load: parseLoad(headers[HEADERS.load]),
    weights: parseWeights(headers[HEADERS.weights]),
    limitPerS: parseLimit(headers[HEADERS.limit]),
    bearsPerS: parseLimit(headers[HEADERS.brittle]),
    isLeaving: headers[HEADERS.leaving] === "1",
    quietMs: status === 503
      ? parseQuiet(headers[HEADERS.retryAfter])
      : undefined,
    message,
  };
}

/** Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PERCENT`. */
function parseLoad(
  header: string | string[] | undefined,
): ServerLoad | undefined {
  if (typeof header !== "string") return undefined;
  const [running, waiting, slots, percent] = header.split(",").map(Number);
  const isLoad = [running, waiting, slots].every(Number.isFinite);
  if (!isLoad) return undefined;
  const load = { running: running!, waiting: waiting!, slots: slots! };
  const isStated = percent !== undefined && percent > 0 &&
    Number.isFinite(percent);
  return isStated ? { ...load, slowdownPercent: percent } : load;
}

/** Parses a whole number. */
function parseWeights(header: string | string[] | undefined) {
  if (typeof header !== "string" || !WHOLE_NUMBER.test(header)) {
    return undefined;
  }
  return brandId<WeightsVersion>(Number(header));
}

/** Parses a decimal number of seconds above 0 into milliseconds. */
function parseQuiet(header: string | undefined): number | undefined {
  if (header === undefined || !DECIMAL.test(header)) return undefined;
  const quietMs = Math.min(MAX_QUIET_MS, Math.ceil(Number(header) * 1_000));
  return quietMs > 0 ? quietMs : undefined;
}

/** Parses a decimal number of requests a second. */
function parseLimit(header: string | string[] | undefined) {
  if (typeof header !== "string" || header.trim() === "") return undefined;
  const limitPerS = Number(header);
  return Number.isFinite(limitPerS) && limitPerS >= 0 ? limitPerS : undefined;
}

/** Returns the headers of a server's answer that are passed to the client. */
export function answerHeaders(
  message: ServerMessage,
  { isStream }: { readonly isStream: boolean },
): string[] {
  return filterHeaders(
    message.rawHeaders,
    // A stream may be resumed at another server, and its length may differ.
    (name) => isForwardHeader(name) || (isStream && name === "content-length"),
  );
}
