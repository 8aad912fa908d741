/**
 * The newest record of each key that this daemon has read from the store or
 * received from a peer. An older record never replaces a newer one.
 *
 * @module
 */

import type { KeyedRecord } from "./record_follower.ts";

/** Removals are kept for peers until the newest offset is this much higher. */
const TOMBSTONE_RETENTION_OFFSETS = 2_000;

/** Called with the records that changed the table. */
export type RecordListener = (records: readonly KeyedRecord[]) => void;

/** Keyed records of one topic. */
export class RecordTable {
  readonly #records = new Map<string, KeyedRecord>();
  readonly #onChange: RecordListener;
  #highestOffset = -1;

  constructor(listener: RecordListener) {
    this.#onChange = listener;
  }

  /** The offset of the newest record held; -1 when there is none. */
  get highestOffset(): number {
    return this.#highestOffset;
  }

  /**
   * Applies records. When all keys were read, `known` holds every key that
   * exists, and the other keys are removed. Returns how many of the records
   * were ignored as older than those held.
   */
  apply(
    records: readonly KeyedRecord[],
    known?: ReadonlySet<string>,
  ): number {
    const newer = records.filter((record) => this.#store(record));
    const removed = known === undefined ? [] : this.#removeMissing(known);
    this.#dropOldTombstones();
    const changes = [...newer, ...removed];
    if (changes.length > 0) this.#onChange(changes);
    return records.length - newer.length;
  }

  /** Records with a higher offset, in ascending order. */
  since(offset: number): KeyedRecord[] {
    return [...this.#records.values()]
      .filter((record) => record.offset > offset)
      .sort((a, b) => a.offset - b.offset);
  }

  #store(record: KeyedRecord): boolean {
    this.#highestOffset = Math.max(this.#highestOffset, record.offset);
    const known = this.#records.get(record.key);
    if (known !== undefined && known.offset >= record.offset) return false;
    this.#records.set(record.key, record);
    return true;
  }

  #removeMissing(known: ReadonlySet<string>): KeyedRecord[] {
    const removed: KeyedRecord[] = [];
    for (const record of this.#records.values()) {
      if (record.value === undefined || known.has(record.key)) continue;
      removed.push({
        ...record,
        value: undefined,
        offset: this.#highestOffset,
      });
    }
    for (const record of removed) this.#records.set(record.key, record);
    return removed;
  }

  #dropOldTombstones(): void {
    for (const [key, record] of this.#records) {
      const isOld = record.value === undefined &&
        record.offset < this.#highestOffset - TOMBSTONE_RETENTION_OFFSETS;
      if (isOld) this.#records.delete(key);
    }
  }
}
