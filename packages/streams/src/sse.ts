/**
 * An incremental parser of server-sent events.
 *
 * @module
 */

import { createError } from "@endivebend/errors";

/** One event of a server-sent event stream. */
export interface SseEvent {
  /** The event type; `message` if the stream sets none. */
  readonly type: string;
  readonly data: string;
  readonly id: string | undefined;
}

/** Options of {@link SseParser}. */
export interface SseParserOptions {
  /** Largest size of one event in bytes, its field names included. */
  readonly maxEventBytes: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BYTE_ORDER_MARK = "\ufeff";

/**
 * Parses server-sent events from byte chunks with arbitrary boundaries. Lines
 * are split as bytes and decoded when complete, so that a character that spans
 * two chunks is decoded correctly.
 *
 * @example
 * ```ts
 * const parser = new SseParser({ maxEventBytes: 1 << 20 });
 * parser.push(Buffer.from("data: a\n\n")); // [{ type: "message", data: "a" }]
 * ```
 */
export class SseParser {
  readonly #maxEventBytes: number;
  #pendingChunks: Uint8Array[] = [];
  #pendingBytes = 0;
  #eventBytes = 0;
  #skipLineFeed = false;
  #isFirstLine = true;
  #dataLines: string[] = [];
  #eventType = "";
  #lastEventId: string | undefined;

  constructor(options: SseParserOptions) {
    this.#maxEventBytes = options.maxEventBytes;
  }

  /** Whether parts of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#pendingBytes > 0 || this.#dataLines.length > 0;
  }

  /**
   * Parses the next bytes and returns the events that they complete.
   *
   * @throws `backend_server_failed` when an event exceeds `maxEventBytes`.
   */
  push(bytes: Uint8Array): SseEvent[] {
    const events: SseEvent[] = [];
    let start = 0;
    for (let index = 0; index < bytes.length; index++) {
      const byte = bytes[index];
      if (byte === LINE_FEED && this.#skipLineFeed) {
        this.#skipLineFeed = false;
        start = index + 1;
        continue;
      }
      this.#skipLineFeed = false;
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue;
      this.#skipLineFeed = byte === CARRIAGE_RETURN;
      const event = this.#completeLine(bytes.subarray(start, index));
      if (event !== undefined) events.push(event);
      start = index + 1;
    }
    this.#bufferPartialLine(bytes.subarray(start));
    return events;
  }

  #bufferPartialLine(bytes: Uint8Array): void {
    if (bytes.length === 0) return;
    this.#countEventBytes(bytes.length);
    // Copied because the reader may reuse the chunk's memory.
    this.#pendingChunks.push(Uint8Array.from(bytes));
    this.#pendingBytes += bytes.length;
  }

  #countEventBytes(byteCount: number): void {
    this.#eventBytes += byteCount;
    if (this.#eventBytes <= this.#maxEventBytes) return;
    throw createError(
      "backend_server_failed",
      `An event of the stream exceeds ${this.#maxEventBytes} bytes`,
    );
  }

  #completeLine(tail: Uint8Array): SseEvent | undefined {
    this.#countEventBytes(tail.length + 1);
    const line = this.#decodeLine(tail);
    if (line === "") return this.#completeEvent();
    this.#readField(line);
    return undefined;
  }

  #decodeLine(tail: Uint8Array): string {
    const bytes = this.#pendingBytes === 0
      ? Buffer.from(tail.buffer, tail.byteOffset, tail.byteLength)
      : Buffer.concat([...this.#pendingChunks, tail]);
    this.#pendingChunks = [];
    this.#pendingBytes = 0;
    const line = bytes.toString("utf8");
    const isFirstLine = this.#isFirstLine;
    this.#isFirstLine = false;
    return isFirstLine && line.startsWith(BYTE_ORDER_MARK)
      ? line.slice(1)
      : line;
  }

  #readField(line: string): void {
    const colon = line.indexOf(":");
    if (colon === 0) return;
    const name = colon < 0 ? line : line.slice(0, colon);
    const rest = colon < 0 ? "" : line.slice(colon + 1);
    const value = rest.startsWith(" ") ? rest.slice(1) : rest;
    if (name === "data") this.#dataLines.push(value);
    if (name === "event") this.#eventType = value;
    if (name === "id" && !value.includes("\0")) this.#lastEventId = value;
  }

  #completeEvent(): SseEvent | undefined {
    const event = {
      type: this.#eventType === "" ? "message" : this.#eventType,
      data: this.#dataLines.join("\n"),
      id: this.#lastEventId,
    };
    const hasData = this.#dataLines.length > 0;
    this.#dataLines = [];
    this.#eventType = "";
    this.#eventBytes = 0;
    return hasData ? event : undefined;
  }
}
