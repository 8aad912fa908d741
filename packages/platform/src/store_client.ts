/**
 * The client of the platform's metadata store. Every call to the store goes
 * through it.
 *
 * @module
 */

import { Agent, request } from "node:http";
import { ByteCollector } from "@endivebend/byte-buffers";
import {
  eraOf,
  type KeyedRecord,
  type LogPosition,
  logPosition,
  offsetOf,
  type RecordSource,
} from "@endivebend/fleet";
import { HEADERS } from "./wire_names.ts";

/** Time limit of a call, in addition to the wait that a long poll asks for. */
const CALL_TIMEOUT_MS = 1_000;
/** Largest answer that is read, in bytes. Reads ask for 1 MB at most. */
const MAX_ANSWER_BYTES = 16_777_216;
const LENGTH_PREFIX_BYTES = 4;
/** Records may expire between an answer that names the first and the next. */
const MAX_RETAINED_READS = 3;
/**
 * An answer to a read starts with the partition's end and its first retained
 * offset, 8 bytes each.
 */
const READ_PREFIX_BYTES = 16;

/** An HTTP answer of the store, read to its end. */
interface StoreAnswer {
  readonly status: number;
  readonly body: Buffer;
  /** How often the store had been restored when it answered. */
  readonly era: number;
}

/** An answer to a read; it says which records remain if these were deleted. */
type ReadAnswer =
  | {
    readonly kind: "records";
    readonly records: readonly Buffer[];
    readonly next: LogPosition;
    /** Whether the partition ended after these records. */
    readonly isEnd: boolean;
  }
  | { readonly kind: "deleted"; readonly body: Buffer };

/** Result of an append. */
export type AppendResult =
  | { readonly kind: "appended"; readonly position: LogPosition }
  /** Nothing was appended: the partition ends at `end`, not where expected. */
  | { readonly kind: "moved"; readonly end: LogPosition };

/**
 * Client of the store's HTTP interface. Calls reject when the store does not
 * answer in time or answers with an unexpected status.
 */
export class StoreClient {
  readonly #host: string;
  readonly #port: number;
  #agent = newAgent();
  #isReachable = true;
  #era = 0;
  readonly #callCounts: Record<string, number> = {};

  constructor(address: string) {
    const [host = "", port = ""] = address.split(":");
    this.#host = host;
    this.#port = Number(port);
  }

  /** Number of calls since the start, by path and topic. */
  get callCounts(): Readonly<Record<string, number>> {
    return this.#callCounts;
  }

  /** Whether the store answered the last call with neither 5xx nor 429. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** The highest era that an answer has stated; 0 before the first. */
  get era(): number {
    return this.#era;
  }

