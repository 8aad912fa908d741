/**
 * The newest of each keyed record that this daemon holds, whether it was read
 * from the store or from a peer. A record never gives way to an older one.
 *
 * @module
 */

import type { KeyedRecord } from "./record_follower.ts";

/** Removed keys are told to peers for as long as this many newer records come. */
const TOMBSTONE_RETENTION_OFFSETS = 2_000;

/** Hears about records that are new to the table. */
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

  /** Takes records; `known` holds every key that exists, when all were read. */
  apply(
    records: readonly KeyedRecord[],
    known?: ReadonlySet<string>,
  ): void {
    const newer = records.filter((record) => this.#store(record));
    const removed = known === undefined ? [] : this.#removeMissing(known);
    this.#dropOldTombstones();
    const changes = [...newer, ...removed];
    if (changes.length > 0) this.#onChange(changes);
  }

  /** Records newer than the offset, in order. */
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
