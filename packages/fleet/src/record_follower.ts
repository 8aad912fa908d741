/**
 * Follows the keyed records of a store: reads the newest record of each key,
 * then the records after them, and starts over after a gap.
 *
 * @module
 */

import { type Clock, delay, type Scheduler, steadyMs } from "@endivebend/clock";
import {
  BEFORE_FIRST,
  eraOf,
  type LogPosition,
  logPosition,
  nextPosition,
  offsetOf,
} from "./log_position.ts";
import type { RecordTable } from "./record_table.ts";

/** One record; without a value, it removes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly position: LogPosition;
}

/** The store as the follower uses it. */
export interface RecordSource {
  /** How often the store has been restored from a copy, as it last stated. */
  readonly era: number;
  /** The newest record of every key, and the position to continue at. */
  newest(): Promise<{
    readonly records: readonly KeyedRecord[];
    readonly next: LogPosition;
  }>;
  /**
   * Records from the position on; `gap` when some of them have been deleted or
   * the store has been restored since.
   */
  read(from: LogPosition, waitMs: number): Promise<
    | {
      readonly kind: "records";
      readonly records: readonly KeyedRecord[];
      readonly next: LogPosition;
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
  /**
   * Whether the daemons themselves write the records. They write lost ones
   * again, so a record from before a restore stays though the store lacks it.
   */
  readonly isOwnTopic?: boolean;
  /** Called with all records that the store has. */
  listed?(records: readonly KeyedRecord[]): void;
  /** Called when the store was found to have been restored. */
  restored?(): void;
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

/**
 * Time after the return of a restored store at which all records are read
 * again, and those that it lacks are removed. Writers have written theirs again
 * within 2,000 ms.
 */
const REWRITTEN_AFTER_MS = 2_500;
/**
 * Time after the return at which what the store has is taken as it is. Until
 * then the copy may hold records of writers that have gone; they lapse after
 * three of their report intervals of 1,200 ms.
 */
const LAPSED_AFTER_MS = 6_000;

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** A running follower. */
export class RecordFollower {
  readonly #options: RecordFollowerOptions;
  #next: LogPosition | undefined;
  #backoffMs = FIRST_BACKOFF_MS;
  #isStoreLost = false;
  #hasStopped = false;
  #readAtMs = Number.NEGATIVE_INFINITY;
  #era: number | undefined;
  /** When all records are to be read, in ascending order. */
  #listAtMs: number[] = [];
  /** When the present era was found, which may be just after a restore. */
  #eraSinceMs = Number.NEGATIVE_INFINITY;

  constructor(options: RecordFollowerOptions) {
    this.#options = options;
  }

  /** When the last read that the store answered began, on the steady clock. */
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
    const beganAtMs = steadyMs(clock);
    const from = this.#from();
    const result = from === undefined
      ? { kind: "gap" as const }
      : await source.read(from, 0);
    if (result.kind === "gap") await this.#list();
    else table.apply(result.records);
    this.#noteRead(beganAtMs);
  }

  async #run(): Promise<void> {
    const { clock, minReadIntervalMs, isReader } = this.#options;
    while (!this.#hasStopped) {
      const startedAtMs = steadyMs(clock);
      this.#noteEra();
      const isReading = isReader === undefined || isReader();
      if (isReading || this.#isListingDue()) await this.#readOnce();
      const remainingMs = startedAtMs + minReadIntervalMs - steadyMs(clock);
      if (remainingMs > 0) await delay(this.#options.scheduler, remainingMs);
    }
  }

  /**
   * Schedules listings when the store has been restored, and takes it at its
   * word when it must be complete again.
   */
  #noteEra(): void {
    const { source, table, clock } = this.#options;
    const nowMs = steadyMs(clock);
    if (source.era !== this.#era) {
      const isRestore = this.#era !== undefined && this.#era > 0;
      this.#era = source.era;
      this.#eraSinceMs = nowMs;
      if (isRestore) {
        this.#listAtMs = [0, REWRITTEN_AFTER_MS, LAPSED_AFTER_MS]
          .map((afterMs) => nowMs + afterMs);
        this.#options.restored?.();
      }
    }
    if (nowMs >= this.#eraSinceMs + LAPSED_AFTER_MS) table.settle(this.#era);
  }

  #isListingDue(): boolean {
    const [dueAtMs] = this.#listAtMs;
    return dueAtMs !== undefined && steadyMs(this.#options.clock) >= dueAtMs;
  }

  async #readOnce(): Promise<void> {
    const beganAtMs = steadyMs(this.#options.clock);
    try {
      await this.#advance();
      this.#noteRead(beganAtMs);
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

  /** The answer may have waited, as in a process that was paused. */
  #noteRead(beganAtMs: number): void {
    this.#readAtMs = Math.max(this.#readAtMs, beganAtMs);
  }

  async #advance(): Promise<void> {
    const { source, table, waitMs } = this.#options;
    const from = this.#from();
    if (from === undefined) return await this.#list();
    // After a failure the store should answer at once, to show that it is back.
    const result = await source.read(from, this.#isStoreLost ? 0 : waitMs);
    if (result.kind === "gap") return await this.#list();
    const { next, records } = result;
    this.#next = next;
    const ignored = table.apply(records);
    this.#tell("after", { from, next, records: records.length, ignored });
  }

  async #list(): Promise<void> {
    const { source, table } = this.#options;
    const { records, next } = await source.newest();
    this.#noteEra();
    const keys = new Set(records.map(({ key }) => key));
    const nowMs = steadyMs(this.#options.clock);
    const isComplete = nowMs >= this.#eraSinceMs + REWRITTEN_AFTER_MS;
    this.#options.listed?.(records);
    const ignored = table.apply(records, {
      keys,
      isComplete,
      upTo: next,
      ...(this.#options.isOwnTopic === true
        ? { removesFrom: logPosition(eraOf(next), 0) }
        : {}),
    });
    this.#listAtMs = this.#listAtMs.filter((atMs) => atMs > nowMs);
    this.#next = next;
    this.#tell("newest", { next, records: records.length, ignored });
  }

  #tell(
    kind: RecordsRead["kind"],
    fields: {
      readonly from?: LogPosition;
      readonly next: LogPosition;
      readonly records: number;
      readonly ignored: number;
    },
  ): void {
    const { from, next, records, ignored } = fields;
    this.#options.wasRead?.({
      kind,
      era: eraOf(next),
      fromOffset: from && offsetOf(from),
      nextOffset: offsetOf(next),
      records,
      ignored,
    });
  }

  /** Position to continue at; undefined when all keys must be read again. */
  #from(): LogPosition | undefined {
    if (this.#isListingDue()) return undefined;
    const { newest } = this.#options.table;
    if (newest === BEFORE_FIRST) return this.#next;
    // Peers may have sent records that are newer than this daemon's last read.
    const afterNewest = nextPosition(newest);
    return this.#next !== undefined && this.#next > afterNewest
      ? this.#next
      : afterNewest;
  }
}
