/**
 * Orders to an engine: fencing and the models that it serves.
 *
 * @module
 */

import { HttpFailure } from "../http_messages.ts";

const ORDER_KINDS = ["load_model", "load_adapter", "change_role"] as const;

/** An order as the engine accepted it. */
export interface EngineOrder {
  readonly kind: (typeof ORDER_KINDS)[number];
  readonly model: string;
  readonly weightsVersion: string;
  readonly fence: number;
}

/** Reads and checks the body of an order. */
export function parseOrder(
  body: Readonly<Record<string, unknown>>,
): EngineOrder {
  const kind = ORDER_KINDS.find((known) => known === body.kind);
  if (kind === undefined || !Number.isSafeInteger(body.fence)) {
    throw new HttpFailure(400, "Send kind and a whole number as fence");
  }
  return {
    kind,
    model: String(body.model ?? ""),
    weightsVersion: String(body.weightsVersion ?? ""),
    fence: Number(body.fence),
  };
}

/** The orders that one incarnation accepted. */
export class OrderBook {
  readonly #checksFence: () => boolean;
  readonly #accepted: EngineOrder[] = [];

  constructor(checksFence: () => boolean) {
    this.#checksFence = checksFence;
  }

  get last(): EngineOrder | undefined {
    return this.#accepted.at(-1);
  }

  all(): readonly EngineOrder[] {
    return this.#accepted;
  }

  /** Accepts an order, or throws a 409 for a stale fencing token. */
  accept(order: EngineOrder): void {
    const lastFence = this.last?.fence ?? -1;
    if (this.#checksFence() && order.fence < lastFence) {
      throw new HttpFailure(409, "Fencing token is stale", { lastFence });
    }
    this.#accepted.push(order);
  }
}
