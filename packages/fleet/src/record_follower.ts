/**
 * Follows keyed records that a store keeps: takes the newest of each key, then
 * reads on, and starts over after a gap.
 *
 * @module
 */

import { type Clock, pause, type Scheduler, steadyMs } from "@endivebend/clock";
import type { RecordTable } from "./record_table.ts";

/** One record; without a value, the key has been removed. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
  readonly offset: number;
}

/** What the follower needs of the store. */
export interface RecordSource {
  /** The newest record of every key, and where to read on. */
  newest(): Promise<{
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
  }>;
  /** Records from the offset on; `gap` when they have been deleted. */
  read(fromOffset: number, waitMs: number): Promise<
    | {
      readonly kind: "records";
      readonly records: readonly KeyedRecord[];
      readonly nextOffset: number;
    }
    | { readonly kind: "gap" }
  >;
}

/** How records are followed and who hears of them. */
export interface RecordFollowerOptions {
  readonly source: RecordSource;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  /** How long the store may hold a read until a record comes. */
  readonly waitMs: number;
  /** Least time between the starts of two reads. */
  readonly minReadIntervalMs: number;
  /** Whether this daemon reads now; false leaves it to another one. */
  readonly isReader?: () => boolean;
  readonly table: RecordTable;
  lost(reason: string): void;
  regained(): void;
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

  async #run(): Promise<void> {
    const { clock, minReadIntervalMs: minReadIntervalMs, isReader } =
      this.#options;
    while (!this.#hasStopped) {
      const startedAtMs = steadyMs(clock);
      if (isReader === undefined || isReader()) await this.#readOnce();
      const remainingMs = startedAtMs + minReadIntervalMs - steadyMs(clock);
      if (remainingMs > 0) await pause(this.#options.scheduler, remainingMs);
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
      await pause(this.#options.scheduler, delayMs);
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
    }
  }

  async #advance(): Promise<void> {
    const { source, table, waitMs } = this.#options;
    const fromOffset = this.#fromOffset();
    if (fromOffset === undefined) {
      const { records, nextOffset } = await source.newest();
      table.apply(records, new Set(records.map(({ key }) => key)));
      this.#nextOffset = nextOffset;
      this.#hasGap = false;
      return;
    }
    // After a loss, the first answer should come at once.
    const result = await source.read(
      fromOffset,
      this.#isStoreLost ? 0 : waitMs,
    );
    if (result.kind === "gap") {
      this.#hasGap = true;
      return await this.#advance();
    }
    this.#nextOffset = result.nextOffset;
    table.apply(result.records);
  }

  /** Where to read on; undefined when everything must be read anew. */
  #fromOffset(): number | undefined {
    if (this.#hasGap) return undefined;
    const { highestOffset } = this.#options.table;
    // Peers may have handed on what came after this daemon last read.
    const next = Math.max(this.#nextOffset ?? 0, highestOffset + 1);
    return highestOffset < 0 && this.#nextOffset === undefined
      ? undefined
      : next;
  }
}
