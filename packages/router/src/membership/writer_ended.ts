/**
 * Determines whether the incarnation that wrote a record has ended.
 *
 * @module
 */

import type { IncarnationId, VmId } from "@endivebend/types";
import type { Identity, MembershipView } from "../ports.ts";

/** The daemon incarnation that wrote a record, and the time of the write. */
export interface RecordWriterIncarnation {
  readonly vmId: string;
  readonly incarnation: string;
  /** Wall-clock time in milliseconds. */
  readonly writtenAtMs: number;
}

/**
 * Returns true when the writer has ended: its VM runs another incarnation, or
 * is no longer listed.
 *
 * @example
 * ```ts
 * if (hasWriterEnded(writer, { identity, membership })) takeOver();
 * ```
 */
export function hasWriterEnded(
  writer: RecordWriterIncarnation,
  known: {
    readonly identity: Identity;
    readonly membership: MembershipView;
  },
): boolean {
  const { identity, membership } = known;
  if (writer.vmId === identity.vmId) {
    return writer.incarnation !== identity.incarnation;
  }
  const vmId = writer.vmId as VmId;
  const incarnation = membership.incarnationOf(vmId);
  const hasRestarted = incarnation !== undefined &&
    incarnation !== writer.incarnation as IncarnationId;
  return hasRestarted || membership.hasEnded(vmId, writer.writtenAtMs);
}
