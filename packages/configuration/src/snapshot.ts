/**
 * Writes snapshots, for the log and for peers, and says when one is due.
 *
 * @module
 */

import { z } from "zod";
import { listSnapshotEntries, restoreEntries } from "./snapshot_entries.ts";
import type { ConfigurationState } from "./state.ts";
import type { SnapshotPart } from "./records.ts";

/** The largest part as JSON text, its envelope included. */
export const MAX_PART_BYTES = 262_144;

/** More than the JSON text of a part without its entries. */
const MAX_ENVELOPE_BYTES = 1_024;
/** The part of the retention after which a snapshot is rewritten. */
const DEFAULT_DUE_FRACTION = 0.5;

function splitEntries(state: ConfigurationState, maxBytes: number) {
  const parts: unknown[][] = [[]];
  let bytes = 0;
  for (const entry of listSnapshotEntries(state)) {
    const entryBytes = Buffer.byteLength(JSON.stringify(entry)) + 1;
    if (bytes > 0 && bytes + entryBytes > maxBytes) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)!.push(entry);
    bytes += entryBytes;
  }
  return parts;
}

/**
 * Makes the records of a snapshot of the state as it is now.
 *
 * @example
 * ```ts
 * for (const part of createSnapshotParts(state, { snapshotId })) append(part);
 * ```
 */
export function createSnapshotParts(
  state: ConfigurationState,
  options: { readonly snapshotId: string; readonly maxPartBytes?: number },
): SnapshotPart[] {
  const { snapshotId, maxPartBytes = MAX_PART_BYTES } = options;
  const parts = splitEntries(state, maxPartBytes - MAX_ENVELOPE_BYTES);
  return parts.map((entries, index) => ({
    recordId: `${snapshotId}-${index}`,
    kind: "snapshot_part",
    snapshotId,
    asOfOffset: Math.max(state.appliedOffset, 0),
    index,
    count: parts.length,
    entries,
  }));
}

/** Whether a snapshot is due, and why. */
export interface SnapshotPlan {
  readonly due: boolean;
  readonly reason: string;
}

/**
 * Says whether a snapshot is due: when half of the retention has passed since
 * the newest whole snapshot was begun, or since the oldest record when there is none.
 *
 * @example
 * ```ts
 * if (planSnapshot(state, { retentionMs, nowMs }).due) writeSnapshot();
 * ```
 */
export function planSnapshot(
  state: ConfigurationState,
  options: {
    readonly retentionMs: number;
    readonly nowMs: number;
    /** Larger for VMs that only stand in for the first writer. */
    readonly dueFraction?: number;
  },
): SnapshotPlan {
  if (state.awaitedSnapshot !== undefined) {
    return { due: false, reason: "The state itself waits for a snapshot" };
  }
  const oldestNeededAtMs = state.lastSnapshot?.firstPartAtMs ??
    state.oldestAppendedAtMs;
  if (oldestNeededAtMs === undefined || state.appliedOffset < 0) {
    return { due: false, reason: "The log holds no record" };
  }
  const ageMs = options.nowMs - oldestNeededAtMs;
  const { retentionMs, dueFraction = DEFAULT_DUE_FRACTION } = options;
  const due = ageMs >= retentionMs * dueFraction;
  return { due, reason: `The records needed reach back ${ageMs} ms` };
}

/** Writes the whole state as one JSON text, for a peer. */
export function serializeState(state: ConfigurationState): string {
  const { oldestAppendedAtMs, lastSnapshot } = state;
  const entries = [...listSnapshotEntries(state)];
  return JSON.stringify({
    oldestAppendedAtMs,
    lastSnapshot,
    entries,
  });
}

const serializedSchema = z.strictObject({
  oldestAppendedAtMs: z.number().optional(),
  lastSnapshot: z.strictObject({
    snapshotId: z.string(),
    asOfOffset: z.number(),
    firstPartAtMs: z.number(),
  }).optional(),
  entries: z.array(z.unknown()),
});

function parseJson(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
}

/** Reads what {@link serializeState} wrote; undefined when it is malformed. */
export function deserializeState(
  json: string,
): ConfigurationState | undefined {
  const parsed = serializedSchema.safeParse(parseJson(json));
  if (!parsed.success) return undefined;
  const { entries, ...rest } = parsed.data;
  const restored = restoreEntries(entries);
  return restored === undefined ? undefined : Object.assign(restored, rest);
}
