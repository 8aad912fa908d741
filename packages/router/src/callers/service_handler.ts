/**
 * Serves calls to services, on the routes that templates define.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import { findRoute } from "@endivebend/configuration";
import { createError, isEndivebendError } from "@endivebend/errors";
import type {
  RouteRule,
  ServiceAnswer,
  ServiceCall,
  TeamView,
} from "../ports.ts";
import { readBody } from "../http/body.ts";
import { writeRefusal } from "../http/respond.ts";
import { dispatchWithRetry } from "../services/retry.ts";
import type { ActiveRequest } from "./active_requests.ts";
import { authenticate, bearerKey, type Caller } from "./authenticate.ts";
import { chargeCaller } from "./charge_caller.ts";
import type { CallerContext, Exchange } from "./context.ts";

const ROUTE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

function requireRoute(
  team: TeamView,
  call: { readonly method: string; readonly path: string },
): RouteRule {
  const route = findRoute(team.routes, call);
  if (route !== undefined) return route;
  const methods = ROUTE_METHODS.filter((method) =>
    findRoute(team.routes, { ...call, method }) !== undefined
  );
  // Messages are exported in trace spans, and queries may contain secrets.
  const [path] = call.path.split("?", 1);
  if (methods.length === 0) {
    throw createError("unknown_route", `No route of the team matches ${path}`);
  }
  const message = `The method ${call.method} is not allowed on ${path}`;
  const remedy = `Use one of ${methods.join(", ")}`;
  throw createError("method_not_allowed", message, { remedy });
}

/**
 * Prefix of headers that only the router may set. A caller that set them could
 * impersonate a team.
 */
const RESERVED_HEADER_PREFIX = "x-endivebend-";

function flattenHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name.startsWith(RESERVED_HEADER_PREFIX)) {
      continue;
    }
    flat[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flat;
}

/**
 * Removes headers that contain the caller's key, so that no backend server
 * receives it. Throws `malformed_request` when the path contains the key.
 */
function removeKeyCopies(
  headers: Record<string, string>,
  options: { readonly key: string; readonly path: string },
): Record<string, string> {
  const { key, path } = options;
  if (path.includes(key)) {
    const message = "The path or its query contains the key";
    const remedy = "Send the key only in the Authorization header";
    throw createError("malformed_request", message, { field: "path", remedy });
  }
  const entries = Object.entries(headers);
  return Object.fromEntries(
    entries.filter(([, value]) => !value.includes(key)),
  );
}

interface ResolvedRoute {
  readonly route: RouteRule;
  readonly caller: Caller | undefined;
}

function resolveRoute(
  context: CallerContext,
  options: { readonly exchange: Exchange; readonly path: string },
): ResolvedRoute {
  const { exchange, path } = options;
  const method = exchange.request.method ?? "GET";
  const open = context.configuration.openRoute(method, path);
  if (open !== undefined) return { route: open, caller: undefined };
  const { headers } = exchange.request;
  const caller = authenticate(headers, context.configuration);
  const route = requireRoute(caller.team, { method, path });
  if (caller.team.services.includes(route.service)) return { route, caller };
  const message = `The team has no access to the service ${route.service}`;
  throw createError("not_permitted", message);
}

function forwardedHeaders(exchange: Exchange, path: string) {
  const { headers } = exchange.request;
  const flat = flattenHeaders(headers);
  const key = bearerKey(headers);
  return key === undefined ? flat : removeKeyCopies(flat, { key, path });
}

/**
 * Handles one service call; resolves when it has been answered. Throws typed
 * errors for calls that are refused before they run.
 */
export async function handleServiceCall(
  context: CallerContext,
  exchange: Exchange,
): Promise<void> {
  const path = exchange.request.url ?? "/";
  const { route, caller } = resolveRoute(context, { exchange, path });
  const forwarded = forwardedHeaders(exchange, path);
  const body = await readBody(exchange.request, {
    maxBytes: context.limits.maxBodyBytes,
  });
  const { costTokens } = route;
  const headers = caller === undefined
    ? {}
    : await chargeCaller(context, { exchange, caller, costTokens });
  if (headers === undefined) return;
  await answerCall(context, {
    exchange,
    caller,
    headers,
    call: {
      requestId: exchange.requestId,
      team: caller?.team.team,
      route,
      method: exchange.request.method ?? "GET",
      path,
      headers: { ...forwarded, ...exchange.span.headers },
      body,
      idempotencyKey: forwarded["idempotency-key"],
      deadlineElapsedMs: exchange.receivedAtMs +
        context.limits.requestTimeoutMs,
    },
  });
}

async function answerCall(
  context: CallerContext,
  options: {
    readonly exchange: Exchange;
    readonly caller: Caller | undefined;
    readonly headers: Readonly<Record<string, string>>;
    readonly call: ServiceCall;
  },
): Promise<void> {
  const { exchange, caller, headers, call } = options;
  const { response, requestId } = exchange;
  let isAnswered = false;
  const answerOnce = (write: () => void) => {
    if (isAnswered) return;
    isAnswered = true;
    write();
  };
  const active: ActiveRequest = {
    digest: caller?.digest,
    stop(error) {
      // The call may already be running at a server.
      const caught = isEndivebendError(error)
        ? createError(error.code, error.message, { ran: "unknown" })
        : error;
      answerOnce(() => writeRefusal(response, { caught, requestId, headers }));
    },
  };
  context.active.add(active);
  try {
    const answer = await runCall(context, call);
    answerOnce(() => writeAnswer(exchange, { answer, headers }));
  } catch (caught) {
    answerOnce(() => writeRefusal(response, { caught, requestId, headers }));
  } finally {
    context.active.remove(active);
  }
}

function runCall(
  context: CallerContext,
  call: ServiceCall,
): Promise<ServiceAnswer> {
  const { open, repeatable } = call.route;
  const { retryBudget: retries } = context.runContext;
  if (repeatable) {
    return dispatchWithRetry(call, { ...context, retryBudget: retries });
  }
  // Idempotency keys are recorded per team, and an open route has no team. The
  // call is sent at most once.
  if (open) return context.dispatcher.dispatchOnce(call);
  return context.commitments.run(call);
}

function writeAnswer(
  exchange: Exchange,
  options: {
    readonly answer: ServiceAnswer;
    readonly headers: Readonly<Record<string, string>>;
  },
): void {
  const { response, requestId } = exchange;
  const { answer, headers } = options;
  response.writeHead(answer.status, {
    ...answer.headers,
    ...headers,
    "x-request-id": requestId,
    "content-length": answer.body.length,
  });
  response.end(answer.body);
}
