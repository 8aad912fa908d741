/**
 * Orders to engines.
 *
 * @module
 */

import { OrdersState } from "@endivebend/orders";
import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import { engineId, entryVmId, incarnationAt, WEIGHTS } from "../samples.ts";

const ORDERS = [3_000, 6_000, 12_000];

/** An order for each engine, issued and finished. */
function logOf(orders: number): LogRecord[] {
  return Array.from({ length: orders }, (_, index) => {
    const vmId = entryVmId(index % 410);
    const writer = { vmId, incarnation: incarnationAt(index % 410) };
    const orderId = `${vmId}/${writer.incarnation}/order/${index}`;
    const common = { ...writer, engineId: engineId(index) };
    const issued = {
      ...common,
      kind: "order_issued",
      recordId: orderId,
      orderKind: "load_model",
      model: "model-3",
      weightsVersion: WEIGHTS,
      leaseMs: 5_000,
    };
    const recordId = `${orderId}/finished`;
    return [issued, { ...common, kind: "order_finished", recordId, orderId }];
  }).flat().map((value, offset) => ({
    offset: brandId<LogOffset>(offset),
    appendedAtMs: 1_796_000_000_000 + offset,
    value,
  }));
}

function foldAll(records: readonly LogRecord[]): OrdersState {
  const state = new OrdersState();
  for (const record of records) state.apply(record, 1_000);
  return state;
}

/** The series of this module. */
export const orderSeries: readonly Series[] = [
  sizeSeries({
    name: "orders.order_bytes",
    per: "order (issued and finished)",
    sizes: [1, 10, 100],
    encode: (size) => JSON.stringify(logOf(size)),
  }),
  timeSeries({
    name: "orders.fold_us",
    per: "order (issued and finished)",
    sizes: ORDERS,
    prepare: (size) => {
      const records = logOf(size);
      return () => foldAll(records);
    },
  }),
  heapSeries({
    name: "orders.engine_bytes",
    per: "engine with an order",
    sizes: ORDERS,
    make: (size) => foldAll(JSON.parse(JSON.stringify(logOf(size)))),
  }),
];
