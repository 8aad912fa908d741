/**
 * Request handler of the callers' listener: routes requests to their handlers
 * and answers thrown errors with refusals.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { RequestListener } from "node:http";
import { createError, isEndivebendError } from "@endivebend/errors";
import { brandId, type RequestId } from "@endivebend/types";
import findMyWay from "find-my-way";
import {
  connectionOf,
  type OpenRequest,
  openRequestOf,
} from "../http/connections.ts";
import { writeJson, writeRefusal } from "../http/respond.ts";
import { authenticate } from "./authenticate.ts";
import type { CallerContext, Exchange } from "./context.ts";
import { handleModelRequest } from "./model_handler.ts";
import { handleServiceCall } from "./service_handler.ts";

const NOT_READY_RETRY_MS = 1000;
/**
 * Time that a caller may take to read its answer, on top of the request
 * timeout.
 */
const ANSWER_GRACE_MS = 10_000;

type Handler = (
  context: CallerContext,
  exchange: Exchange,
) => void | Promise<void>;

const ROUTES: readonly {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly handle: Handler;
}[] = [
  {
    method: "POST",
    path: "/v1/chat/completions",
    handle: (context, exchange) =>
      handleModelRequest(context, { exchange, shape: "chat" }),
  },
  {
    method: "POST",
    path: "/v1/completions",
    handle: (context, exchange) =>
      handleModelRequest(context, { exchange, shape: "text" }),
  },
  { method: "GET", path: "/v1/models", handle: listModels },
];

/** Health checks, which are answered also before the configuration is known. */
const PROBES: Readonly<Record<string, Handler>> = {
  "/healthz": answerHealth,
  "/readyz": answerReadiness,
};

/**
 * Throws `not_ready` without a configuration, because valid keys would be
 * refused as unknown.
 */
function requireConfiguration(context: CallerContext): void {
  if (context.configuration.isReady()) return;
  throw createError(
    "not_ready",
    "This VM has not received its configuration yet",
    {
      retryAfterMs: NOT_READY_RETRY_MS,
    },
  );
}

function listModels(context: CallerContext, exchange: Exchange): void {
  const { headers } = exchange.request;
  const { team } = authenticate(headers, context.configuration);
  const data = team.models.map((id) => ({
    id,
    object: "model",
    created: 0,
    owned_by: "endivebend",
  }));
  writeJson(exchange.response, {
    status: 200,
    body: { object: "list", data },
    headers: { "x-request-id": exchange.requestId },
  });
}

function answerHealth(_context: CallerContext, exchange: Exchange): void {
  writeJson(exchange.response, { status: 200, body: { status: "up" } });
}

function answerReadiness(context: CallerContext, exchange: Exchange): void {
  const isReady = context.isReady();
  const status = isReady ? 200 : 503;
  const body = { status: isReady ? "ready" : "not_ready" };
  writeJson(exchange.response, { status, body });
}

/**
 * Closes the connection during a drain, because a kept-alive connection would
 * carry the caller's next request to a daemon that is about to stop. Requests
 * already open on the connection are answered first; a request that arrives
 * after the last answer is not run.
 */
function closeConnectionWhenDraining(
  context: CallerContext,
  openRequest: OpenRequest,
): void {
  const { request, response } = openRequest;
  const connection = connectionOf(request.socket);
  if (context.isDraining()) {
    response.setHeader("connection", "close");
    connection.isClosing = true;
  }
  openRequest.onEnded(() => {
    if (!context.isDraining() || connection.open.size > 0) return;
    connection.isClosing = true;
    request.socket.end();
  });
}

/**
 * Destroys the connection of a caller that does not read its answer in time.
 */
function limitAnswerTime(
  context: CallerContext,
  openRequest: OpenRequest,
): void {
  const { limits, scheduler } = context;
  const maxDurationMs = limits.requestTimeoutMs + ANSWER_GRACE_MS;
  const { socket } = openRequest.request;
  const cancel = scheduler.after(maxDurationMs, () => socket.destroy());
  openRequest.onEnded(cancel);
}

function startExchange(
  context: CallerContext,
  options: {
    readonly openRequest: OpenRequest;
    readonly path: string;
    readonly isProbe: boolean;
  },
): Exchange {
  const { openRequest, path, isProbe } = options;
  const { request, response } = openRequest;
  const requestId = brandId<RequestId>(randomUUID());
  const span = context.tracing.startSpan("caller", {
    headers: request.headers,
    kind: "server",
    // The query is left out because callers may put secrets in it.
    attributes: { "request.id": requestId, "url.path": path },
  });
  const receivedAtMs = context.clock.elapsedMs();
  if (!isProbe) openRequest.onEnded(context.active.open());
  closeConnectionWhenDraining(context, openRequest);
  limitAnswerTime(context, openRequest);
  return {
    request,
    response,
    requestId,
    span,
    receivedAtMs,
    openRequest,
  };
}

async function serve(
  context: CallerContext,
  options: {
    readonly exchange: Exchange;
    readonly handle: Handler;
    readonly isProbe: boolean;
  },
): Promise<void> {
  const { exchange, handle, isProbe } = options;
  const { requestId, response } = exchange;
  try {
    if (!isProbe) requireConfiguration(context);
    await handle(context, exchange);
    exchange.span.end();
  } catch (caught) {
    const code = isEndivebendError(caught) ? caught.code : "internal";
    context.metrics.increment("requests.refused", { reason: code });
    context.explainer.record(requestId, { step: "refuse", chosen: code });
    exchange.span.end(caught);
    writeRefusal(response, { caught, requestId });
  }
}

/**
 * Creates the request handler of the callers' listener.
 *
 * @example
 * ```ts
 * const handle = createCallerHandler(context);
 * await openListener(settings.listen.callers, { limits, handle });
 * ```
 */
export function createCallerHandler(context: CallerContext): RequestListener {
  const router = findMyWay({ ignoreTrailingSlash: false });
  for (const { method, path, handle } of ROUTES) {
    // The handler is kept in the route's store; find-my-way only looks it up.
    router.on(method, path, () => {}, handle);
  }
  return (request, response) => {
    context.metrics.increment("requests");
    const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
    const method = request.method as "GET";
    const found = router.find(method, path)?.store as Handler | undefined;
    const isProbe = Object.hasOwn(PROBES, path);
    const probe = isProbe ? PROBES[path] : undefined;
    const handle = probe ?? found ?? handleServiceCall;
    const openRequest = openRequestOf(request, response);
    const exchange = startExchange(context, {
      openRequest,
      path,
      isProbe,
    });
    void serve(context, { exchange, handle, isProbe });
  };
}
