/**
 * Reads HTTP/1.1 messages from a byte stream as callers and servers do. It
 * keeps what follows a message, so that stray bytes are seen.
 *
 * @module
 */

/** Start line and headers; names in lower case. */
export interface MessageHead {
  readonly startLine: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A message that has been read to its end. */
export interface Message extends MessageHead {
  readonly body: string;
}

type BodyState =
  | { readonly kind: "length"; left: number }
  | { readonly kind: "chunked" }
  | { readonly kind: "until_close" };

const HEAD_END = "\r\n\r\n";
const LINE_END = "\r\n";

/**
 * Reads one message after the other. Bytes are taken as Latin-1 text.
 *
 * @example
 * ```ts
 * const reader = new HttpReader({ isAnswer: true });
 * reader.append(chunk);
 * const message = reader.take();
 * ```
 */
export class HttpReader {
  readonly #isAnswer: boolean;
  #text = "";
  #head: MessageHead | undefined;
  #state: BodyState | undefined;
  #body = "";
  #isMalformed = false;

  constructor({ isAnswer }: { readonly isAnswer: boolean }) {
    this.#isAnswer = isAnswer;
  }

  /** Bytes that have not been read as part of a message. */
  get rest(): string {
    return this.#text;
  }

  /** The head of the message that is being read. */
  get head(): MessageHead | undefined {
    return this.#head;
  }

  /** What has been read of the body. */
  get body(): string {
    return this.#body;
  }

  /** Whether the body ends with its connection. */
  get endsWithConnection(): boolean {
    return this.#state?.kind === "until_close";
  }

  /** Whether the bytes are no HTTP. */
  get isMalformed(): boolean {
    return this.#isMalformed;
  }

  append(bytes: Buffer): void {
    this.#text += bytes.toString("latin1");
  }

  /** The next message, when it has arrived to its end. */
  take(): Message | undefined {
    if (this.#head === undefined && !this.#readHead()) return undefined;
    return this.#readBody() ? this.#finish() : undefined;
  }

  #readHead(): boolean {
    const end = this.#text.indexOf(HEAD_END);
    if (end < 0) return false;
    const [startLine = "", ...lines] = this.#text.slice(0, end).split(LINE_END);
    this.#text = this.#text.slice(end + HEAD_END.length);
    const headers: Record<string, string> = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1)
        .trim();
    }
    const isHttp = this.#isAnswer
      ? /^HTTP\/1\.1 \d{3}/.test(startLine)
      : startLine.endsWith(" HTTP/1.1");
    if (!isHttp) this.#isMalformed = true;
    this.#head = { startLine, headers };
    this.#body = "";
    this.#state = this.#bodyState(headers);
    return true;
  }

  #bodyState(headers: Readonly<Record<string, string>>): BodyState {
    if (headers["transfer-encoding"] === "chunked") return { kind: "chunked" };
    const length = headers["content-length"];
    if (length === undefined && this.#isAnswer) return { kind: "until_close" };
    return { kind: "length", left: Number(length ?? 0) };
  }

  #readBody(): boolean {
    const state = this.#state!;
    if (state.kind === "chunked") return this.#readChunks();
    const left = state.kind === "length" ? state.left : this.#text.length;
    const part = this.#text.slice(0, left);
    this.#body += part;
    this.#text = this.#text.slice(part.length);
    if (state.kind === "until_close") return false;
    state.left -= part.length;
    return state.left === 0;
  }

  #readChunks(): boolean {
    for (;;) {
      const lineEnd = this.#text.indexOf(LINE_END);
      if (lineEnd < 0) return false;
      const size = Number.parseInt(this.#text.slice(0, lineEnd), 16);
      if (!Number.isFinite(size)) {
        this.#isMalformed = true;
        return false;
      }
      const start = lineEnd + LINE_END.length;
      const end = start + size + LINE_END.length;
      if (this.#text.length < end) return false;
      this.#body += this.#text.slice(start, start + size);
      this.#text = this.#text.slice(end);
      if (size === 0) return true;
    }
  }

  #finish(): Message {
    const message = { ...this.#head!, body: this.#body };
    this.#head = undefined;
    this.#state = undefined;
    return message;
  }
}
