/**
 * Follows one stream of the platform's log: reads it in offset order, applies
 * the records to a fold, and reads from peers while the platform does not
 * answer. It also appends records; when the answer to an append is lost, the
 * outcome is determined by reading the record back.
 *
 * @module
 */

import {
  brandId,
  type LogOffset,
  type LogRecord,
  type LogStream,
} from "@endivebend/types";
import type {
  AppendRecord,
  AppendResult,
  Clock,
  FollowedStream,
  Logger,
  Scheduler,
  StreamFold,
} from "../ports.ts";
import { appendUntilSettled } from "./append.ts";
import type { LogClient, PeerRecordSource } from "./log_client.ts";
import { RecentRecords } from "./recent_records.ts";

const MAX_RECORDS_PER_READ = 1000;
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

/** Dependencies of {@link LogFollower}. */
export interface FollowerOptions {
  readonly stream: LogStream;
  readonly fold: StreamFold;
  readonly log: LogClient;
  readonly peers: PeerRecordSource;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  readonly pollWaitMs: number;
}

interface OffsetWaiter {
  readonly offset: number;
  readonly resolve: (applied: boolean) => void;
}

/** One followed stream. Start it once; stop it when the daemon ends. */
export class LogFollower implements FollowedStream {
  readonly stream: LogStream;
  readonly #options: FollowerOptions;
  readonly #recentRecords = new RecentRecords();
  readonly #recordWaiters = new Map<string, (offset: LogOffset) => void>();
  #offsetWaiters: OffsetWaiter[] = [];
  #nextOffset = 0;
  #isCaughtUp = false;
  #lastAnswerMs: number;
  #isPlatformSilent = false;
  #isReadingFromPeers = false;
  /** First offset that the log held after the last gap. */
  #gapEndOffset = 0;
  /** Number of restored snapshots. */
  #restoreCount = 0;
  #stopped = false;
  #backoffMs = INITIAL_BACKOFF_MS;

  constructor(options: FollowerOptions) {
    this.stream = options.stream;
    this.#options = options;
    this.#lastAnswerMs = options.clock.elapsedMs();
  }

  /** Follows the stream until {@link stop}. */
  async start(): Promise<void> {
    while (!this.#stopped) await this.#readOnce();
  }

  stop(): void {
    this.#stopped = true;
    for (const waiter of this.#offsetWaiters) waiter.resolve(false);
    this.#offsetWaiters = [];
  }

  nextOffset(): number {
    return this.#nextOffset;
  }

  isCaughtUp(): boolean {
    return this.#isCaughtUp && this.#isComplete();
  }

  silenceMs(): number {
    return this.#options.clock.elapsedMs() - this.#lastAnswerMs;
  }

  append(
    record: AppendRecord,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<AppendResult> {
    return this.appendBatch([record], options);
  }

  appendBatch(
    records: readonly AppendRecord[],
    options: { readonly deadlineElapsedMs: number },
  ): Promise<AppendResult> {
    return appendUntilSettled(records, {
      deadlineElapsedMs: options.deadlineElapsedMs,
      clock: this.#options.clock,
      scheduler: this.#options.scheduler,
      append: (batch) => this.#options.log.append(this.stream, batch),
      whenRecordRead: (recordId) => this.#whenRecordRead(recordId),
    });
  }

  whenApplied(
    offset: LogOffset,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<boolean> {
    if (offset < this.#nextOffset) return Promise.resolve(true);
    return new Promise((resolve) => {
      const remainingMs = options.deadlineElapsedMs -
        this.#options.clock.elapsedMs();
      const cancel = this.#options.scheduler.after(
        Math.max(0, remainingMs),
        () => {
          this.#offsetWaiters = this.#offsetWaiters.filter((waiter) =>
            waiter.resolve !== settleWaiter
          );
          resolve(false);
        },
      );
      const settleWaiter = (applied: boolean) => {
        cancel();
        resolve(applied);
      };
      this.#offsetWaiters.push({ offset, resolve: settleWaiter });
    });
  }

  /**
   * Reports a peer's next offset. When the peer is ahead of this stream, the
   * records are read from peers: the long poll may hang on a connection that no
   * longer delivers data, and a change must not wait for its timeout.
   */
  onPeerProgress(peerNextOffset: number): void {
    const isBehind = peerNextOffset > this.#nextOffset;
    const isNeeded = isBehind || !this.#isComplete();
    if (isNeeded && !this.#stopped) void this.#readFromPeers();
  }

  /**
   * Returns records from an offset on for a peer, or undefined when some of
   * them are no longer retained.
   */
  recordsFrom(
    fromOffset: number,
    limit: number,
  ): readonly LogRecord[] | undefined {
    return this.#recentRecords.from(fromOffset, {
      nextOffset: this.#nextOffset,
      limit,
    });
  }

  #whenRecordRead(recordId: string) {
    const known = this.#recentRecords.offsetOf(recordId);
    let cancelWait = () => {};
    const recordRead = new Promise<LogOffset>((resolve) => {
      if (known !== undefined) return resolve(known);
      this.#recordWaiters.set(recordId, resolve);
      cancelWait = () => this.#recordWaiters.delete(recordId);
    });
    return { recordRead, cancelWait };
  }

  async #readOnce(): Promise<void> {
    try {
      await this.#readFromPlatform();
      this.#backoffMs = INITIAL_BACKOFF_MS;
    } catch (caught) {
      if (this.#stopped) return;
      this.#recordPlatformSilence(caught);
      await this.#readFromPeers();
      await this.#delayRetry();
    }
  }

  #isComplete(): boolean {
    return this.#options.fold.isComplete?.() ?? true;
  }

