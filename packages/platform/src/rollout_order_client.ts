/**
 * Reads engines' reports and sends them orders to load weights.
 *
 * @module
 */

import { Agent } from "node:http";
import type { MemoryBudget } from "@endivebend/byte-buffers";
import type {
  EngineReport,
  OrderAnswer,
  RolloutEngine,
  RolloutOrderClient,
} from "@endivebend/orders";
import { brandId, type ModelName } from "@endivebend/types";
import {
  callEngine,
  type EngineAnswer,
  type EngineCall,
} from "./engine_call.ts";
import { PATHS } from "./wire_names.ts";

/** Engines answer reports and orders at once, without waiting for a slot. */
const CALL_TIMEOUT_MS = 700;

const ORDER_ANSWER_BY_STATUS: Readonly<Record<number, OrderAnswer>> = {
  200: "already_holds",
  202: "accepted",
  409: "conflict",
  412: "fenced",
  421: "misdirected",
};

/**
 * Creates the client that the weights rollout uses; answers take their memory
 * from the budget.
 */
export function createRolloutOrderClient(
  memory: MemoryBudget,
): RolloutOrderClient {
  const agent = new Agent({ keepAlive: true, timeout: 4_000 });
  // Answers to calls have no id. A late copy of a report would be taken for the
  // answer to an order on the same connection.
  const orderAgent = new Agent({ keepAlive: false });
  return {
    async report(engine) {
      const answer = await call(agent, engine, {
        memory,
        method: "GET",
        path: PATHS.report,
      });
      return answer?.status === 200 ? parseReport(answer.body) : undefined;
    },
    async order(engine, order) {
      const body = JSON.stringify({
        op: "version",
        model: order.model,
        version: order.weights,
        // The engine finishes its running requests and refuses those that wait
        // as not run.
        mode: "wait",
        holder: order.holder,
        fence: order.epoch,
        expect: order.acceptedOrders,
      });
      const answer = await call(orderAgent, engine, {
        memory,
        method: "POST",
        path: PATHS.order,
        body,
        maySend: order.maySend,
      });
      if (answer === undefined) return "unknown";
      return ORDER_ANSWER_BY_STATUS[answer.status] ?? "refused";
    },
  };
}

function parseReport(body: string): EngineReport | undefined {
  try {
    const fields = JSON.parse(body) as {
      readonly models?: readonly { name: string; version: number }[];
      readonly busy?: boolean;
      readonly seq?: number;
      readonly born?: unknown;
    };
    const weights = new Map<ModelName, number>();
    for (const { name, version } of fields.models ?? []) {
      weights.set(brandId<ModelName>(name), version);
    }
    return {
      weights,
      isBusy: fields.busy === true,
      // `seq` on the wire is the number of accepted orders.
      acceptedOrders: Number(fields.seq ?? 0),
      startedAtMs: Number.isSafeInteger(fields.born)
        ? fields.born as number
        : undefined,
    };
  } catch {
    return undefined;
  }
}

function call(
  agent: Agent,
  engine: Pick<RolloutEngine, "id" | "address">,
  message: Pick<EngineCall, "method" | "path" | "body" | "memory" | "maySend">,
): Promise<EngineAnswer | undefined> {
  const { body } = message;
  return callEngine(agent, {
    ...message,
    address: engine.address,
    headers: {
      "expect-instance": engine.id,
      ...(body === undefined ? {} : {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      }),
    },
    timeoutMs: CALL_TIMEOUT_MS,
  });
}
