/**
 * Proposes changes through the log and reads their verdict back.
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

/** What became of a proposed change. */
export type ProposalResult =
  | {
    readonly kind: "accepted";
    readonly offset: number;
    readonly revision: number;
    /** False when the log already held a verdict on this record id. */
    readonly isNew: boolean;
  }
  | Refused
  /** The log does not hold the change, and never will through this call. */
  | { readonly kind: "not_appended"; readonly reason: string }
  /** The change may be, or come, into force; ask again with its record id. */
  | { readonly kind: "unknown"; readonly reason: string };

const RECORD_ID_REUSED: Refused = {
  kind: "refused",
  field: "recordId",
  message: "Another change was proposed under this record id",
  remedy: "Use a new record id for each change",
  currentRevision: null,
};

/** Reads the verdict on a record that the state has judged. */
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
 * Appends a change, waits until this VM has applied it, and gives the verdict.
 * Asking again with the same record id never doubles the change.
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
    // The record may have been read back while the append was under way.
    return readVerdict(state, record, { isNew: true }) ?? appended;
  }
  await stream.whenApplied(appended.offset, { deadlineElapsedMs });
  return readVerdict(state, record, { isNew: true }) ?? {
    kind: "unknown",
    reason: "The change is in the log, but this VM has not applied it yet",
  };
}
