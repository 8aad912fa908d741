/**
 * The records of the `commitments` stream.
 *
 * @module
 */

import { z } from "zod";

const digest = z.string().regex(/^[0-9a-f]{64}$/);

const keyRecordFields = {
  /** Unique id of the record; of several copies the lowest offset counts. */
  recordId: z.string().min(1),
  keyDigest: digest,
  bodyDigest: digest,
  vmId: z.string().min(1),
  incarnation: z.string().min(1),
};

/** How a dispatched call ended. */
export const outcomeSchema = z.discriminatedUnion("result", [
  z.object({
    result: z.literal("answered"),
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
  }),
  z.object({ result: z.literal("answer_not_kept"), status: z.number().int() }),
  z.object({ result: z.literal("unknown") }),
]);

const intentSchema = z.object({
  ...keyRecordFields,
  kind: z.literal("intent"),
  team: z.string(),
  route: z.string(),
  attempt: z.number().int().min(1),
});

const intentResultFields = { ...keyRecordFields, intentId: z.string().min(1) };

/** State of one key. */
export const entrySchema = z.object({
  keyDigest: digest,
  status: z.enum(["open", "free", "settled"]),
  bodyDigest: digest,
  intentId: z.string(),
  vmId: z.string(),
  incarnation: z.string(),
  atMs: z.number(),
  attempts: z.number().int(),
  deadIntentIds: z.array(z.string()).readonly(),
  outcome: outcomeSchema.optional(),
});

/** Any record of the `commitments` stream. */
export const commitmentRecordSchema = z.discriminatedUnion("kind", [
  intentSchema,
  z.object({
    ...intentResultFields,
    kind: z.literal("outcome"),
    outcome: outcomeSchema,
  }),
  z.object({ ...intentResultFields, kind: z.literal("aborted") }),
  z.object({
    kind: z.literal("snapshot_part"),
    recordId: z.string(),
    entries: z.array(entrySchema),
  }),
]);

/** How a dispatched call ended, as recorded in the log. */
export type CommitmentOutcome = z.infer<typeof outcomeSchema>;
/** A record of the `commitments` stream. */
export type CommitmentRecord = z.infer<typeof commitmentRecordSchema>;
/** State of one key. */
export type CommitmentEntry = z.infer<typeof entrySchema>;
/** A record of one kind. */
export type CommitmentRecordOf<Kind extends CommitmentRecord["kind"]> = Extract<
  CommitmentRecord,
  { kind: Kind }
>;

/** An incarnation of a daemon, which writes records. */
export interface Writer {
  readonly vmId: string;
  readonly incarnation: string;
}

/** Whether two writers are the same incarnation of the same daemon. */
export function isSameWriter(a: Writer, b: Writer): boolean {
  return a.vmId === b.vmId && a.incarnation === b.incarnation;
}
