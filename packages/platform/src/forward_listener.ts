/**
 * Takes requests of daemons that don't reach their servers and forwards them.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { MemoryBudget } from "@endivebend/byte-buffers";
import { type Clock, steadyMs } from "@endivebend/clock";
import type {
  ForwardListener,
  ForwardListenerContext,
} from "@endivebend/front";
import type {
  AnswerHead,
  AttemptFailure,
  ForwardSink,
} from "@endivebend/request-path";
import type { TextMetrics } from "@endivebend/telemetry";
import {
  type BackendServerId,
  brandId,
  type RequestId,
  type TeamId,
} from "@endivebend/types";
import {
  connectionBounds,
  limitConnections,
  type ProcessLimits,
} from "./connection_limit.ts";
import { FORWARD_HEADERS, isForwardHeader } from "./forward_wire.ts";
import { takeHead } from "./head_memory.ts";
import { parseWork, readBody, singleHeader } from "./incoming_request.ts";
import { closeAfter, discardBody, isLingering } from "./lingering_close.ts";
import { digestRequest } from "./request_digest.ts";
import type { ClientMessage, ServerMessage } from "./server_client.ts";
import type { UnfinishedBodies } from "./unfinished_bodies.ts";
import type { UnreadAnswer, UnreadAnswers } from "./unread_answers.ts";
import { filterHeaders, HEADERS } from "./wire_names.ts";

/** Bound on what a daemon sends on for a client, whose body is bounded too. */
const MAX_BODY_BYTES = 16_777_216;
const MAX_HEADER_BYTES = 98_304;
/** A daemon has the whole body before it sends it. */
const BODY_IDLE_TIMEOUT_MS = 5_000;

/** What the listener needs. */
export interface ForwardingContext extends ForwardListenerContext {
  readonly clock: Clock;
  /** What the daemon may hold of messages. */
  readonly memory: MemoryBudget;
  readonly metrics: Pick<TextMetrics, "count">;
  readonly unread: UnreadAnswers;
  readonly unfinished: UnfinishedBodies;
  readonly processLimits: ProcessLimits;
}

/**
 * Starts the listener. It serves addresses of the fleet only, as requests that
 * come here have been admitted and charged already.
 *
 * @example
 * ```ts
 * const listener = serveForwarding({ ...context, clock, memory });
 * ```
 */
