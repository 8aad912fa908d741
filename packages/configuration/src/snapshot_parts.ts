/**
 * Collects the parts of snapshots that are read from the log, and replaces the
 * state with a complete snapshot when the state waits for one.
 *
 * @module
 */

import type { LogRecord } from "@endivebend/types";
import { type SnapshotPart, snapshotPartSchema } from "./records.ts";
import { restoreEntries } from "./snapshot_entries.ts";
import type { ConfigurationState, PendingSnapshot } from "./state.ts";

/** Maximum number of incomplete snapshots; the oldest is dropped first. */
const MAX_PENDING_SNAPSHOTS = 8;

function findOrCreatePending(
  state: ConfigurationState,
  source: { readonly part: SnapshotPart; readonly appendedAtMs: number },
): PendingSnapshot | undefined {
  const { part, appendedAtMs } = source;
  const existing = state.pendingSnapshots.get(part.snapshotId);
  if (existing !== undefined) {
    const isSame = existing.count === part.count &&
      existing.asOfOffset === part.asOfOffset;
    return isSame ? existing : undefined;
  }
  const created: PendingSnapshot = {
    asOfOffset: part.asOfOffset,
    firstPartAtMs: appendedAtMs,
    count: part.count,
    receivedParts: new Set(),
    entries: new Map(),
  };
  state.pendingSnapshots.set(part.snapshotId, created);
  if (state.pendingSnapshots.size > MAX_PENDING_SNAPSHOTS) {
    const [oldest] = state.pendingSnapshots.keys();
    state.pendingSnapshots.delete(oldest!);
  }
  return created;
}

function* entriesInOrder(pending: PendingSnapshot): Generator<unknown> {
  for (let index = 0; index < pending.count; index++) {
    yield* pending.entries.get(index) ?? [];
  }
}

function restoreFromSnapshot(
  state: ConfigurationState,
  pending: PendingSnapshot,
): readonly LogRecord[] | undefined {
  const { awaitedSnapshot } = state;
  if (awaitedSnapshot === undefined) return undefined;
  if (pending.asOfOffset + 1 < awaitedSnapshot.firstOffset) return undefined;
  const restored = restoreEntries(entriesInOrder(pending));
  if (restored === undefined) return undefined;
  restored.appliedOffset = pending.asOfOffset;
  const { oldestAppendedAtMs, lastSnapshot } = state;
  Object.assign(state, restored, { oldestAppendedAtMs, lastSnapshot });
  return awaitedSnapshot.records;
}

/**
 * Collects the record if it is a snapshot part. If the part completes the
 * snapshot that the state waits for, replaces the state and returns the
 * deferred records; otherwise returns undefined.
 */
export function collectSnapshotPart(
  state: ConfigurationState,
  { value, appendedAtMs }: LogRecord,
): readonly LogRecord[] | undefined {
  const isPart = typeof value === "object" && value !== null &&
    (value as { readonly kind?: unknown }).kind === "snapshot_part";
  if (!isPart) return undefined;
  const { data: part } = snapshotPartSchema.safeParse(value);
  if (part === undefined || part.index >= part.count) return undefined;
  const pending = findOrCreatePending(state, { part, appendedAtMs });
  if (pending === undefined) return undefined;
  pending.receivedParts.add(part.index);
  if (state.awaitedSnapshot !== undefined) {
    pending.entries.set(part.index, part.entries);
  }
  if (pending.receivedParts.size < pending.count) return undefined;
  state.pendingSnapshots.delete(part.snapshotId);
  const { asOfOffset, firstPartAtMs } = pending;
  const newestOffset = state.lastSnapshot?.asOfOffset ?? -1;
  if (asOfOffset > newestOffset) {
    const { snapshotId } = part;
    state.lastSnapshot = { snapshotId, asOfOffset, firstPartAtMs };
  }
  return restoreFromSnapshot(state, pending);
}
