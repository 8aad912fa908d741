/**
 * Applies the records of the `configuration` stream in offset order.
 *
 * @module
 */

import type { LogRecord } from "@endivebend/types";
import { cancelDrain, requestDrain } from "./drain_changes.ts";
import { fingerprintOf, recordVerdict } from "./decided_records.ts";
import {
  CHANGE_SCHEMAS,
  type ChangeKind,
  type ChangeOf,
  isChangeKind,
  MAX_RECORD_ID_CHARS,
} from "./records.ts";
import { deserializeState } from "./snapshot.ts";
import { collectSnapshotPart } from "./snapshot_parts.ts";
import type { ConfigurationState } from "./state.ts";
import {
  createTeam,
  grantKey,
  removeTeam,
  withdrawKey,
} from "./team_changes.ts";
import { amendTemplate, publishTemplate } from "./template_changes.ts";
import {
  type ApplyResult,
  refuse,
  refuseSchemaIssue,
  type Verdict,
} from "./verdicts.ts";

type Handlers = {
  readonly [Kind in ChangeKind]: (
    state: ConfigurationState,
    change: ChangeOf<Kind>,
  ) => Verdict;
};

const HANDLERS: Handlers = {
  template_published: publishTemplate,
  template_amended: amendTemplate,
  team_created: createTeam,
  team_removed: removeTeam,
  key_granted: grantKey,
  key_withdrawn: withdrawKey,
  vm_drain_requested: requestDrain,
  vm_drain_cancelled: cancelDrain,
};

type Fields = Readonly<Record<string, unknown>>;

function fieldsOf(value: unknown): Fields {
  const isObject = typeof value === "object" && value !== null;
  return isObject ? value as Fields : {};
}

function decideChange(state: ConfigurationState, value: Fields): Verdict {
  const { kind } = value;
  if (!isChangeKind(kind)) {
    return refuse("kind", "The kind of the change is not known", {
      remedy: `Give one of ${Object.keys(CHANGE_SCHEMAS).join(", ")}`,
    });
  }
  const parsed = CHANGE_SCHEMAS[kind].safeParse(value);
  if (!parsed.success) return refuseSchemaIssue(parsed.error.issues[0]!);
  const handle = HANDLERS[kind] as (
    state: ConfigurationState,
    change: unknown,
  ) => Verdict;
  return handle(state, parsed.data);
}

function isRecordId(value: unknown): value is string {
  if (typeof value !== "string") return false;
  return value !== "" && value.length <= MAX_RECORD_ID_CHARS;
}

function applyChange(state: ConfigurationState, value: Fields): Verdict {
  const { recordId } = value;
  if (!isRecordId(recordId)) {
    return refuse("recordId", "The record has no valid id", {
      remedy:
        `Give each record a unique recordId of at most ${MAX_RECORD_ID_CHARS} characters`,
    });
  }
  const decidedRecord = state.judged.get(recordId);
  if (decidedRecord !== undefined) return decidedRecord.verdict;
  const verdict = decideChange(state, value);
  const fingerprint = fingerprintOf(value);
  const offset = state.appliedOffset;
  recordVerdict(state, recordId, { fingerprint, offset, verdict });
  return verdict;
}

function applyInOrder(
  state: ConfigurationState,
  record: LogRecord,
): ApplyResult {
  if (record.offset <= state.appliedOffset) return { kind: "ignored" };
  state.appliedOffset = record.offset;
  const value = fieldsOf(record.value);
  if (value.kind === "snapshot_part") return { kind: "ignored" };
  return applyChange(state, value);
}

function applyDeferredRecords(
  state: ConfigurationState,
  records: readonly LogRecord[],
): void {
  for (const record of records) applyInOrder(state, record);
}

/**
 * Applies one record. Never throws: a malformed record is refused. A record
 * whose id has already been decided gets the first verdict again and changes
 * nothing. While the state waits for a snapshot, records are deferred.
 *
 * @example
 * ```ts
 * const result = applyRecord(state, record);
 * if (result.kind === "refused") console.error(result.field, result.remedy);
 * ```
 */
export function applyRecord(
  state: ConfigurationState,
  record: LogRecord,
): ApplyResult {
  state.oldestAppendedAtMs ??= record.appendedAtMs;
  const deferredRecords = collectSnapshotPart(state, record);
  if (deferredRecords !== undefined) {
    applyDeferredRecords(state, deferredRecords);
  }
  if (state.awaitedSnapshot === undefined) return applyInOrder(state, record);
  state.awaitedSnapshot.records.push(record);
  return { kind: "deferred" };
}

/**
 * Makes the state wait for a snapshot because the log no longer holds the
 * records between the applied offset and `firstOffset`. The state remains in
 * use unchanged until a complete snapshot has been read, which then replaces
 * it. Does nothing when no record is missing.
 */
export function awaitSnapshotAfterGap(
  state: ConfigurationState,
  firstOffset: number,
): void {
  if (firstOffset <= state.appliedOffset + 1) return;
  state.pendingSnapshots.clear();
  state.awaitedSnapshot = { firstOffset, records: [] };
}

/**
 * Replaces the state with one that a peer wrote with {@link serializeState}.
 * Returns false and changes nothing when the JSON is malformed, not newer than
 * the state, or too old for the deferred records.
 *
 * @example
 * ```ts
 * restoreState(state, { json: answer.snapshotJson, offset: answer.offset });
 * ```
 */
export function restoreState(
  state: ConfigurationState,
  source: { readonly json: string; readonly offset: number },
): boolean {
  if (source.offset <= state.appliedOffset) return false;
  const { awaitedSnapshot } = state;
  if (
    awaitedSnapshot !== undefined &&
    source.offset + 1 < awaitedSnapshot.firstOffset
  ) {
    return false;
  }
  const restored = deserializeState(source.json);
  if (restored === undefined) return false;
  restored.appliedOffset = source.offset;
  Object.assign(state, restored);
  applyDeferredRecords(state, awaitedSnapshot?.records ?? []);
  return true;
}
