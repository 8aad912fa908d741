/**
 * Follows the keyed records of a store: reads the newest record of each key,
 * then the records after them, and starts over after a gap.
 *
 * @module
 */

import { type Clock, delay, type Scheduler, steadyMs } from "@endivebend/clock";
import type { RecordTable } from "./record_table.ts";

/** One record; without a value, it removes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** The store as the follower uses it. */
export interface RecordSource {
  /** How often the store has been restored from a copy, as it last stated. */
  readonly era: number;
  /** The newest record of every key, and the offset to continue at. */
  newest(): Promise<{
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
  }>;
  /** Records from the offset on; `gap` when some of them have been deleted. */
  read(fromOffset: number, waitMs: number): Promise<
    | {
      readonly kind: "records";
      readonly records: readonly KeyedRecord[];
      readonly nextOffset: number;
    }
    | { readonly kind: "gap" }
  >;
}

/** Options of a follower. */
export interface RecordFollowerOptions {
  readonly source: RecordSource;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  /** How long the store may hold a read open until there is a record. */
  readonly waitMs: number;
  /** Minimum time between the starts of two reads. */
  readonly minReadIntervalMs: number;
  /** Whether this daemon reads now; false leaves reading to another daemon. */
  readonly isReader?: () => boolean;
  readonly table: RecordTable;
  /** Called after records were read, with what became of them. */
  wasRead?(fields: RecordsRead): void;
  /** Called at the first failed read. */
  lost(reason: string): void;
  /** Called at the first successful read after a failed one. */
  regained(): void;
}

/** What a read brought, and what the table made of it. */
export interface RecordsRead {
  readonly kind: "newest" | "after";
  readonly era: number;
  readonly fromOffset: number | undefined;
  readonly nextOffset: number;
  readonly records: number;
  /** Records that the table took for older than those it holds. */
  readonly ignored: number;
}

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** A running follower. */
export class RecordFollower {
  readonly #options: RecordFollowerOptions;
  #nextOffset: number | undefined;
  /** Whether records were deleted before they were read. */
  #hasGap = false;
  #backoffMs = FIRST_BACKOFF_MS;
  #isStoreLost = false;
  #hasStopped = false;
  #readAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: RecordFollowerOptions) {
    this.#options = options;
  }

  /** When the store last answered a read, on the steady clock. */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#hasStopped = true;
  }

  /**
   * Reads what is new at once, beside a read that the store holds open. Rejects
   * when the store does not answer.
   */
  async refresh(): Promise<void> {
    const { source, table, clock } = this.#options;
    const fromOffset = this.#fromOffset();
    if (fromOffset === undefined) return;
    const result = await source.read(fromOffset, 0);
    if (result.kind === "gap") this.#hasGap = true;
    else table.apply(result.records);
    this.#readAtMs = steadyMs(clock);
  }

  async #run(): Promise<void> {
    const { clock, minReadIntervalMs, isReader } = this.#options;
    while (!this.#hasStopped) {
      const startedAtMs = steadyMs(clock);
      if (isReader === undefined || isReader()) await this.#readOnce();
      const remainingMs = startedAtMs + minReadIntervalMs - steadyMs(clock);
      if (remainingMs > 0) await delay(this.#options.scheduler, remainingMs);
    }
  }

  async #readOnce(): Promise<void> {
    try {
      await this.#advance();
      this.#readAtMs = steadyMs(this.#options.clock);
      this.#backoffMs = FIRST_BACKOFF_MS;
      if (!this.#isStoreLost) return;
      this.#isStoreLost = false;
      this.#options.regained();
    } catch (caught) {
      if (!this.#isStoreLost) this.#options.lost((caught as Error).message);
      this.#isStoreLost = true;
      const delayMs = this.#backoffMs * (0.5 + Math.random());
      await delay(this.#options.scheduler, delayMs);
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
    }
  }

  async #advance(): Promise<void> {
    const { source, table, waitMs } = this.#options;
    const fromOffset = this.#fromOffset();
    if (fromOffset === undefined) {
      const { records, nextOffset } = await source.newest();
      const ignored = table.apply(
        records,
        new Set(records.map(({ key }) => key)),
      );
      this.#tell("newest", { nextOffset, records: records.length, ignored });
      this.#nextOffset = nextOffset;
      this.#hasGap = false;
      return;
    }
    // After a failure the store should answer at once, to show that it is back.
    const result = await source.read(
      fromOffset,
      this.#isStoreLost ? 0 : waitMs,
    );
    if (result.kind === "gap") {
      this.#hasGap = true;
      return await this.#advance();
    }
    this.#nextOffset = result.nextOffset;
    const ignored = table.apply(result.records);
    const { nextOffset, records } = result;
    this.#tell("after", {
      fromOffset,
      nextOffset,
      records: records.length,
      ignored,
    });
  }

  #tell(
    kind: RecordsRead["kind"],
    fields: {
      readonly fromOffset?: number;
      readonly nextOffset: number;
      readonly records: number;
      readonly ignored: number;
    },
  ): void {
    const { source, wasRead } = this.#options;
    const { fromOffset, ...rest } = fields;
    wasRead?.({ kind, era: source.era, fromOffset, ...rest });
  }

  /** Offset to continue at; undefined when all keys must be read again. */
  #fromOffset(): number | undefined {
    if (this.#hasGap) return undefined;
    const { highestOffset } = this.#options.table;
    // Peers may have sent records that are newer than this daemon's last read.
    const next = Math.max(this.#nextOffset ?? 0, highestOffset + 1);
    return highestOffset < 0 && this.#nextOffset === undefined
      ? undefined
      : next;
  }
}
