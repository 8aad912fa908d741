/**
 * The append-only log of the platform stand-in: streams with offsets, long
 * polls and retention.
 *
 * @module
 */

import { HttpFailure } from "../http_messages.ts";

/** A record as the log keeps it. */
export interface KeptRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly value: unknown;
}

/** How long records are kept. */
export interface Retention {
  /** Records kept per stream. */
  records: number;
  /** Milliseconds that a record is kept. */
  ms: number;
}

/** The answer to a read. */
export interface ReadResult {
  readonly records: readonly KeptRecord[];
  /** First offset that is still kept. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly nextOffset: number;
}

interface Stream {
  firstOffset: number;
  records: KeptRecord[];
  readonly waiters: Set<() => void>;
}

/** All streams of one log. */
export class LogStreams {
  readonly #streams = new Map<string, Stream>();
  readonly #retention: Retention;

  constructor(retention: Retention) {
    this.#retention = retention;
  }

  /** Appends a contiguous batch. */
  append(
    name: string,
    values: readonly unknown[],
    options: { readonly nowMs: number },
  ): { readonly firstOffset: number; readonly lastOffset: number } {
    const stream = this.#stream(name);
    const firstOffset = endOffset(stream);
    values.forEach((value, index) => {
      const offset = firstOffset + index;
      stream.records.push({ offset, appendedAtMs: options.nowMs, value });
    });
    this.#expire(stream, options.nowMs);
    for (const wake of [...stream.waiters]) wake();
    return { firstOffset, lastOffset: firstOffset + values.length - 1 };
  }

  /** Reads from an offset; throws a 410 below the first kept offset. */
  read(
    name: string,
    options: {
      readonly from: number;
      readonly limit: number;
      readonly nowMs: number;
    },
  ): ReadResult {
    const stream = this.#stream(name);
    this.#expire(stream, options.nowMs);
    const { firstOffset } = stream;
    if (options.from < firstOffset) {
      throw new HttpFailure(410, "Records before firstOffset are gone", {
        firstOffset,
      });
    }
    const start = options.from - firstOffset;
    const records = stream.records.slice(start, start + options.limit);
    const nextOffset = endOffset(stream);
    return { records, firstOffset, nextOffset };
  }

  /** Resolves at the next append, at the time limit or at the abort. */
  waitForAppend(
    name: string,
    options: { readonly waitMs: number; readonly signal: AbortSignal },
  ): Promise<void> {
    const { waiters } = this.#stream(name);
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        options.signal.removeEventListener("abort", wake);
        resolve();
      };
      const timer = setTimeout(wake, options.waitMs).unref();
      waiters.add(wake);
      options.signal.addEventListener("abort", wake);
    });
  }

  /** First and next offsets by stream. */
  offsets(): Record<string, { firstOffset: number; endOffset: number }> {
    const entries = [...this.#streams].map(([name, stream]) => [
      name,
      { firstOffset: stream.firstOffset, endOffset: endOffset(stream) },
    ]);
    return Object.fromEntries(entries);
  }

  #stream(name: string): Stream {
    let stream = this.#streams.get(name);
    if (stream === undefined) {
      stream = { firstOffset: 0, records: [], waiters: new Set() };
      this.#streams.set(name, stream);
    }
    return stream;
  }

  #expire(stream: Stream, nowMs: number): void {
    const oldestMs = nowMs - this.#retention.ms;
    let gone = Math.max(0, stream.records.length - this.#retention.records);
    while ((stream.records[gone]?.appendedAtMs ?? Infinity) < oldestMs) gone++;
    if (gone === 0) return;
    stream.records.splice(0, gone);
    stream.firstOffset += gone;
  }
}

function endOffset(stream: Stream): number {
  return stream.firstOffset + stream.records.length;
}
