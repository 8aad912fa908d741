/**
 * The records of the `orders` stream.
 *
 * @module
 */

import { z } from "zod";

const nonEmptyString = z.string().min(1);

const writerFields = { vmId: nonEmptyString, incarnation: nonEmptyString };

const issuedSchema = z.object({
  ...writerFields,
  kind: z.literal("order_issued"),
  /** Unique id of the order; of several copies the lowest offset counts. */
  recordId: nonEmptyString,
  engineId: nonEmptyString,
  orderKind: z.enum(["load_model", "load_adapter", "change_role"]),
  model: z.string(),
  weightsVersion: z.string(),
  /**
   * Time in which the writer may send the order, on its own clock, counted from
   * before its append.
   */
  leaseMs: z.number().positive(),
  /**
   * The open order that this one replaces. The record is refused when that
   * order is not the engine's newest.
   */
  takesOver: nonEmptyString.optional(),
});

const endedFields = {
  ...writerFields,
  recordId: nonEmptyString,
  engineId: nonEmptyString,
  /** `recordId` of the order. */
  orderId: nonEmptyString,
};

/** Any record of the `orders` stream. */
export const orderRecordSchema = z.discriminatedUnion("kind", [
  issuedSchema,
  z.object({ ...endedFields, kind: z.literal("order_finished") }),
  z.object({
    ...endedFields,
    kind: z.literal("order_abandoned"),
    reason: z.string(),
  }),
]);

/** A record of the `orders` stream. */
export type OrderRecord = z.infer<typeof orderRecordSchema>;
/** An `order_issued` record. */
export type OrderIssued = z.infer<typeof issuedSchema>;
/** A record that ends an order. */
export type OrderEnded = Exclude<OrderRecord, OrderIssued>;
/** Operation that an order asks of an engine. */
export type OrderKind = OrderIssued["orderKind"];

/** Whether an engine reads from the weight store to carry out the order. */
export function readsWeightStore(kind: OrderKind): boolean {
  return kind !== "change_role";
}
