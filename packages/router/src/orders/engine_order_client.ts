/**
 * Sends orders to engines over HTTP and fetches the engines' state.
 *
 * @module
 */

import type { EngineOrderState, OrderKind } from "@endivebend/orders";
import { Agent, request } from "undici";

const CONNECT_TIMEOUT_MS = 1000;
const READ_TIMEOUT_MS = 2000;
const MAX_ANSWER_BYTES = 1 << 20;

/** Request body of an order. */
export interface OrderBody {
  readonly kind: OrderKind;
  readonly model: string;
  readonly weightsVersion: string;
  readonly fence: number;
}

/** Result of sending an order. */
export type SendAnswer =
  | { readonly kind: "accepted" }
  /** The engine has accepted a newer fencing token. */
  | { readonly kind: "stale" }
  | { readonly kind: "rejected"; readonly reason: string }
  /** No answer; the engine may have accepted the order. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Access of the orders task to engines. */
export interface EngineOrderClient {
  send(
    address: string,
    order: OrderBody,
    options: { readonly timeoutMs: number },
  ): Promise<SendAnswer>;
  /** Fetches the engine's state; undefined when it does not answer. */
  fetchState(
    address: string,
    model: string,
  ): Promise<EngineOrderState | undefined>;
}

/** HTTP client for orders, without retries. */
export class HttpEngineOrderClient implements EngineOrderClient {
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_ANSWER_BYTES,
  });

  async send(
    address: string,
    order: OrderBody,
    options: { readonly timeoutMs: number },
  ): Promise<SendAnswer> {
    try {
      const answer = await request(`http://${address}/v1/orders`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(order),
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(Math.max(1, Math.floor(options.timeoutMs))),
      });
      const text = await answer.body.text();
      return parseSendAnswer(answer.statusCode, text);
    } catch (caught) {
      return { kind: "unknown", reason: String(caught) };
    }
  }

  async fetchState(
    address: string,
    model: string,
  ): Promise<EngineOrderState | undefined> {
    try {
      const [orders, models] = await Promise.all([
        this.#get(`http://${address}/v1/orders`),
        this.#get(`http://${address}/v1/models`),
      ]);
      return {
        lastFence: parseLastFence(orders),
        weightsVersion: parseWeightsVersion(models, model),
      };
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #get(url: string): Promise<unknown> {
    const answer = await request(url, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    if (answer.statusCode === 200) return await answer.body.json();
    await answer.body.dump();
    throw new Error(`${url} answered ${answer.statusCode}`);
  }
}

function parseSendAnswer(status: number, text: string): SendAnswer {
  if (status >= 200 && status < 300) return { kind: "accepted" };
  if (status === 409) return { kind: "stale" };
  const reason = `The engine answered ${status}: ${text.slice(0, 200)}`;
  return { kind: status < 500 ? "rejected" : "unknown", reason };
}

type Json = Readonly<Record<string, unknown>>;

/** Parses `{"last": order}` of `GET /v1/orders`; null before any order. */
function parseLastFence(orders: unknown): number | undefined {
  const { last } = orders as { readonly last?: Json | null };
  const fence = last?.["fence"];
  return typeof fence === "number" ? fence : undefined;
}

function parseWeightsVersion(
  models: unknown,
  model: string,
): string | undefined {
  const { data } = models as { readonly data?: readonly Json[] };
  const found = data?.find((entry) => entry["id"] === model);
  const version = found?.["weights_version"];
  return typeof version === "string" ? version : undefined;
}
