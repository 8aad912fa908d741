/**
 * An in-memory log with scripted faults, and a follower for each process.
 *
 * @module
 */

import type { LogOffset, LogRecord } from "@endivebend/types";
import type {
  AppendRecord,
  AppendResult,
  FollowedStream,
  StreamFold,
} from "../../ports.ts";
import type { ProcessTime, VirtualTime } from "./virtual_time.ts";

/** A fault of one append. */
export interface AppendFault {
  readonly kind: "none" | "refused" | "lost_request" | "lost_answer" | "twice";
  readonly delayMs: number;
  /** Delay of the answer and of the second copy, after the append. */
  readonly laterMs: number;
}

const NO_FAULT: AppendFault = { kind: "none", delayMs: 2, laterMs: 2 };

/** A log that all processes of a test share. */
export class FakeLog {
  readonly records: LogRecord[] = [];
  readonly time: VirtualTime;
  /** Faults of the next appends, in order; later ones have none. */
  readonly faults: AppendFault[] = [];
  readonly outages: { readonly fromMs: number; readonly untilMs: number }[] =
    [];
  /** Followers get no records before this offset. */
  firstOffset = 0;
  /** Appends that took effect. */
  appends = 0;
  readonly #followers = new Set<FakeFollower>();

  constructor(time: VirtualTime) {
    this.time = time;
  }

  get isUnavailable(): boolean {
    const nowMs = this.time.elapsedMs();
    return this.outages.some((o) => o.fromMs <= nowMs && nowMs < o.untilMs);
  }

  follow(follower: FakeFollower): void {
    this.#followers.add(follower);
  }

  nextFault(): AppendFault {
    return this.faults.shift() ?? NO_FAULT;
  }

  write(values: readonly AppendRecord[]): number {
    const first = this.records.length;
    this.appends++;
    const appendedAtMs = this.time.wallMs();
    for (const value of values) {
      const offset = this.records.length as LogOffset;
      // Through JSON, as over the network.
      const copy: unknown = JSON.parse(JSON.stringify(value));
      this.records.push({ offset, appendedAtMs, value: copy });
    }
    for (const follower of this.#followers) follower.poll();
    return first;
  }
}

/** Reads the log for one process and appends to it. */
export class FakeFollower implements FollowedStream {
  readonly stream = "commitments";
  readonly #log: FakeLog;
  readonly #time: ProcessTime;
  readonly #fold: () => StreamFold;
  readonly #lagMs: number;
  readonly #waiters = new Set<() => void>();
  #nextOffset = 0;
  #isCaughtUp = false;
  #lastAnswerAtMs: number;

  constructor(
    log: FakeLog,
    time: ProcessTime,
    options: { readonly fold: () => StreamFold; readonly lagMs: number },
  ) {
    this.#log = log;
    this.#time = time;
    this.#fold = options.fold;
    this.#lagMs = options.lagMs;
    this.#lastAnswerAtMs = time.elapsedMs();
    log.follow(this);
    time.after(0, () => this.#readRepeatedly());
  }

  nextOffset(): number {
    return this.#nextOffset;
  }

  isCaughtUp(): boolean {
    return this.#isCaughtUp;
  }

  silenceMs(): number {
    return this.#time.elapsedMs() - this.#lastAnswerAtMs;
  }

  /** Reads the log after the follower's lag. */
  poll(): void {
    this.#time.after(this.#lagMs, () => this.#read());
  }

  append(
    record: AppendRecord,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<AppendResult> {
    return this.appendBatch([record], options);
  }

  appendBatch(
    records: readonly AppendRecord[],
    { deadlineElapsedMs }: { readonly deadlineElapsedMs: number },
  ): Promise<AppendResult> {
    return new Promise((resolve) => {
      const remainingMs = deadlineElapsedMs - this.#time.elapsedMs();
      this.#time.after(Math.max(0, remainingMs), () => {
        resolve({ kind: "unknown", reason: "No answer" });
      });
      this.#send(records, resolve);
    });
  }

  async whenApplied(
    offset: LogOffset,
    { deadlineElapsedMs }: { readonly deadlineElapsedMs: number },
  ): Promise<boolean> {
    while (this.#nextOffset <= offset) {
      const remainingMs = deadlineElapsedMs - this.#time.elapsedMs();
      if (remainingMs <= 0) return false;
      await new Promise<void>((resolve) => {
        this.#waiters.add(resolve);
        this.#time.after(remainingMs, resolve);
      });
    }
    return true;
  }

  #send(
    records: readonly AppendRecord[],
    resolve: (result: AppendResult) => void,
  ): void {
    const { kind, delayMs, laterMs } = this.#log.nextFault();
    if (kind === "refused") {
      return resolve({ kind: "not_appended", reason: "Refused" });
    }
    // A sent append takes effect even when the sender is paused or ends.
    this.#log.time.after(delayMs, () => {
      if (kind === "lost_request" || this.#log.isUnavailable) return;
      const offset = this.#log.write(records) as LogOffset;
      if (kind === "twice") {
        this.#log.time.after(laterMs, () => this.#log.write(records));
      }
      if (kind === "lost_answer") return;
      this.#time.after(laterMs, () => resolve({ kind: "appended", offset }));
    });
  }

  #readRepeatedly(): void {
    this.#read();
    this.#time.after(50, () => this.#readRepeatedly());
  }

  #read(): void {
    if (this.#log.isUnavailable) return;
    this.#lastAnswerAtMs = this.#time.elapsedMs();
    if (this.#nextOffset < this.#log.firstOffset) {
      this.#nextOffset = this.#log.firstOffset;
      this.#fold().onGap?.(this.#nextOffset as LogOffset);
    }
    for (const record of this.#log.records.slice(this.#nextOffset)) {
      this.#nextOffset = record.offset + 1;
      this.#fold().apply(record);
    }
    this.#isCaughtUp = true;
    for (const resolve of [...this.#waiters]) resolve();
    this.#waiters.clear();
  }
}
