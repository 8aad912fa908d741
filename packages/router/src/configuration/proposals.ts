/**
 * Proposes configuration changes through the log and reads their verdicts.
 *
 * @module
 */

import {
  type ConfigurationState,
  findVerdict,
  fingerprintOf,
  type Refused,
} from "@endivebend/configuration";
import type { AppendRecord, FollowedStream } from "../ports.ts";

/** Outcome of a proposed change. */
export type ProposalResult =
  | {
    readonly kind: "accepted";
    readonly offset: number;
    readonly revision: number;
    /** False when a change with this record id had a verdict already. */
    readonly isNew: boolean;
  }
  | Refused
  /** The log does not hold the change, and this call can't add it any more. */
  | { readonly kind: "not_appended"; readonly reason: string }
  /**
   * The change may be in force, or may still take effect. Propose it again with
   * the same record id to learn its verdict.
   */
  | { readonly kind: "unknown"; readonly reason: string };

const RECORD_ID_REUSED: Refused = {
  kind: "refused",
  field: "recordId",
  message: "Another change was proposed under this record id",
  remedy: "Use a new record id for each change",
  currentRevision: null,
};

/** Returns the verdict on a record, or undefined when there is none yet. */
export function readVerdict(
  state: ConfigurationState,
  record: AppendRecord,
  options: { readonly isNew: boolean },
): ProposalResult | undefined {
  const judged = findVerdict(state, record.recordId);
  if (judged === undefined) return undefined;
  if (judged.fingerprint !== fingerprintOf(record)) return RECORD_ID_REUSED;
  if (judged.verdict.kind === "refused") return judged.verdict;
  const { offset, verdict } = judged;
  return { ...verdict, offset, isNew: options.isNew };
}

/**
 * Appends a change, waits until this VM has applied it, and returns the
 * verdict. A retry with the same record id never applies the change twice.
 */
export async function proposeChange(
  record: AppendRecord,
  options: {
    readonly state: ConfigurationState;
    readonly stream: FollowedStream;
    readonly deadlineElapsedMs: number;
  },
): Promise<ProposalResult> {
  const { state, stream, deadlineElapsedMs } = options;
  const known = readVerdict(state, record, { isNew: false });
  if (known !== undefined) return known;
  const appended = await stream.append(record, { deadlineElapsedMs });
  if (appended.kind !== "appended") {
    // The record may have been read back while the append was in progress.
    return readVerdict(state, record, { isNew: true }) ?? appended;
  }
  await stream.whenApplied(appended.offset, { deadlineElapsedMs });
  return readVerdict(state, record, { isNew: true }) ?? {
    kind: "unknown",
    reason: "The change is in the log, but this VM has not applied it yet",
  };
}
