/**
 * Handles operators' requests on engines and the orders to them.
 *
 * @module
 */

import { createError } from "@endivebend/errors";
import type { OrderKind } from "@endivebend/orders";
import { type BackendServerId, brandId } from "@endivebend/types";
import type { OrderRequest, OrderResult } from "../orders/order_run.ts";
import type { OrdersTask } from "../orders/orders_task.ts";
import type { BackendServerView, Clock, Logger } from "../ports.ts";
import type { OperatorAnswer } from "./change_handler.ts";

const DEFAULT_WAIT_MS = 30_000;
const MAX_WAIT_MS = 600_000;
const MAX_NAME_CHARS = 256;
const ORDER_KINDS: readonly OrderKind[] = [
  "load_model",
  "load_adapter",
  "change_role",
];

type JsonObject = Readonly<Record<string, unknown>>;

/** Dependencies of the order handlers. */
export interface OrderHandlerOptions {
  readonly orders: Pick<OrdersTask, "issue" | "openOrders">;
  /** All known engines, including those that are leaving. */
  readonly engines: () => readonly BackendServerView[];
  readonly clock: Clock;
  readonly logger: Logger;
}

function invalidField(field: string, message: string, remedy: string) {
  return createError("invalid_change", message, { field, remedy });
}

function readName(body: JsonObject, field: string): string {
  const value = body[field];
  const isName = typeof value === "string" && value !== "" &&
    value.length <= MAX_NAME_CHARS;
  if (isName) return value;
  const remedy =
    `Set ${field} to a string of 1 to ${MAX_NAME_CHARS} characters`;
  throw invalidField(field, `The field ${field} is invalid`, remedy);
}

function readKind(body: JsonObject): OrderKind {
  const kind = ORDER_KINDS.find((known) => known === body["kind"]);
  if (kind !== undefined) return kind;
  const remedy = `Use one of ${ORDER_KINDS.join(", ")}`;
  throw invalidField("kind", "The kind of the order is unknown", remedy);
}

function readWaitMs(body: JsonObject): number {
  const { waitMs = DEFAULT_WAIT_MS } = body;
  const isValid = Number.isSafeInteger(waitMs) && (waitMs as number) >= 1 &&
    (waitMs as number) <= MAX_WAIT_MS;
  if (isValid) return waitMs as number;
  const remedy = `Use a whole number of milliseconds from 1 to ${MAX_WAIT_MS}`;
  throw invalidField("waitMs", "The field waitMs is invalid", remedy);
}

function readEngineId(
  body: JsonObject,
  options: OrderHandlerOptions,
): BackendServerId {
  const engineId = brandId<BackendServerId>(readName(body, "engineId"));
  if (options.engines().some(({ id }) => id === engineId)) return engineId;
  const message = `No engine is named ${engineId}`;
  throw invalidField(
    "engineId",
    message,
    "Use an engine that endivebend engine list shows",
  );
}

function formatResult(
  order: OrderRequest,
  result: OrderResult,
): OperatorAnswer {
  const { engineId } = order;
  switch (result.kind) {
    case "finished": {
      const { fence } = result;
      const body = { verdict: "accepted", result: "finished", engineId, fence };
      return { status: 200, body };
    }
    case "superseded": {
      const body = {
        verdict: "refused",
        result: "superseded",
        engineId,
        message: "A newer order for the engine has replaced this one",
        remedy: "Check endivebend engine list before you issue another order",
      };
      return { status: 409, body };
    }
    case "abandoned": {
      const body = {
        verdict: "unknown",
        result: "abandoned",
        engineId,
        message: result.reason,
        remedy:
          "Check the engine's weights in endivebend engine list; a new order replaces this one",
      };
      return { status: 202, body };
    }
  }
}

/**
 * Issues one order and answers when it has ended, at the latest after `waitMs`.
 * The order continues when the operator disconnects. Throws `invalid_change`
 * for an invalid body.
 */
export async function issueOrder(
  body: JsonObject,
  options: OrderHandlerOptions & { readonly operator: string },
): Promise<OperatorAnswer> {
  const { clock, logger, operator, orders } = options;
  const order = {
    engineId: readEngineId(body, options),
    kind: readKind(body),
    model: readName(body, "model"),
    weightsVersion: readName(body, "weightsVersion"),
  };
  const deadlineElapsedMs = clock.elapsedMs() + readWaitMs(body);
  logger.info({ operator, ...order }, "Order issued");
  const result = await orders.issue(order, { deadlineElapsedMs });
  return formatResult(order, result);
}

/** Lists each engine's newest order, if it has not ended. */
export function readOrders(options: OrderHandlerOptions) {
  return { orders: options.orders.openOrders() };
}

/** Lists the engines with their weights version and open order. */
export function readEngines(options: OrderHandlerOptions) {
  const open = new Map(
    options.orders.openOrders().map((order) => [order.engineId, order]),
  );
  const engines = options.engines().map((engine) => {
    const { id: engineId, entry, weightsVersion, takesNewWork } = engine;
    const { address, failureDomain, service, state } = entry;
    const order = open.get(engineId);
    return {
      engineId,
      service,
      failureDomain,
      address,
      state,
      takesNewWork,
      weightsVersion: weightsVersion ?? null,
      openOrder: order === undefined ? null : {
        kind: order.orderKind,
        model: order.model,
        weightsVersion: order.weightsVersion,
        fence: order.fence,
        issuedAtMs: order.issuedAtMs,
      },
    };
  });
  return { engines };
}
