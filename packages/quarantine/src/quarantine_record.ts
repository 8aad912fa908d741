/**
 * The record of a quarantine in the store.
 *
 * @module
 */

/** A quarantine as it is stored. */
export interface QuarantineRecord {
  /** How often the segment was convicted; the term doubles each time. */
  readonly strikes: number;
  /** End of the term, in milliseconds since the Unix epoch. */
  readonly untilWallMs: number;
}

/**
 * Encodes a record as JSON.
 *
 * @example
 * ```ts
 * await store.putQuarantine(key, encodeQuarantine({ strikes: 1, untilWallMs }));
 * ```
 */
export function encodeQuarantine(record: QuarantineRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a record; undefined when it has another form. */
export function decodeQuarantine(
  value: Buffer,
): QuarantineRecord | undefined {
  try {
    const fields = JSON.parse(value.toString("utf8")) as unknown;
    if (typeof fields !== "object" || fields === null) return undefined;
    const { strikes, untilWallMs } = fields as Record<string, unknown>;
    return isCount(strikes) && isCount(untilWallMs)
      ? { strikes, untilWallMs }
      : undefined;
  } catch {
    return undefined;
  }
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value > 0;
}
