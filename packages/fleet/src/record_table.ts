/**
 * The newest record of each key that this daemon has read from the store or
 * received from a peer. An older record never replaces a newer one.
 *
 * @module
 */

import { BEFORE_FIRST, type LogPosition } from "./log_position.ts";
import type { KeyedRecord } from "./record_follower.ts";

/** Removals that are kept for peers, the newest ones. */
const MAX_TOMBSTONES = 2_000;

/** Called with the records that changed the table. */
export type RecordListener = (records: readonly KeyedRecord[]) => void;

/** Keyed records of one topic. */
export class RecordTable {
  readonly #records = new Map<string, KeyedRecord>();
  readonly #onChange: RecordListener;
  #newest = BEFORE_FIRST;

  constructor(listener: RecordListener) {
    this.#onChange = listener;
  }

  /** The position of the newest record; before the first when there is none. */
  get newest(): LogPosition {
    return this.#newest;
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

  /** Records after the position, in ascending order. */
  since(position: number): KeyedRecord[] {
    return [...this.#records.values()]
      .filter((record) => record.position > position)
      .sort((a, b) => a.position - b.position);
  }

  #store(record: KeyedRecord): boolean {
    if (record.position > this.#newest) this.#newest = record.position;
    const known = this.#records.get(record.key);
    if (known !== undefined && known.position >= record.position) return false;
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
        position: this.#newest,
      });
    }
    for (const record of removed) this.#records.set(record.key, record);
    return removed;
  }

  #dropOldTombstones(): void {
    const tombstones = [...this.#records.values()]
      .filter(({ value }) => value === undefined);
    if (tombstones.length <= MAX_TOMBSTONES) return;
    tombstones.sort((a, b) => b.position - a.position);
    for (const { key } of tombstones.slice(MAX_TOMBSTONES)) {
      this.#records.delete(key);
    }
  }
}
