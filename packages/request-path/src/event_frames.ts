/**
 * Splits the bytes of an event stream into complete events.
 *
 * @module
 */

import { ByteCollector, type MemoryBudget } from "@endivebend/byte-buffers";

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum size of a buffered event, 1 MiB. */
const MAX_EVENT_BYTES = 1_048_576;
const ID_FIELD = "id:";
/** Lines of other fields, comments and blank lines carry no answer. */
const CONTENT_LINE = /^(?:id|data)(?::|$)/;

/** One complete event with its closing empty line. */
export interface EventFrame {
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** False for comments and blank lines, which a stalled server may send. */
  readonly hasContent: boolean;
}

/**
 * Buffers bytes and returns complete events. When a server breaks off within an
 * event, the bytes of that event stay here and never reach the caller. Throws
 * when an event exceeds 1 MiB or the budget has no room.
 *
 * @example
 * ```ts
 * const frames = new EventFrames();
 * for (const { bytes } of frames.push(chunk)) caller.write(bytes);
 * ```
 */
export class EventFrames {
  readonly #pending: ByteCollector;
  /** What the line that is not ended yet has so far. */
  #line: LineStart = "empty";

  /** Takes the memory for an incomplete event from the budget. */
  constructor(memory: { readonly budget?: MemoryBudget } = {}) {
    this.#pending = new ByteCollector({ ...memory, maxBytes: MAX_EVENT_BYTES });
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#pending.length > 0;
  }

  push(chunk: Buffer): EventFrame[] {
    const frames: EventFrame[] = [];
    let start = 0;
    for (;;) {
      const end = this.#findEventEnd(chunk, start);
      const rest = chunk.subarray(start, end);
      if (end === undefined) {
        this.#keep(rest);
        return frames;
      }
      const event = this.#complete(rest);
      frames.push({ bytes: event, ...readFields(event) });
      start = end;
    }
  }

  /** Drops the event that is buffered. */
  clear(): void {
    this.#pending.clear();
    this.#line = "empty";
  }

  /** Joins the last bytes of an event with those that are buffered. */
  #complete(rest: Buffer): Buffer {
    if (this.#pending.length === 0) return rest;
    this.#keep(rest);
    return this.#pending.take();
  }

  #keep(bytes: Buffer): void {
    if (this.#pending.append(bytes)) return;
    this.clear();
    throw new Error(
      "The event is larger than 1 MiB or than memory allows; " +
        "treat it as malformed",
    );
  }

  /**
   * The index after the empty line that ends the event; undefined when the
   * chunk has none. Each byte is looked at once, in whatever chunks an event
   * comes.
   */
  #findEventEnd(chunk: Buffer, start: number): number | undefined {
    let from = start;
    for (;;) {
      const newline = chunk.indexOf(NEWLINE, from);
      const end = newline < 0 ? chunk.length : newline;
      if (end > from) this.#line = continueLine(this.#line, chunk, from, end);
      if (newline < 0) return undefined;
      const isEmptyLine = this.#line !== "text";
      this.#line = "empty";
      if (isEmptyLine) return newline + 1;
      from = newline + 1;
    }
  }
}

/** Whether a line has no byte yet, only a carriage return, or text. */
type LineStart = "empty" | "return" | "text";

/** The line after the bytes from `from` to `end`, of which there is one. */
function continueLine(
  line: LineStart,
  chunk: Buffer,
  from: number,
  end: number,
): LineStart {
  const isReturn = end - from === 1 && chunk[from] === CARRIAGE_RETURN;
  return line === "empty" && isReturn ? "return" : "text";
}

function readFields(event: Buffer): Omit<EventFrame, "bytes"> {
  let id: string | undefined;
  let hasContent = false;
  for (const line of event.toString("utf8").split(/\r?\n/)) {
    if (line.startsWith(ID_FIELD)) id = line.slice(ID_FIELD.length).trim();
    hasContent ||= CONTENT_LINE.test(line);
  }
  return { id, hasContent };
}