  /**
   * Appends a record; with `at`, only if the partition ends at that offset,
   * also when the store has been restored meanwhile.
   */
  async append(
    topic: string,
    record: Buffer,
    { at }: { readonly at?: number } = {},
  ): Promise<AppendResult> {
    const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
    length.writeUInt32BE(record.length);
    const offsetQuery = at === undefined ? "" : `&at=${at}`;
    const { status, body, era } = await this.#call({
      method: "POST",
      path: `/api/log-append?topic=${topic}&part=0${offsetQuery}`,
      body: Buffer.concat([length, record]),
    });
    const fields = status === 200 || status === 412
      ? parseJsonObject(body)
      : {};
    if (status === 200) {
      const position = logPosition(era, Number(fields["offset"]));
      return { kind: "appended", position };
    }
    if (status === 412) {
      return { kind: "moved", end: logPosition(era, Number(fields["end"])) };
    }
    throw new Error(
      `The store answered an append with status ${status}, not 200 or 412`,
    );
  }

  /** Deletes the records of a topic before the offset. */
  async trim(topic: string, before: number): Promise<void> {
    const { status } = await this.#call({
      method: "POST",
      path: "/api/log-trim",
      body: Buffer.from(JSON.stringify({ topic, part: 0, before })),
      contentType: "application/json",
    });
    if (status === 200) return;
    throw new Error(`The store answered a trim with status ${status}, not 200`);
  }

  /**
   * Appends a record under a key; the store retains the newest of each key.
   * Without a value the key is removed. With `at`, as in {@link append}.
   */
  appendKeyed(
    topic: string,
    key: string,
    value: Buffer = Buffer.alloc(0),
    condition: { readonly at?: number } = {},
  ) {
    const name = Buffer.from(key);
    const record = Buffer.concat([Buffer.from([name.length]), name, value]);
    return this.append(topic, record, condition);
  }

  /**
   * Reads the records of a topic from a position on, waiting up to `waitMs` for
   * the first. Returns undefined when the records there were deleted or the
   * store has been restored since: it has other records at these offsets.
   */
  async read(
    topic: string,
    from: LogPosition,
    waitMs: number,
  ): Promise<
    | { readonly records: readonly Buffer[]; readonly next: LogPosition }
    | undefined
  > {
    const answer = await this.#readFrom(topic, offsetOf(from), waitMs);
    const isOtherEra = answer.kind === "records" &&
      eraOf(answer.next) !== eraOf(from);
    return answer.kind === "deleted" || isOtherEra ? undefined : answer;
  }

  /**
   * Reads the records that a topic retains from an offset on, or all that it
   * retains when it has deleted some of these or does not reach that far.
   */
  async readRetained(
    topic: string,
    fromOffset: number,
  ): Promise<
    {
      readonly records: readonly Buffer[];
      readonly next: LogPosition;
      readonly isEnd: boolean;
    }
  > {
    let from = fromOffset;
    for (let attempt = 0; attempt < MAX_RETAINED_READS; attempt++) {
      const answer = await this.#readFrom(topic, from, 0);
      if (answer.kind === "records") return answer;
      from = Number(parseJsonObject(answer.body)["first"]);
    }
    throw new Error("The store deletes records faster than they can be read");
  }

  async #readFrom(
    topic: string,
    fromOffset: number,
    waitMs: number,
  ): Promise<ReadAnswer> {
    const { status, body, era } = await this.#call({
      method: "GET",
      path:
        `/api/log-read?topic=${topic}&part=0&from=${fromOffset}&wait_ms=${waitMs}`,
      timeoutMs: waitMs + CALL_TIMEOUT_MS,
    });
    if (status === 410) return { kind: "deleted", body };
    if (status !== 200) {
      throw new Error(
        `The store answered a read with status ${status}, not 200 or 410`,
      );
    }
    const records = splitRecords(body.subarray(READ_PREFIX_BYTES));
    const next = logPosition(era, fromOffset + records.length);
    const end = Number(body.readBigUInt64BE(0));
    return { kind: "records", records, next, isEnd: offsetOf(next) >= end };
  }

  /**
   * Reads the newest record of each key of a topic, and the position from which
   * to read on. Rejects when the store is restored between two pages.
   */
  async newest(topic: string): Promise<{
    readonly records: readonly KeyedRecord[];
    readonly next: LogPosition;
  }> {
    const records: KeyedRecord[] = [];
    // The pages are not one snapshot. Reading on from the end that the first
    // page states misses no record.
    let next: LogPosition | undefined;
    let cursorQuery = "";
    for (;;) {
      const { status, body, era } = await this.#call({
        method: "GET",
        path: `/api/log-newest?topic=${topic}&part=0${cursorQuery}`,
      });
      if (status !== 200) {
        throw new Error(
          `The store answered a listing with status ${status}, not 200`,
        );
      }
      const page = parseJsonObject(body);
      const items = page["items"] as Record<string, unknown>[];
      for (const item of items) {
        records.push({
          key: String(item["key"]),
          value: Buffer.from(String(item["value"]), "base64"),
          position: logPosition(era, Number(item["offset"])),
        });
      }
      next ??= logPosition(era, Number(page["end"]));
      if (eraOf(next) !== era) {
        throw new Error("The store was restored while it was listed");
      }
      const last = records.at(-1);
      if (page["has_more"] !== true || last === undefined) break;
      cursorQuery = `&after=${encodeURIComponent(last.key)}`;
    }
    return { records, next };
  }

  /** Adapts a keyed topic to the interface that record followers read. */
  keyedRecordSource(topic: string): RecordSource {
    const era = () => this.#era;
    return {
      get era() {
        return era();
      },
      newest: () => this.newest(topic),
      read: async (from, waitMs) => {
        const answer = await this.read(topic, from, waitMs);
        if (answer === undefined) return { kind: "gap" };
        const records = answer.records.map((bytes, index) => {
          const offset = offsetOf(from) + index;
          return parseKeyedRecord(bytes, logPosition(eraOf(from), offset));
        });
        return { kind: "records", records, next: answer.next };
      },
    };
  }

  /**
   * Returns the era that an answer states. When it is a later one, the other
   * connections are closed: reads that the store holds open on them wait for
   * offsets of the time before.
   */
  #noteEra(header: string | string[] | undefined): number {
    const era = parseEra(header) ?? this.#era;
    if (era <= this.#era) return era;
    const wasKnown = this.#era > 0;
    this.#era = era;
    if (wasKnown) this.#renewAgent();
    return era;
  }

  #renewAgent(): void {
    const former = this.#agent;
    this.#agent = newAgent();
    former.destroy();
  }

  #call(call: {
    readonly method: string;
    readonly path: string;
    readonly body?: Buffer;
    /** Records by default. */
    readonly contentType?: string;
    readonly timeoutMs?: number;
  }): Promise<StoreAnswer> {
    const { method, path, body } = call;
    const [kind = path] = path.split("&", 1);
    this.#callCounts[kind] = (this.#callCounts[kind] ?? 0) + 1;
    const agent = this.#agent;
    return new Promise((resolve, reject) => {
      const outgoing = request({
        agent,
        host: this.#host,
        port: this.#port,
        method,
        path,
        headers: body === undefined ? {} : {
          "content-type": call.contentType ?? "application/octet-stream",
          "content-length": body.length,
        },
      }, (answer) => {
        const received = new ByteCollector({ maxBytes: MAX_ANSWER_BYTES });
        answer.on("data", (chunk: Buffer) => {
          if (received.append(chunk)) return;
          outgoing.destroy(new Error("The store's answer is too large"));
        });
        answer.on("error", fail);
        answer.on("end", () => {
          clearTimeout(timer);
          const status = answer.statusCode ?? 0;
          this.#isReachable = status < 500 && status !== 429;
          const era = this.#noteEra(answer.headers[HEADERS.storeEra]);
          resolve({ status, body: received.take(), era });
        });
      });
      const timer = setTimeout(
        () => outgoing.destroy(new Error("The store did not answer in time")),
        call.timeoutMs ?? CALL_TIMEOUT_MS,
      );
      const fail = (error: Error) => {
        clearTimeout(timer);
        reject(error);
        if (agent !== this.#agent) return;
        this.#isReachable = false;
        // The other open connections may not answer either.
        this.#renewAgent();
      };
      outgoing.on("error", fail);
      outgoing.end(body);
    });
  }
}

function parseEra(header: string | string[] | undefined): number | undefined {
  const era = Number(header);
  return header !== undefined && Number.isSafeInteger(era) ? era : undefined;
}

function newAgent(): Agent {
  return new Agent({ keepAlive: true });
}

function parseJsonObject(body: Buffer): Record<string, unknown> {
  return JSON.parse(body.toString("utf8")) as Record<string, unknown>;
}

function splitRecords(bytes: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let start = 0;
  while (start + LENGTH_PREFIX_BYTES <= bytes.length) {
    const end = start + LENGTH_PREFIX_BYTES + bytes.readUInt32BE(start);
    if (end > bytes.length) break;
    records.push(bytes.subarray(start + LENGTH_PREFIX_BYTES, end));
    start = end;
  }
  return records;
}

/**
 * Parses a record of a keyed topic: one byte with the key's length, the key,
 * the value. An empty value marks a removed key.
 */
function parseKeyedRecord(bytes: Buffer, position: LogPosition): KeyedRecord {
  const length = bytes[0] ?? 0;
  const value = bytes.subarray(1 + length);
  return {
    key: bytes.subarray(1, 1 + length).toString("utf8"),
    value: value.length === 0 ? undefined : value,
    position,
  };
}
