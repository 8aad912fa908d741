/**
 * The latest records of a stream, retained for peers and for reading appended
 * records back.
 *
 * @module
 */

import type { LogOffset, LogRecord } from "@endivebend/types";

/**
 * Number of records that are always retained; the oldest are dropped when there
 * are more than twice as many. A peer further behind receives a snapshot.
 */
const RETAINED_RECORDS = 4096;

/** A bounded buffer of consecutive records. */
export class RecentRecords {
  #records: LogRecord[] = [];
  readonly #offsets = new Map<string, LogOffset>();

  add(record: LogRecord): void {
    this.#records.push(record);
    const recordId = recordIdOf(record);
    if (recordId !== undefined && !this.#offsets.has(recordId)) {
      this.#offsets.set(recordId, record.offset);
    }
    if (this.#records.length > 2 * RETAINED_RECORDS) this.#dropOldest();
  }

  clear(): void {
    this.#records = [];
    this.#offsets.clear();
  }

  offsetOf(recordId: string): LogOffset | undefined {
    return this.#offsets.get(recordId);
  }

  /**
   * Returns consecutive records from an offset on, or undefined when some of
   * them are no longer retained.
   */
  from(
    fromOffset: number,
    options: { readonly nextOffset: number; readonly limit: number },
  ): readonly LogRecord[] | undefined {
    if (fromOffset >= options.nextOffset) return [];
    const first = this.#records[0];
    if (first === undefined || first.offset > fromOffset) return undefined;
    const start = this.#records.findIndex((record) =>
      record.offset >= fromOffset
    );
    return this.#records.slice(start, start + options.limit);
  }

  #dropOldest(): void {
    const dropped = this.#records.splice(0, RETAINED_RECORDS);
    for (const record of dropped) {
      const recordId = recordIdOf(record);
      if (recordId !== undefined) this.#offsets.delete(recordId);
    }
  }
}

function recordIdOf(record: LogRecord): string | undefined {
  const value = record.value as { readonly recordId?: unknown } | null;
  return typeof value?.recordId === "string" ? value.recordId : undefined;
}
