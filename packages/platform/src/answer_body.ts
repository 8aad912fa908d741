/**
 * Tells the body of an answer from a second copy of the answer in it.
 *
 * @module
 */

import { brandId, type RequestId } from "@endivebend/types";
import { type BoundedRequestId, boundRequestId } from "./bounded_names.ts";
import { HEADERS } from "./wire_names.ts";

/** Whose head has been found in the body. */
export type FoundHead =
  /** The answer's own: the server sends a second copy. */
  | "own"
  /** That of an answer to an earlier request on the connection. */
  | "earlier";

/** What the requests of a connection and the answer's own head tell. */
export interface AnswerIdentity {
  readonly requestId: RequestId;
  /** Requests that the connection has carried before. */
  readonly earlier: readonly BoundedRequestId[];
  /** Whether the answer has a length of its own, or chunks. */
  readonly isFramed: boolean;
}

const HEAD_MARK = "HTTP/1.";
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [^\r\n]*)?$/;
/** Version and status: bytes that begin so are kept from the caller. */
const MIN_PARTIAL_HEAD = /^HTTP\/1\.[01] [1-5]\d\d/;
const FIELD_LINE = /^([!#$%&'*+.^_`|~\w-]+):[ \t]*([^\r\n]*?)[ \t]*$/;
/** Node.js reads no longer heads. */
const MAX_HEAD_BYTES = 16_384;
const NOTHING = Buffer.alloc(0);

/**
 * Passes on the bytes of a body up to a head of the same answer, or of an
 * earlier one on the connection. An answer without a length ends with its
 * connection, and the copy's bytes fill up one that was cut off, so framing does
 * not tell a copy from the body.
 *
 * @example
 * ```ts
 * const body = new AnswerBody({ requestId, earlier: [], isFramed });
 * answer.on("data", (chunk) => relay(body.push(chunk)));
 * answer.on("end", () => relay(body.end() ?? breakOff()));
 * ```
 */
export class AnswerBody {
  readonly #identity: AnswerIdentity;
  /** Bytes that may begin a head. */
  #held: Buffer = NOTHING;
  #found: FoundHead | undefined;
  #bodyBytes = 0;
  #copyBytes = 0;

  constructor(identity: AnswerIdentity) {
    this.#identity = identity;
  }

  /** The head that ended the body; undefined while there is none. */
  get found(): FoundHead | undefined {
    return this.#found;
  }

  /**
   * Whether the head stands where more of the answer is due: within its length,
   * or before a copy that is longer than the body.
   */
  get isCutOff(): boolean {
    if (this.#found === undefined) return false;
    return this.#identity.isFramed || this.#found === "earlier" ||
      this.#copyBytes > this.#bodyBytes;
  }

  /** Returns the bytes of the body that are known not to begin a head. */
  push(chunk: Buffer): Buffer {
    if (this.#found !== undefined) {
      this.#copyBytes += chunk.length;
      return NOTHING;
    }
    const bytes = this.#held.length === 0
      ? chunk
      : Buffer.concat([this.#held, chunk]);
    const body = bytes.subarray(0, this.#findEnd(bytes));
    this.#bodyBytes += body.length;
    return body;
  }

  /**
   * Returns the last bytes of the body at the end of the answer; undefined when
   * they may be the beginning of a head, of which the rest is missing.
   */
  end(): Buffer | undefined {
    const held = this.#held;
    this.#held = NOTHING;
    const text = held.toString("latin1");
    if (!MIN_PARTIAL_HEAD.test(text)) {
      this.#bodyBytes += held.length;
      return held;
    }
    const fields = readFields(text.split("\r\n").slice(1, -1));
    this.#found = fields && this.#whose(fields);
    return this.#found === undefined ? undefined : NOTHING;
  }

  /** Finds where the body ends or may end, and takes what follows. */
  #findEnd(bytes: Buffer): number {
    let at = bytes.indexOf(HEAD_MARK);
    for (; at >= 0; at = bytes.indexOf(HEAD_MARK, at + 1)) {
      const rest = bytes.subarray(at);
      const read = readHead(rest);
      if (read === "incomplete") {
        this.#held = rest;
        return at;
      }
      this.#found = read && this.#whose(read.fields);
      if (read !== undefined && this.#found !== undefined) {
        this.#held = NOTHING;
        this.#copyBytes = rest.length - read.bytes;
        return at;
      }
    }
    const partial = partialMarkBytes(bytes);
    this.#held = partial === 0
      ? NOTHING
      : bytes.subarray(bytes.length - partial);
    return bytes.length - partial;
  }

  #whose(fields: ReadonlyMap<string, string>): FoundHead | undefined {
    const id = fields.get(HEADERS.requestId);
    const { requestId, earlier } = this.#identity;
    if (id === requestId) return "own";
    if (id !== undefined && earlier.includes(boundRequestId(brandId(id)))) {
      return "earlier";
    }
    // Refusals may lack an id.
    const isRefusal = id === undefined && fields.has(HEADERS.notRun);
    return isRefusal ? "earlier" : undefined;
  }
}

/**
 * Whether the bytes end in what may be the beginning of a head.
 *
 * @example
 * ```ts
 * mayEndInHead(Buffer.from("x\r\n0\r\n\r\nHTTP/1.1 20")); // true
 * ```
 */
export function mayEndInHead(bytes: Buffer): boolean {
  const at = bytes.lastIndexOf(HEAD_MARK);
  const isOpen = at >= 0 && readHead(bytes.subarray(at)) === "incomplete";
  return isOpen || partialMarkBytes(bytes) > 0;
}

/** Number of bytes at the end that may begin the mark of a head. */
function partialMarkBytes(bytes: Buffer): number {
  const end = bytes.toString("latin1", bytes.length - HEAD_MARK.length + 1);
  for (let length = end.length; length > 0; length--) {
    if (HEAD_MARK.startsWith(end.slice(-length))) return length;
  }
  return 0;
}

interface HeadRead {
  readonly bytes: number;
  /** Names in lower case. */
  readonly fields: ReadonlyMap<string, string>;
}

/**
 * Reads the head of an answer, with the informational ones before it. Returns
 * undefined when the bytes are none.
 */
function readHead(bytes: Buffer): HeadRead | "incomplete" | undefined {
  const text = bytes.toString("latin1", 0, MAX_HEAD_BYTES);
  let at = 0;
  while (true) {
    const end = text.indexOf("\r\n\r\n", at);
    const lines = (end < 0 ? text.slice(at) : text.slice(at, end))
      .split("\r\n");
    if (end < 0) {
      const isFull = text.length === MAX_HEAD_BYTES;
      return !isFull && mayBegin(lines) ? "incomplete" : undefined;
    }
    const status = STATUS_LINE.exec(lines[0]!)?.[1];
    const fields = readFields(lines.slice(1));
    if (status === undefined || fields === undefined) return undefined;
    at = end + 4;
    if (!status.startsWith("1")) return { bytes: at, fields };
  }
}

function readFields(
  lines: readonly string[],
): ReadonlyMap<string, string> | undefined {
  const fields = new Map<string, string>();
  for (const line of lines) {
    const [, name, value] = FIELD_LINE.exec(line) ?? [];
    if (name === undefined || value === undefined) return undefined;
    fields.set(name.toLowerCase(), value);
  }
  return fields;
}

/** Whether more bytes can make a head of these lines, the last in part. */
function mayBegin(lines: readonly string[]): boolean {
  const last = lines.at(-1)!.replace(/\r$/, "");
  if (lines.length === 1) return mayBeginStatusLine(last);
  return STATUS_LINE.test(lines[0]!) &&
    readFields(lines.slice(1, -1)) !== undefined && !/[\r\n]/.test(last) &&
    /^[!#$%&'*+.^_`|~\w-]*(?::.*)?$/.test(last);
}

function mayBeginStatusLine(line: string): boolean {
  const rest = "HTTP/1.1 200".slice(line.length);
  return STATUS_LINE.test(line + rest);
}
