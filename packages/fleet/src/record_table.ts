/**
 * The newest record of each key that this daemon has read from the store or
 * received from a peer. An older record never replaces a newer one.
 *
 * @module
 */

import {
  BEFORE_FIRST,
  eraOf,
  type LogPosition,
  logPosition,
  nextPosition,
  offsetOf,
} from "./log_position.ts";
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
  /** Whether records of other keys are removed, whatever their era. */
  readonly isComplete: boolean;
  /** Of the listing's era, it holds all records before this position. */
  readonly upTo?: LogPosition;
  /** Records from before it stay all the same; none do when it is left out. */
  readonly removesFrom?: LogPosition;
}

/** What a peer lacks whose newest record is known. */
export interface RecordChanges {
  /** All records when a listing is given, or else those that are newer. */
  readonly records: readonly KeyedRecord[];
  /**
   * The position before which no removal may be missing but those that the
   * sender lacks: what is not among the records has been removed.
   */
  readonly listedTo: LogPosition | undefined;
}

/** Keyed records of one topic. */
export class RecordTable {
  readonly #records = new Map<string, KeyedRecord>();
  /** The last record before the removal of each removed key. */
  readonly #removed = new Map<string, KeyedRecord>();
  readonly #onChange: RecordListener;
  readonly #isOlder: ContentOrder;
  #newest = BEFORE_FIRST;
  /** Removals before it may be unknown here; a listing has none. */
  #listedTo = BEFORE_FIRST;
  /** The latest era in which the store is complete again. */
  #settledEra = -1;

  constructor(listener: RecordListener, isOlder: ContentOrder = () => false) {
    this.#onChange = listener;
    this.#isOlder = isOlder;
  }

  /**
   * The position up to which records are known, removals included; before the
   * first when there is none.
   */
  get newest(): LogPosition {
    return this.#newest;
  }

  /**
   * Applies records, which are all that the store has when a listing is given.
   * Returns how many of them were ignored as older than those held.
   */
  apply(records: readonly KeyedRecord[], listing?: RecordListing): number {
    const newer = records.filter((record) => this.#store(record));
    const removed = listing === undefined ? [] : this.#removeMissing(listing);
    this.#noteListedTo(listing?.upTo ?? BEFORE_FIRST);
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

  /** The records that a peer lacks which holds all up to the position. */
  changesSince(position: number): RecordChanges {
    const isListing = this.#listedTo > position + 1;
    return {
      records: this.since(isListing ? BEFORE_FIRST : position),
      listedTo: isListing ? this.#listedTo : undefined,
    };
  }

  /** Applies what a peer has sent. */
  applyChanges({ records, listedTo }: RecordChanges): void {
    if (listedTo === undefined) return void this.apply(records);
    const keys = new Set(records.map(({ key }) => key));
    this.apply(records, { keys, isComplete: false, upTo: listedTo });
  }

  #noteListedTo(position: LogPosition): void {
    if (position <= this.#listedTo) return;
    this.#listedTo = position;
    if (offsetOf(position) === 0) return;
    // The last records before it may be removals that it lacks.
    const last = logPosition(eraOf(position), offsetOf(position) - 1);
    if (last > this.#newest) this.#newest = last;
  }

  /** Whether the record has been removed since, as a listing showed. */
  #wasRemoved({ value, position }: KeyedRecord): boolean {
    return value !== undefined && this.#listedTo !== BEFORE_FIRST &&
      eraOf(position) === eraOf(this.#listedTo) && position < this.#listedTo;
  }

  #store(record: KeyedRecord): boolean {
    if (record.position > this.#newest) this.#newest = record.position;
    const known = this.#records.get(record.key);
    if (known === undefined && this.#wasRemoved(record)) return false;
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
    { keys, isComplete, upTo, removesFrom = BEFORE_FIRST }: RecordListing,
  ): KeyedRecord[] {
    const isListed = ({ position }: KeyedRecord) =>
      upTo !== undefined && eraOf(position) === eraOf(upTo) && position < upTo;
    const removed: KeyedRecord[] = [];
    for (const record of this.#records.values()) {
      if (record.value === undefined || keys.has(record.key)) continue;
      const isGone = isListed(record) ||
        (isComplete && record.position >= removesFrom);
      if (!isGone) continue;
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
    for (const { key, position } of tombstones.slice(MAX_TOMBSTONES)) {
      this.#records.delete(key);
      this.#removed.delete(key);
      this.#noteListedTo(nextPosition(position));
    }
  }
}
