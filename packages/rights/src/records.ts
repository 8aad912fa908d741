/**
 * Schemas of the records of the `rights` stream.
 *
 * @module
 */

import type { FailureDomainId, VmId } from "@endivebend/types";
import { z } from "zod";

const vmId = z.string().min(1).transform((text) => text as VmId);
const failureDomain = z.string().min(1)
  .transform((text) => text as FailureDomainId);
const revision = z.number().int().nonnegative();

/** Replaces the set of failure domains that share the limits. */
const domainsSet = z.object({
  kind: z.literal("domains_set"),
  domains: z.array(failureDomain).min(1),
  /** Revision that this change replaces; 0 for the first. */
  amendsRevision: revision,
});

/** States that a VM spends at most the smaller of its old and new shares. */
const domainsConfirmed = z.object({
  kind: z.literal("domains_confirmed"),
  vmId,
  revision,
});

const claimed = z.object({
  kind: z.literal("claimed"),
  vmId,
  incarnation: z.string(),
  failureDomain,
  groups: z.string(),
  /** Revision of the set of domains that the claiming VM had applied. */
  revision,
});

/**
 * Offset of the writer's newest claim, as far as the writer had applied it. A
 * record that was sent twice and is appended after a newer claim is void, so it
 * cannot take away groups that its writer has claimed again.
 */
const claimOffset = z.number().int().nonnegative();

const released = z.object({
  kind: z.literal("released"),
  vmId,
  claimOffset,
  groups: z.string(),
});

const transferred = z.object({
  kind: z.literal("transferred"),
  fromVmId: vmId,
  toVmId: vmId,
  claimOffset,
  groups: z.string(),
});

const vmEnded = z.object({
  kind: z.literal("vm_ended"),
  vmId,
  /** Offset of the newest claim that the evidence covers. */
  claimedBefore: z.number().int().nonnegative(),
});

const snapshot = z.object({
  kind: z.literal("snapshot"),
  /** The snapshot covers all records below this offset. */
  asOfOffset: z.number().int().nonnegative(),
  stateJson: z.string(),
});

const rightsRecord = z.discriminatedUnion("kind", [
  domainsSet,
  domainsConfirmed,
  claimed,
  released,
  transferred,
  vmEnded,
  snapshot,
]);

/** A record of the `rights` stream. */
export type RightsRecord = z.output<typeof rightsRecord>;

/** A record of the given kind. */
export type RightsRecordOf<Kind extends RightsRecord["kind"]> = Extract<
  RightsRecord,
  { kind: Kind }
>;

/** Parses the value of a record; undefined if it matches no schema. */
export function parseRightsRecord(value: unknown): RightsRecord | undefined {
  const result = rightsRecord.safeParse(value);
  return result.success ? result.data : undefined;
}
