/**
 * Serves calls of plain services under the routes that templates name.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import { findRoute } from "@endivebend/configuration";
import { fail, isEndivebendError } from "@endivebend/errors";
import type {
  RouteRule,
  ServiceAnswer,
  ServiceCall,
  TeamView,
} from "../ports.ts";
import { readBody } from "../http/body.ts";
import { writeRefusal } from "../http/respond.ts";
import type { ActiveRequest } from "./active_requests.ts";
import { authenticate, type Caller, checkDigest } from "./authenticate.ts";
import { chargeRequest } from "./charge.ts";
import type { CallerContext, Exchange } from "./context.ts";

const MAX_REPEATED_DISPATCHES = 3;
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
  if (methods.length === 0) {
    throw fail("unknown_route", `No route of the team covers ${call.path}`);
  }
  const message = `${call.method} is not offered on ${call.path}`;
  const remedy = `Use one of ${methods.join(", ")}`;
  throw fail("method_not_allowed", message, { remedy });
}

function flattenHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flat;
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
  const message = `The team may not reach the service ${route.service}`;
  throw fail("not_permitted", message);
}

/** Handles one call of a plain service. */
export async function handleServiceCall(
  context: CallerContext,
  exchange: Exchange,
): Promise<void> {
  const path = exchange.request.url ?? "/";
  const { route, caller } = resolveRoute(context, { exchange, path });
  const body = await readBody(exchange.request, {
    maxBytes: context.limits.maxBodyBytes,
  });
  const headers = await charge(context, { exchange, route, caller });
  if (headers === undefined) return;
  if (caller !== undefined) checkDigest(caller.digest, context.configuration);
  const flat = flattenHeaders(exchange.request.headers);
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
      headers: { ...flat, ...exchange.hop.headers },
      body,
      idempotencyKey: flat["idempotency-key"],
      deadlineElapsedMs: exchange.receivedAtMs +
        context.limits.requestTimeoutMs,
    },
  });
}

async function charge(
  context: CallerContext,
  options: ResolvedRoute & { readonly exchange: Exchange },
): Promise<Readonly<Record<string, string>> | undefined> {
  const { exchange, route, caller } = options;
  if (caller === undefined) return {};
  const { headers, refusal } = await chargeRequest(context, {
    team: caller.team.team,
    costTokens: route.costTokens,
    requestId: exchange.requestId,
    deadlineElapsedMs: exchange.receivedAtMs + context.limits.queueWaitMs,
  });
  if (refusal === undefined) return headers;
  const { response, requestId } = exchange;
  context.metrics.increment("requests.refused", { reason: "charge" });
  writeRefusal(response, { caught: refusal, requestId, headers });
  return undefined;
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
      // The call may be running, so nothing may be said about that but this.
      const caught = isEndivebendError(error)
        ? fail(error.code, error.message, { ran: "unknown" })
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
  const isRepeatable = call.route.repeatable || call.route.open;
  if (!isRepeatable) return context.commitments.run(call);
  return dispatchRepeatable(context, call);
}

/** A repeatable call may be sent again after any failure of a connection. */
async function dispatchRepeatable(
  context: CallerContext,
  call: ServiceCall,
): Promise<ServiceAnswer> {
  let lastFailure: unknown;
  for (let count = 0; count < MAX_REPEATED_DISPATCHES; count++) {
    const leftMs = call.deadlineElapsedMs - context.clock.elapsedMs();
    if (leftMs <= 0) break;
    try {
      return await context.dispatcher.dispatchOnce(call);
    } catch (caught) {
      lastFailure = caught;
      context.metrics.increment("services.repeated");
    }
  }
  throw lastFailure;
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
