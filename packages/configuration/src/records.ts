/**
 * Schemas of the records in the `configuration` stream.
 *
 * @module
 */

import { z } from "zod";
import {
  brandId,
  type KeyId,
  type Sha256Digest,
  type TeamId,
  type TemplateName,
  type VmId,
} from "@endivebend/types";
import {
  nameSchema,
  parameterValuesSchema,
  templateBodySchema,
} from "./template_schema.ts";

/** Maximum length of a record id, in characters. */
export const MAX_RECORD_ID_CHARS = 128;
const KEY_ID_PATTERN = /^key-[0-9a-f]{24}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const MAX_PARTS = 100_000;

const common = {
  recordId: z.string().min(1).max(MAX_RECORD_ID_CHARS),
  /** Name of the operator who proposed the change. */
  by: z.string().max(MAX_RECORD_ID_CHARS).optional(),
};
const template = nameSchema.transform((name) => brandId<TemplateName>(name));
const team = nameSchema.transform((name) => brandId<TeamId>(name));
const vmId = nameSchema.transform((name) => brandId<VmId>(name));

const digest = z.string().regex(
  DIGEST_PATTERN,
  "a SHA-256 digest of 64 lower-case hexadecimal digits",
).transform((text) => brandId<Sha256Digest>(text));

const keyId = z.string().regex(
  KEY_ID_PATTERN,
  "a key id such as key-0123456789abcdef01234567",
).transform((text) => brandId<KeyId>(text));

/** Schemas by kind of change. */
export const CHANGE_SCHEMAS = {
  template_published: z.strictObject({
    ...common,
    kind: z.literal("template_published"),
    template,
    body: templateBodySchema,
  }),
  template_amended: z.strictObject({
    ...common,
    kind: z.literal("template_amended"),
    template,
    amendsRevision: z.int().min(1),
    body: templateBodySchema,
  }),
  team_created: z.strictObject({
    ...common,
    kind: z.literal("team_created"),
    team,
    template,
    parameters: parameterValuesSchema.prefault({}),
  }),
  team_removed: z.strictObject({
    ...common,
    kind: z.literal("team_removed"),
    team,
  }),
  key_granted: z.strictObject({
    ...common,
    kind: z.literal("key_granted"),
    team,
    digest,
  }),
  key_withdrawn: z.strictObject({
    ...common,
    kind: z.literal("key_withdrawn"),
    keyId,
  }),
  vm_drain_requested: z.strictObject({
    ...common,
    kind: z.literal("vm_drain_requested"),
    vmId,
  }),
  vm_drain_cancelled: z.strictObject({
    ...common,
    kind: z.literal("vm_drain_cancelled"),
    vmId,
  }),
} as const;

export type ChangeKind = keyof typeof CHANGE_SCHEMAS;
/** A change of one kind. */
export type ChangeOf<Kind extends ChangeKind> = z.output<
  typeof CHANGE_SCHEMAS[Kind]
>;
/** Any change. */
export type Change = { [Kind in ChangeKind]: ChangeOf<Kind> }[ChangeKind];

/** Schema of a record that holds one part of a snapshot. */
export const snapshotPartSchema = z.strictObject({
  recordId: common.recordId,
  kind: z.literal("snapshot_part"),
  snapshotId: z.string().min(1).max(MAX_RECORD_ID_CHARS),
  /** The snapshot contains the state after the record at this offset. */
  asOfOffset: z.int().min(0),
  index: z.int().min(0),
  count: z.int().min(1).max(MAX_PARTS),
  entries: z.array(z.unknown()),
});

/** A record that holds one part of a snapshot. */
export type SnapshotPart = z.output<typeof snapshotPartSchema>;

/** Returns whether a value is a known kind of change. */
export function isChangeKind(kind: unknown): kind is ChangeKind {
  return typeof kind === "string" && Object.hasOwn(CHANGE_SCHEMAS, kind);
}