  async #readFromPlatform(): Promise<void> {
    const restoreCountBefore = this.#restoreCount;
    const result = await this.#options.log.read(this.stream, {
      fromOffset: this.#nextOffset,
      // A follower that has not caught up must not wait for the next record.
      waitMs: this.#isCaughtUp ? this.#options.pollWaitMs : 0,
      limit: MAX_RECORDS_PER_READ,
    });
    this.#recordPlatformAnswer();
    // A snapshot replaced the state during the read, so the result may no
    // longer continue from the state's offset.
    if (restoreCountBefore !== this.#restoreCount) return;
    if (result.kind === "truncated") {
      // A peer may hold records that the log has dropped.
      await this.#readFromPeers();
      this.#skipGap(result.firstOffset);
      return;
    }
    for (const record of result.records) this.#apply(record);
    if (this.#nextOffset >= result.nextOffset) this.#isCaughtUp = true;
    this.#resolveOffsetWaiters();
  }

  #skipGap(firstOffset: number): void {
    if (firstOffset <= this.#nextOffset) return;
    this.#options.fold.onGap?.(brandId<LogOffset>(firstOffset));
    this.#nextOffset = firstOffset;
    this.#gapEndOffset = firstOffset;
    // Peers must not receive the records around the gap as consecutive ones.
    this.#recentRecords.clear();
  }

  async #readFromPeers(): Promise<void> {
    if (this.#isReadingFromPeers) return;
    this.#isReadingFromPeers = true;
    try {
      await this.#applyPeerRecords();
    } finally {
      this.#isReadingFromPeers = false;
    }
  }

  async #applyPeerRecords(): Promise<void> {
    // No record precedes offset 0, so -1 makes the peer answer with a snapshot.
    const fromOffset = this.#isComplete() ? this.#nextOffset : -1;
    const answer = await this.#options.peers
      .fetch(this.stream, fromOffset)
      .catch(() => undefined);
    if (answer === undefined || this.#stopped) return;
    this.#restoreSnapshot(answer.snapshot);
    for (const record of answer.records) this.#apply(record);
    if (this.#nextOffset >= answer.nextOffset) this.#isCaughtUp = true;
    this.#resolveOffsetWaiters();
  }

  #restoreSnapshot(
    snapshot: { readonly json: string; readonly offset: number } | undefined,
  ): void {
    if (snapshot === undefined) return;
    // A state must not revert to an older one. Only a snapshot ahead of the
    // state is restored, or after a gap one that covers the gap.
    const minOffset = this.#isComplete()
      ? this.#nextOffset
      : this.#gapEndOffset - 1;
    if (snapshot.offset < minOffset) return;
    this.#restoreCount++;
    const offset = brandId<LogOffset>(snapshot.offset);
    this.#options.fold.restore?.(snapshot.json, offset);
    this.#nextOffset = snapshot.offset + 1;
    this.#recentRecords.clear();
  }

  #apply(record: LogRecord): void {
    if (record.offset < this.#nextOffset) return;
    this.#nextOffset = record.offset + 1;
    this.#recentRecords.add(record);
    this.#options.fold.apply(record);
    const recordId = readRecordId(record.value);
    if (recordId === undefined) return;
    this.#recordWaiters.get(recordId)?.(record.offset);
    this.#recordWaiters.delete(recordId);
  }

  #resolveOffsetWaiters(): void {
    const waiting: OffsetWaiter[] = [];
    for (const waiter of this.#offsetWaiters) {
      if (waiter.offset < this.#nextOffset) waiter.resolve(true);
      else waiting.push(waiter);
    }
    this.#offsetWaiters = waiting;
  }

  #recordPlatformAnswer(): void {
    this.#lastAnswerMs = this.#options.clock.elapsedMs();
    if (!this.#isPlatformSilent) return;
    this.#isPlatformSilent = false;
    this.#options.logger.info(
      { stream: this.stream, nextOffset: this.#nextOffset },
      "The platform's log answers again",
    );
  }

  #recordPlatformSilence(caught: unknown): void {
    if (this.#isPlatformSilent) return;
    this.#isPlatformSilent = true;
    this.#options.logger.warn(
      { stream: this.stream, cause: String(caught) },
      "The platform's log does not answer; reading records from peers",
    );
  }

  #delayRetry(): Promise<void> {
    const delayMs = this.#backoffMs;
    this.#backoffMs = Math.min(delayMs * 2, MAX_BACKOFF_MS);
    return new Promise((resolve) => {
      this.#options.scheduler.after(delayMs, resolve);
    });
  }
}

function readRecordId(value: unknown): string | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { recordId } = value as { readonly recordId?: unknown };
  return typeof recordId === "string" ? recordId : undefined;
}