export function serveForwarding(context: ForwardingContext): ForwardListener {
  const server: Server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
    (request, response) => {
      serve(context, { request, response }).catch((caught) => {
        context.failed(String(caught));
        response.socket?.resetAndDestroy();
      });
    },
  );
  server.requestTimeout = 0;
  limitConnections(
    server,
    connectionBounds("daemons", context.processLimits),
    (reason) => context.metrics.count("closed_connections", { reason }),
  );
  server.on("error", ({ message }) => context.failed(message));
  server.listen(context.port, context.ip);
  return {
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function serve(
  context: ForwardingContext,
  { request, response }: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
  },
): Promise<void> {
  response.sendDate = false;
  request.on("error", () => {});
  response.on("error", () => {});
  if (isLingering(request.socket)) return discardBody(request);
  const receivedAtMs = steadyMs(context.clock);
  const id = singleHeader(request, FORWARD_HEADERS.server);
  const address = singleHeader(request, FORWARD_HEADERS.address);
  const timeLeftMs = Number(singleHeader(request, HEADERS.timeLeft));
  const beginInHeader = singleHeader(request, FORWARD_HEADERS.beginIn);
  const isPeer = context.isPeer(request.socket.remoteAddress ?? "");
  const isComplete = id !== undefined && address !== undefined &&
    Number.isFinite(timeLeftMs) && Number.isFinite(Number(beginInHeader ?? 0));
  if (!isPeer || !isComplete) {
    context.failed(isPeer ? "incomplete request" : "not a daemon's address");
    closeAfter(request, response);
    response.writeHead(403, { "Content-Length": 0 }).end();
    return;
  }
  const { memory, unfinished } = context;
  const isOver = new Promise((resolve) => response.once("close", resolve));
  const hasHead = takeHead(request, { memory, isOver, isWaiting: false });
  if (!hasHead) discardBody(request);
  const body = hasHead
    ? await readBody(request, {
      maxBytes: MAX_BODY_BYTES,
      memory,
      isOver,
      idleTimeoutMs: BODY_IDLE_TIMEOUT_MS,
      unfinished,
    })
    : "no_memory";
  if (body === "gone") return;
  const nowMs = () => steadyMs(context.clock);
  const { unread } = context;
  const slow: UnreadAnswer = {
    get writableLength() {
      return response.writableLength;
    },
    cutOff() {
      context.metrics.count("unread_answers", { reader: "daemon" });
      response.socket?.resetAndDestroy();
      response.destroy();
    },
  };
  const sink = new PeerSink(response, () => unread.note(slow, nowMs()));
  if (typeof body === "string") {
    closeAfter(request, response);
    return sink.failed({ kind: "unsent", reason: body, at: "forwarder" });
  }
  const message: ClientMessage = {
    method: request.method ?? "GET",
    target: request.url ?? "/",
    rawHeaders: request.rawHeaders,
    body,
  };
  const team = singleHeader(request, HEADERS.team);
  const expectedStart = singleHeader(request, FORWARD_HEADERS.expectedStart);
  const run = context.runs.open({
    requestId: brandId<RequestId>(
      singleHeader(request, HEADERS.requestId) ?? "",
    ),
    digest: digestRequest({
      method: message.method,
      target: message.target,
      team: team === undefined ? undefined : brandId<TeamId>(team),
      body,
    }),
    server: { id: brandId<BackendServerId>(id), address },
    work: parseWork(request),
    deadlineMs: receivedAtMs + timeLeftMs,
    beginByMs: beginInHeader === undefined
      ? undefined
      : receivedAtMs + Number(beginInHeader),
    expectedStartMs: expectedStart === undefined
      ? undefined
      : Number(expectedStart),
    message,
  }, sink);
  response.on("drain", () => {
    unread.forget(slow);
    run.resume();
  });
  response.once("close", () => {
    unread.forget(slow);
    run.abort();
  });
  if (request.socket.destroyed) run.abort();
}

/** Writes an answer to the daemon that the request came from. */
class PeerSink implements ForwardSink {
  readonly #response: ServerResponse;
  readonly #noteUnread: () => void;

  constructor(response: ServerResponse, noteUnread: () => void) {
    this.#response = response;
    this.#noteUnread = noteUnread;
  }

  head({ message }: AnswerHead): void {
    const { status, statusText, rawHeaders, isFramed } =
      message as ServerMessage;
    const headers = filterHeaders(rawHeaders, isForwardHeader);
    if (!isFramed) headers.push(FORWARD_HEADERS.unframed, "1");
    this.#response.writeHead(status, statusText, headers);
    this.#response.flushHeaders();
  }

  data(chunk: Buffer): boolean {
    const isRead = this.#response.write(chunk);
    if (!isRead) this.#noteUnread();
    return isRead;
  }

  end(): void {
    this.#response.end();
  }

  failed({ kind, reason, at }: AttemptFailure): void {
    if (this.#response.headersSent) {
      this.#response.socket?.resetAndDestroy();
      this.#response.destroy();
      return;
    }
    this.#response.writeHead(502, [
      "Content-Length",
      "0",
      FORWARD_HEADERS.outcome,
      kind,
      FORWARD_HEADERS.reason,
      reason.replaceAll(/[^\x20-\x7e]/g, "?"),
      ...(at === "forwarder" ? [FORWARD_HEADERS.ownFault, "1"] : []),
    ]);
    this.#response.end();
  }
}
