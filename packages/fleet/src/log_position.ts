/**
 * Positions of records in the history of a topic. A store that comes back from
 * a copy of an earlier state gives out offsets again, so an offset says nothing
 * of the order in time unless the number of restores, the era, is known too.
 *
 * @module
 */

import { type Branded, brandId } from "@endivebend/types";

/** An era and an offset in one number; a later record has a higher one. */
export type LogPosition = Branded<number, "LogPosition">;

/** Offsets of one era; leaves room for 2 million eras in a safe integer. */
const OFFSETS_PER_ERA = 2 ** 32;

/** Before the first record. */
export const BEFORE_FIRST = brandId<LogPosition>(-1);

/**
 * The position of an offset in an era.
 *
 * @example
 * ```ts
 * logPosition(2, 0) > logPosition(1, 99); // true
 * ```
 */
export function logPosition(era: number, offset: number): LogPosition {
  return brandId<LogPosition>(era * OFFSETS_PER_ERA + offset);
}

/**
 * The position that follows in the same era.
 *
 * @example
 * ```ts
 * const from = nextPosition(table.newest);
 * ```
 */
export function nextPosition(position: LogPosition): LogPosition {
  return logPosition(eraOf(position), offsetOf(position) + 1);
}

/** How often the store had been restored before the record was written. */
export function eraOf(position: LogPosition): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** The offset of the record within its era. */
export function offsetOf(position: LogPosition): number {
  return position - eraOf(position) * OFFSETS_PER_ERA;
}
