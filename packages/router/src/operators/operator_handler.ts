/**
 * The HTTP API for operators.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import findMyWay, { type HTTPMethod } from "find-my-way";
import { createError, isEndivebendError } from "@endivebend/errors";
import type { PeerClients } from "@endivebend/peers";
import { brandId, type RequestId } from "@endivebend/types";
import { parseJsonObject, readBody } from "../http/body.ts";
import { openRequestOf } from "../http/connections.ts";
import { writeJson, writeRefusal } from "../http/respond.ts";
import type { Explainer } from "../ports.ts";
import {
  ChangeHandler,
  type ChangeHandlerOptions,
  type OperatorAnswer,
} from "./change_handler.ts";
import { drainVm } from "./drain.ts";
import { explainRequest } from "./explain_fleet.ts";
import { authenticateOperator, type OperatorKey } from "./operator_auth.ts";
import {
  issueOrder,
  type OrderHandlerOptions,
  readEngines,
  readOrders,
} from "./order_handlers.ts";
import {
  type Query,
  readKeys,
  readTeam,
  readTeams,
  readTemplate,
  readTemplates,
  readVms,
} from "./read_handlers.ts";
import { readStatus, type StatusOptions } from "./status.ts";

/**
 * Enough for the largest change, which contains one template of bounded size.
 */
const MAX_CHANGE_BYTES = 262_144;

/** Dependencies of {@link createOperatorHandler}. */
export interface OperatorHandlerOptions
  extends ChangeHandlerOptions, OrderHandlerOptions, StatusOptions {
  readonly keys: readonly OperatorKey[];
  readonly explainer: Explainer;
  readonly peers: PeerClients;
  /** Starts the drain of this VM when the log is unavailable. */
  readonly drainSelf: () => void;
  /** Delays a drain until the returned function is called. */
  readonly holdDrain?: () => () => void;
}

interface OperatorCall {
  readonly request: IncomingMessage;
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly query: Query;
  readonly operator: string;
}

type Handler = (call: OperatorCall) => OperatorAnswer | Promise<OperatorAnswer>;
type Routes = Readonly<Record<string, Handler>>;

function okAnswer(body: unknown): OperatorAnswer {
  return { status: 200, body };
}

async function readJson(request: IncomingMessage) {
  const body = await readBody(request, { maxBytes: MAX_CHANGE_BYTES });
  return parseJsonObject(body);
}

function createRoutes(options: OperatorHandlerOptions): Routes {
  const { configuration, membership } = options;
  const state = configuration.state();
  const changes = new ChangeHandler(options);
  return {
    "POST /operator/v1/changes": async ({ request, operator }) =>
      changes.propose(await readJson(request), operator),
    "GET /operator/v1/changes/:id": ({ params }) =>
      changes.verdict(params.id ?? ""),
    "POST /operator/v1/drain": async ({ request, operator }) =>
      drainVm(await readJson(request), { ...options, changes, operator }),
    "GET /operator/v1/engines": () => okAnswer(readEngines(options)),
    "GET /operator/v1/orders": () => okAnswer(readOrders(options)),
    "POST /operator/v1/orders": async ({ request, operator }) =>
      issueOrder(await readJson(request), { ...options, operator }),
    "GET /operator/v1/templates": () => okAnswer(readTemplates(state)),
    "GET /operator/v1/templates/:name": ({ params }) =>
      okAnswer(readTemplate(state, params.name ?? "")),
    "GET /operator/v1/teams": ({ query }) => okAnswer(readTeams(state, query)),
    "GET /operator/v1/teams/:name": ({ params }) =>
      okAnswer(readTeam(state, params.name ?? "")),
    "GET /operator/v1/keys": ({ query }) => okAnswer(readKeys(state, query)),
    "GET /operator/v1/vms": () => okAnswer(readVms(state, membership)),
    "GET /operator/v1/status": () => okAnswer(readStatus(options)),
    "GET /operator/v1/explain/:id": async ({ params }) => {
      const requestId = brandId<RequestId>(params.id ?? "");
      const { vmId } = options.identity;
      return okAnswer(await explainRequest(requestId, { ...options, vmId }));
    },
  };
}

function refuseUnknownPath(): never {
  throw createError(
    "unknown_route",
    "The operators' API has no such method and path",
    {
      remedy:
        "Use the endivebend command, or a path listed in docs/operators.md",
    },
  );
}

/**
 * Creates the request handler of the operators' listener.
 *
 * @example
 * ```ts
 * const handle = createOperatorHandler({ keys: settings.operators.keys, ...tasks });
 * const listener = await openListener(settings.listen.operators, { limits, handle });
 * ```
 */
export function createOperatorHandler(
  options: OperatorHandlerOptions,
): RequestListener {
  const router = findMyWay();
  for (const [routeKey, handle] of Object.entries(createRoutes(options))) {
    const [method, path] = routeKey.split(" ") as [HTTPMethod, string];
    router.on(method, path, () => {}, handle);
  }

  async function answer(request: IncomingMessage): Promise<OperatorAnswer> {
    const operator = authenticateOperator(request, options.keys);
    const method = request.method as HTTPMethod;
    const route = router.find(method, request.url ?? "/");
    if (route === null) return refuseUnknownPath();
    const handle = route.store as Handler;
    const query = route.searchParams as Query;
    return await handle({ request, params: route.params, query, operator });
  }

  async function respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = brandId<RequestId>(`op-${randomUUID()}`);
    const openRequest = openRequestOf(request, response);
    if (options.holdDrain !== undefined) {
      openRequest.onEnded(options.holdDrain());
    }
    try {
      const { status, body } = await answer(request);
      const headers = { "x-request-id": requestId };
      writeJson(response, { status, body, headers });
    } catch (caught) {
      const reason = isEndivebendError(caught) ? caught.code : "internal";
      options.metrics.increment("operators.refused", { reason });
      writeRefusal(response, { caught, requestId });
    }
  }

  return (request, response) => void respond(request, response);
}
