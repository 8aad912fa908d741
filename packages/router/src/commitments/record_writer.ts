/**
 * Appends the records of many calls in batches.
 *
 * @module
 */

import { Batcher } from "@endivebend/commitments";
import type { LogOffset } from "@endivebend/types";
import type {
  AppendRecord,
  AppendResult,
  Clock,
  FollowedStream,
  Metrics,
  Scheduler,
} from "../ports.ts";
import type { CommitmentTaskSettings } from "./settings.ts";

/** Dependencies of {@link RecordWriter}. */
export interface RecordWriterOptions {
  readonly stream: FollowedStream;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly settings: CommitmentTaskSettings;
}

interface PendingRecord {
  readonly record: AppendRecord;
  readonly settle: (result: AppendResult) => void;
  /** Whether the record may have been sent to the log. */
  mayBeSent: boolean;
  settled: boolean;
}

/** Batches appends and resolves the result of each record. */
export class RecordWriter {
  readonly #options: RecordWriterOptions;
  readonly #batcher: Batcher<PendingRecord>;
  #cancelTimer: (() => void) | undefined;
  #isStopped = false;

  constructor(options: RecordWriterOptions) {
    this.#options = options;
    this.#batcher = new Batcher(options.settings.batch);
  }

  /** Sends nothing more; appends already sent may still take effect. */
  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
  }

  /**
   * Appends one record and resolves at the deadline at the latest. A record
   * that has not been sent by then is never sent, so `not_appended` stays true.
   */
  append(
    record: AppendRecord,
    options: {
      readonly deadlineElapsedMs: number;
      readonly maxWaitMs?: number;
    },
  ): Promise<AppendResult> {
    const { clock, scheduler } = this.#options;
    return new Promise((resolve) => {
      const waitMs = options.deadlineElapsedMs - clock.elapsedMs();
      const cancel = scheduler.after(Math.max(0, waitMs), () => {
        pending.settle(resultAtDeadline(pending.mayBeSent));
      });
      const pending: PendingRecord = {
        record,
        mayBeSent: false,
        settled: false,
        settle: (result) => {
          cancel();
          pending.settled = true;
          resolve(result);
        },
      };
      const bytes = JSON.stringify(record).length;
      const { maxWaitMs } = options;
      const waitOption = maxWaitMs === undefined ? {} : { maxWaitMs };
      this.#batcher.add(pending, {
        bytes,
        nowMs: clock.elapsedMs(),
        ...waitOption,
      });
      this.#sendDueBatches();
    });
  }

  /** Appends one record with any number of retries; false when stopped. */
  async appendWithRetry(record: AppendRecord): Promise<boolean> {
    const { clock, settings } = this.#options;
    while (!this.#isStopped) {
      const deadlineElapsedMs = clock.elapsedMs() + settings.appendTimeoutMs;
      const result = await this.append(record, {
        deadlineElapsedMs,
        maxWaitMs: settings.outcomeBatchWaitMs,
      });
      if (result.kind === "appended") return true;
      await this.#delay(settings.appendRetryDelayMs);
    }
    return false;
  }

  #sendDueBatches(): void {
    const { clock, scheduler } = this.#options;
    if (this.#isStopped) return;
    for (;;) {
      const batch = this.#batcher.take(clock.elapsedMs());
      if (batch === undefined) break;
      void this.#send(batch.filter((pending) => !pending.settled));
    }
    this.#cancelTimer?.();
    const dueAtMs = this.#batcher.nextDueMs();
    if (dueAtMs === undefined) return;
    const waitMs = Math.max(0, dueAtMs - clock.elapsedMs());
    this.#cancelTimer = scheduler.after(waitMs, () => this.#sendDueBatches());
  }

  async #send(batch: readonly PendingRecord[]): Promise<void> {
    const result = await this.#appendBatch(batch);
    batch.forEach((pending, index) => {
      if (!pending.settled) pending.settle(resultOfRecord(result, index));
    });
    this.#batcher.appendEnded();
    this.#sendDueBatches();
  }

  async #appendBatch(batch: readonly PendingRecord[]): Promise<AppendResult> {
    const { stream, clock, metrics, settings } = this.#options;
    if (batch.length === 0) return { kind: "not_appended", reason: "Empty" };
    for (const pending of batch) pending.mayBeSent = true;
    metrics.timing("commitments.batch_records", batch.length);
    const deadlineElapsedMs = clock.elapsedMs() + settings.appendTimeoutMs;
    const records = batch.map((pending) => pending.record);
    try {
      return await stream.appendBatch(records, { deadlineElapsedMs });
    } catch (caught) {
      return { kind: "unknown", reason: String(caught) };
    }
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.scheduler.after(delayMs, resolve);
    });
  }
}

function resultAtDeadline(mayBeSent: boolean): AppendResult {
  if (mayBeSent) {
    return { kind: "unknown", reason: "The log did not answer in time" };
  }
  return {
    kind: "not_appended",
    reason: "The deadline passed before the append",
  };
}

/** The offsets of a batch are contiguous and start with the result's. */
function resultOfRecord(result: AppendResult, index: number): AppendResult {
  if (result.kind !== "appended") return result;
  return { kind: "appended", offset: (result.offset + index) as LogOffset };
}
