/**
 * The newest of each keyed record that this daemon holds, whether it was read
 * from the store or from a peer. A record never gives way to an older one.
 *
 * @module
 */

import type { KeyedRecord } from "./record_follower.ts";

/** Removed keys are told to peers for as long as this many newer records come. */
const KEPT_REMOVALS = 2_000;

/** Hears about records that are new to the table. */
export type RecordListener = (records: readonly KeyedRecord[]) => void;

/** Keyed records of one topic. */
export class RecordTable {
  readonly #records = new Map<string, KeyedRecord>();
  readonly #listener: RecordListener;
  #highest = -1;

  constructor(listener: RecordListener) {
    this.#listener = listener;
  }

  /** The offset of the newest record held; -1 when there is none. */
  get highestOffset(): number {
    return this.#highest;
  }

  /** Takes records; `known` holds every key that exists, when all were read. */
  apply(
    records: readonly KeyedRecord[],
    known?: ReadonlySet<string>,
  ): void {
    const fresh = records.filter((record) => this.#take(record));
    const removed = known === undefined ? [] : this.#removeUnknown(known);
    this.#forgetRemovals();
    const changes = [...fresh, ...removed];
    if (changes.length > 0) this.#listener(changes);
  }

  /** Records newer than the offset, in order. */
  since(offset: number): KeyedRecord[] {
    return [...this.#records.values()]
      .filter((record) => record.offset > offset)
      .sort((a, b) => a.offset - b.offset);
  }

  #take(record: KeyedRecord): boolean {
    this.#highest = Math.max(this.#highest, record.offset);
    const known = this.#records.get(record.key);
    if (known !== undefined && known.offset >= record.offset) return false;
    this.#records.set(record.key, record);
    return true;
  }

  #removeUnknown(known: ReadonlySet<string>): KeyedRecord[] {
    const removed: KeyedRecord[] = [];
    for (const record of this.#records.values()) {
      if (record.value === undefined || known.has(record.key)) continue;
      removed.push({ ...record, value: undefined, offset: this.#highest });
    }
    for (const record of removed) this.#records.set(record.key, record);
    return removed;
  }

  #forgetRemovals(): void {
    for (const [key, record] of this.#records) {
      const isOld = record.value === undefined &&
        record.offset < this.#highest - KEPT_REMOVALS;
      if (isOld) this.#records.delete(key);
    }
  }
}
