/**
 * Writes snapshots for the log and for peers, and decides when one is due.
 *
 * @module
 */

import { z } from "zod";
import { listSnapshotEntries, restoreEntries } from "./snapshot_entries.ts";
import type { ConfigurationState } from "./state.ts";
import type { SnapshotPart } from "./records.ts";

/** Maximum size of a part as JSON text, including its envelope. */
export const MAX_PART_BYTES = 262_144;

/** Upper bound for the JSON text of a part without its entries. */
const MAX_ENVELOPE_BYTES = 1_024;
/** Fraction of the retention after which a new snapshot is due. */
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
 * Creates the records of a snapshot of the current state.
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
 * Decides whether a snapshot is due. By default it is due when half of the
 * retention has passed since the first part of the newest complete snapshot
 * was appended, or since the oldest record if there is no complete snapshot.
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
    /** Larger for VMs that write only when the first writer has not. */
    readonly dueFraction?: number;
  },
): SnapshotPlan {
  if (state.awaitedSnapshot !== undefined) {
    return { due: false, reason: "The state is itself waiting for a snapshot" };
  }
  const oldestNeededAtMs = state.lastSnapshot?.firstPartAtMs ??
    state.oldestAppendedAtMs;
  if (oldestNeededAtMs === undefined || state.appliedOffset < 0) {
    return { due: false, reason: "No record of the log has been applied" };
  }
  const ageMs = options.nowMs - oldestNeededAtMs;
  const { retentionMs, dueFraction = DEFAULT_DUE_FRACTION } = options;
  const due = ageMs >= retentionMs * dueFraction;
  return {
    due,
    reason: `The oldest record needed to rebuild the state is ${ageMs} ms old`,
  };
}

/** Serializes the whole state as one JSON text for a peer. */
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

/** Parses the output of {@link serializeState}; undefined if malformed. */
export function deserializeState(
  json: string,
): ConfigurationState | undefined {
  const parsed = serializedSchema.safeParse(parseJson(json));
  if (!parsed.success) return undefined;
  const { entries, ...rest } = parsed.data;
  const restored = restoreEntries(entries);
  return restored === undefined ? undefined : Object.assign(restored, rest);
}
