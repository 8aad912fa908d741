/**
 * Groups records into batches, so that the log gets few appends.
 *
 * @module
 */

/** Bounds of a batch. */
export interface BatcherSettings {
  readonly maxRecords: number;
  readonly maxBytes: number;
  /** How long a record waits for others, unless it was added with a time. */
  readonly maxWaitMs: number;
  /** Concurrent appends; more than one, so that a slow one does not block. */
  readonly maxInFlight: number;
}

interface PendingItem<Item> {
  readonly item: Item;
  readonly bytes: number;
  readonly dueMs: number;
}

/**
 * Collects items until a batch is full or the wait of one of them is over. The
 * log takes several hundred appends per second from the whole fleet, so a loaded
 * daemon must put many records into one append.
 */
export class Batcher<Item> {
  readonly #settings: BatcherSettings;
  #pending: PendingItem<Item>[] = [];
  #inFlight = 0;

  constructor(settings: BatcherSettings) {
    this.#settings = settings;
  }

  get waitingCount(): number {
    return this.#pending.length;
  }

  add(
    item: Item,
    options: {
      readonly bytes: number;
      readonly nowMs: number;
      /** Longer for items that nothing waits for; others take them along. */
      readonly maxWaitMs?: number;
    },
  ): void {
    const { bytes, nowMs, maxWaitMs = this.#settings.maxWaitMs } = options;
    this.#pending.push({ item, bytes, dueMs: nowMs + maxWaitMs });
  }

  /**
   * Removes and returns the next batch when one is due. Call
   * {@link appendEnded} when its append has ended.
   */
  take(nowMs: number): readonly Item[] | undefined {
    if (this.#inFlight >= this.#settings.maxInFlight) return undefined;
    const count = this.#countThatFits();
    const isFull = count === this.#settings.maxRecords ||
      count < this.#pending.length;
    if (count === 0) return undefined;
    if (!isFull && nowMs < this.#earliestDueMs()) return undefined;
    this.#inFlight++;
    return this.#pending.splice(0, count).map((pending) => pending.item);
  }

  appendEnded(): void {
    this.#inFlight--;
  }

  /**
   * Time at which the wait of the first item is over; undefined when there are
   * no items or no further append may start.
   */
  nextDueMs(): number | undefined {
    if (this.#pending.length === 0) return undefined;
    if (this.#inFlight >= this.#settings.maxInFlight) return undefined;
    return this.#earliestDueMs();
  }

  #earliestDueMs(): number {
    let earliestMs = Infinity;
    for (const { dueMs } of this.#pending) {
      earliestMs = Math.min(earliestMs, dueMs);
    }
    return earliestMs;
  }

  #countThatFits(): number {
    let bytes = 0;
    let count = 0;
    for (const pending of this.#pending) {
      bytes += pending.bytes;
      if (count > 0 && bytes > this.#settings.maxBytes) break;
      count++;
      if (count === this.#settings.maxRecords) break;
    }
    return count;
  }
}
