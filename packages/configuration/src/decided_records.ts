/**
 * Store of the recently decided records, by which a repeated append
 * keeps its first verdict.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { ConfigurationState, DecidedRecord } from "./state.ts";

/**
 * Maximum number of records retained: about five hours at 42,000 changes a day,
 * while an append is repeated within minutes.
 */
export const MAX_DECIDED_RECORDS = 8_192;

const FINGERPRINT_DIGITS = 16;
/** Fields that two proposals of the same change may differ in. */
const IGNORED_FIELDS = new Set(["recordId", "by", "digest"]);

/** Deeper values are ignored, so a hostile record cannot overflow the stack. */
const MAX_DEPTH = 32;

function canonicalize(value: unknown, depth: number): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (depth === MAX_DEPTH) return null;
  if (Array.isArray(value)) {
    return value.map((inner) => canonicalize(inner, depth + 1));
  }
  const entries = Object.entries(value).toSorted(([left], [right]) =>
    left < right ? -1 : 1
  );
  return entries.map(([name, inner]) => [name, canonicalize(inner, depth + 1)]);
}

/**
 * Returns a digest of the requested change. The record id, the operator and the
 * digest of a generated key are left out, as a repeated proposal may differ
 * in them.
 */
export function fingerprintOf(change: Readonly<Record<string, unknown>>) {
  const relevant = Object.entries(change).filter(([name]) =>
    !IGNORED_FIELDS.has(name)
  );
  const text = JSON.stringify(canonicalize(Object.fromEntries(relevant), 0));
  const digest = createHash("sha256").update(text).digest("hex");
  return digest.slice(0, FINGERPRINT_DIGITS);
}

/** Records a verdict; evicts the oldest above {@link MAX_DECIDED_RECORDS}. */
export function recordVerdict(
  state: ConfigurationState,
  recordId: string,
  decidedRecord: DecidedRecord,
): void {
  state.judged.set(recordId, decidedRecord);
  if (state.judged.size <= MAX_DECIDED_RECORDS) return;
  const oldest = state.judged.keys().next().value;
  if (oldest !== undefined) state.judged.delete(oldest);
}

/** Returns the first verdict on a record, or undefined once it is evicted. */
export function findVerdict(
  state: ConfigurationState,
  recordId: string,
): DecidedRecord | undefined {
  return state.judged.get(recordId);
}
