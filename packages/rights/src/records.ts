/**
 * The records of the `rights` stream.
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
  /** Revision that this change amends; 0 for the first. */
  amendsRevision: revision,
});

/** Says that a VM spends at most the smaller of the old and the new shares. */
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
  /** Revision of the domains that the claimer had applied. */
  revision,
});

/**
 * Offset of the newest claim of the writer that it had applied. A record that
 * was sent twice and lands after a newer claim is void, so it cannot take away
 * groups that its writer has got again.
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
  /** Offset of the newest claim that the evidence is about. */
  claimedBefore: z.number().int().nonnegative(),
});

const snapshot = z.object({
  kind: z.literal("snapshot"),
  /** The state after all records below this offset. */
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

/** One kind of record. */
export type RightsRecordOf<Kind extends RightsRecord["kind"]> = Extract<
  RightsRecord,
  { kind: Kind }
>;

/** Reads a record's value; undefined when it is none of these records. */
export function parseRightsRecord(value: unknown): RightsRecord | undefined {
  const result = rightsRecord.safeParse(value);
  return result.success ? result.data : undefined;
}
