/**
 * The newest record of each key that this daemon has read from the store or
 * received from a peer. An older record never replaces a newer one.
 *
 * @module
 */

import { BEFORE_FIRST, eraOf, type LogPosition } from "./log_position.ts";
import type { KeyedRecord } from "./record_follower.ts";

/** Removals that are kept for peers, the newest ones. */
const MAX_TOMBSTONES = 2_000;

/** Called with the records that changed the table. */
export type RecordListener = (records: readonly KeyedRecord[]) => void;

/**
 * Whether the content of a record is older than that of another record of the
 * same key.
 */
export type ContentOrder = (
  record: KeyedRecord,
  other: KeyedRecord,
) => boolean;

/** All records that the store has. */
export interface RecordListing {
  readonly keys: ReadonlySet<string>;
  /** Whether records of other keys are removed. */
  readonly isComplete: boolean;
  /** Records from before it stay all the same; none do when it is left out. */
  readonly removesFrom?: LogPosition;
}

/** Keyed records of one topic. */
export class RecordTable {
  readonly #records = new Map<string, KeyedRecord>();
  /** The last record before the removal of each removed key. */
  readonly #removed = new Map<string, KeyedRecord>();
  readonly #onChange: RecordListener;
  readonly #isOlder: ContentOrder;
  #newest = BEFORE_FIRST;
  /** The latest era in which the store is complete again. */
  #settledEra = -1;

  constructor(listener: RecordListener, isOlder: ContentOrder = () => false) {
    this.#onChange = listener;
    this.#isOlder = isOlder;
  }

  /** The position of the newest record; before the first when there is none. */
  get newest(): LogPosition {
    return this.#newest;
  }

  /**
   * Applies records, which are all that the store has when a listing is given.
   * Returns how many of them were ignored as older than those held.
   */
  apply(records: readonly KeyedRecord[], listing?: RecordListing): number {
    const newer = records.filter((record) => this.#store(record));
    const removed = listing?.isComplete === true
      ? this.#removeMissing(listing)
      : [];
    this.#dropOldTombstones();
    const changes = [...newer, ...removed];
    if (changes.length > 0) this.#onChange(changes);
    return records.length - newer.length;
  }

  /**
   * Takes the store at its word from now on. Until an era is settled, the copy
   * may be older than what is known, so its records and those of other eras are
   * ordered by their content.
   */
  settle(era: number): void {
    this.#settledEra = Math.max(this.#settledEra, era);
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
    if (known !== undefined && !this.#isNewer(record, known)) return false;
    this.#set(record, known);
    return true;
  }

  #set(record: KeyedRecord, known: KeyedRecord | undefined): void {
    const { key, value } = record;
    if (value !== undefined) this.#removed.delete(key);
    else if (known?.value !== undefined) this.#removed.set(key, known);
    this.#records.set(key, record);
  }

  #isNewer(record: KeyedRecord, known: KeyedRecord): boolean {
    const isLater = record.position > known.position;
    const [era, knownEra] = [eraOf(record.position), eraOf(known.position)];
    const isSettled = Math.max(era, knownEra) <= this.#settledEra;
    if (era === knownEra || isSettled || record.value === undefined) {
      return isLater;
    }
    if (known.value !== undefined) {
      return isLater
        ? !this.#isOlder(record, known)
        : this.#isOlder(known, record);
    }
    // The copy may have a record that was removed after it was made.
    const removed = this.#removed.get(record.key);
    return isLater && removed !== undefined && this.#isOlder(removed, record);
  }

  #removeMissing(
    { keys, removesFrom = BEFORE_FIRST }: RecordListing,
  ): KeyedRecord[] {
    const removed: KeyedRecord[] = [];
    for (const record of this.#records.values()) {
      if (record.value === undefined || keys.has(record.key)) continue;
      if (record.position < removesFrom) continue;
      removed.push({
        ...record,
        value: undefined,
        position: this.#newest,
      });
    }
    for (const record of removed) {
      this.#set(record, this.#records.get(record.key));
    }
    return removed;
  }

  #dropOldTombstones(): void {
    const tombstones = [...this.#records.values()]
      .filter(({ value }) => value === undefined);
    if (tombstones.length <= MAX_TOMBSTONES) return;
    tombstones.sort((a, b) => b.position - a.position);
    for (const { key } of tombstones.slice(MAX_TOMBSTONES)) {
      this.#records.delete(key);
      this.#removed.delete(key);
    }
  }
}
