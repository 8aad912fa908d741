/**
 * Reports of engines and orders to them.
 *
 * @module
 */

import { Agent, request } from "node:http";
import type {
  EngineOrders,
  EngineReport,
  OrderAnswer,
  OrderedEngine,
} from "@endivebend/orders";
import { brandId, type ModelName } from "@endivebend/types";
import { PATHS } from "./wire_names.ts";

/** Reports and orders need no slot and are answered at once. */
const CALL_TIMEOUT_MS = 700;

const ANSWERS: Readonly<Record<number, OrderAnswer>> = {
  200: "already_holds",
  202: "accepted",
  409: "conflict",
  412: "fenced",
  421: "misdirected",
};

/** Makes the client. */
export function createEngineOrders(): EngineOrders {
  const agent = new Agent({ keepAlive: true, timeout: 4_000 });
  return {
    async report(engine) {
      const answer = await call(agent, engine, {
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
        // Running requests end first; those that wait are refused unrun.
        mode: "wait",
        holder: order.holder,
        fence: order.epoch,
        expect: order.acceptedOrders,
      });
      const answer = await call(agent, engine, {
        method: "POST",
        path: PATHS.order,
        body,
      });
      if (answer === undefined) return "unknown";
      return ANSWERS[answer.status] ?? "refused";
    },
  };
}

function parseReport(body: string): EngineReport | undefined {
  try {
    const fields = JSON.parse(body) as {
      readonly models?: readonly { name: string; version: number }[];
      readonly busy?: boolean;
      readonly seq?: number;
    };
    const weights = new Map<ModelName, number>();
    for (const { name, version } of fields.models ?? []) {
      weights.set(brandId<ModelName>(name), version);
    }
    return {
      weights,
      isBusy: fields.busy === true,
      // The wire's name says a sequence; it counts accepted orders.
      acceptedOrders: Number(fields.seq ?? 0),
    };
  } catch {
    return undefined;
  }
}

function call(
  agent: Agent,
  engine: OrderedEngine,
  message: {
    readonly method: string;
    readonly path: string;
    readonly body?: string;
  },
): Promise<{ readonly status: number; readonly body: string } | undefined> {
  return new Promise((resolve) => {
    const [host, port] = engine.address.split(":");
    const { method, path, body } = message;
    const outgoing = request({
      agent,
      host,
      port,
      method,
      path,
      headers: {
        "expect-instance": engine.id,
        ...(body === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        }),
      },
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk: Buffer) => chunks.push(chunk));
      answer.on("error", () => settle(undefined));
      answer.on("end", () =>
        settle({
          status: answer.statusCode ?? 0,
          body: Buffer.concat(chunks).toString("utf8"),
        }));
    });
    const timer = setTimeout(() => {
      settle(undefined);
      outgoing.destroy();
    }, CALL_TIMEOUT_MS);
    const settle = (
      result: { readonly status: number; readonly body: string } | undefined,
    ) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on("error", () => settle(undefined));
    outgoing.end(body);
  });
}
