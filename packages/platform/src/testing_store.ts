/**
 * An in-memory stand-in for the platform's store: a log with keyed topics.
 *
 * @module
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Faults that a test can switch on and off. */
export interface StoreFaults {
  /** Every call is answered with status 503. */
  isDown: boolean;
  /** Appends are executed but not answered. */
  dropsAnswers: boolean;
}

/** A running stand-in. */
export interface StoreStandIn {
  readonly address: string;
  readonly faults: StoreFaults;
  /** Number of calls received so far. */
  callCount(): number;
  /** Appends a record with the value as JSON. */
  put(topic: string, key: string, value: unknown): void;
  /** The newest value of a key; undefined when there is none. */
  valueOf(topic: string, key: string): string | undefined;
  /** Appends a record with the value as it is. */
  putText(topic: string, key: string, value: string): void;
  /**
   * Comes back from a copy that has only the first `kept` records of each
   * topic, and states its era from now on. Held reads are reset.
   */
  restore(kept: number): void;
  /** Appends a record with an empty value, which removes the key. */
  remove(topic: string, key: string): void;
  close(): void;
}

const READ_PREFIX_BYTES = 16;

/** Starts the stand-in on a free port of 127.0.0.1. */
export async function startStore(): Promise<StoreStandIn> {
  const topics = new Map<string, Buffer[]>();
  /** The first offset of each topic that is not deleted. */
  const firstKept = new Map<string, number>();
  const waitingReaders = new Set<() => void>();
  const faults: StoreFaults = { isDown: false, dropsAnswers: false };
  let calls = 0;
  let era = 1;
  const recordsOf = (topic: string) => {
    const records = topics.get(topic) ?? [];
    topics.set(topic, records);
    return records;
  };
  const append = (topic: string, record: Buffer) => {
    recordsOf(topic).push(record);
    for (const wake of [...waitingReaders]) wake();
  };

  const handlers: Readonly<
    Record<string, (at: StoreCall) => void | Promise<void>>
  > = {
    "/api/log-append": ({ query, body, response }) => {
      const topic = query.get("topic")!;
      const end = recordsOf(topic).length;
      const at = query.get("at");
      if (at !== null && Number(at) !== end) {
        response.writeHead(412).end(JSON.stringify({ end }));
        return;
      }
      append(topic, body.subarray(4));
      if (faults.dropsAnswers) return;
      response.end(JSON.stringify({ offset: end, end: end + 1 }));
    },
    "/api/log-read": async ({ query, response }) => {
      let records = recordsOf(query.get("topic")!);
      const from = Number(query.get("from"));
      const waitMs = Number(query.get("wait_ms"));
      if (records.length <= from && waitMs > 0) {
        await new Promise<void>((resolve) => {
          const wake = () => {
            waitingReaders.delete(wake);
            clearTimeout(timer);
            resolve();
          };
          const timer = setTimeout(wake, waitMs);
          waitingReaders.add(wake);
        });
      }
      records = recordsOf(query.get("topic")!);
      const first = firstKept.get(query.get("topic")!) ?? 0;
      if (from > records.length || from < first) {
        response.writeHead(410).end(JSON.stringify({ first }));
        return;
      }
      const head = Buffer.alloc(READ_PREFIX_BYTES);
      head.writeBigUInt64BE(BigInt(records.length));
      const encodedRecords = records.slice(from).flatMap((record) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      response.end(Buffer.concat([head, ...encodedRecords]));
    },
    "/api/log-trim": ({ body, response }) => {
      const { topic, before } = JSON.parse(body.toString() || "{}");
      if (topic === undefined || before === undefined) {
        return void response.writeHead(400).end("the body can't be read");
      }
      firstKept.set(topic, before);
      response.end("{}");
    },
    "/api/log-newest": ({ query, response }) => {
      const newest = new Map<string, { value: Buffer; offset: number }>();
      recordsOf(query.get("topic")!).forEach((record, offset) => {
        const { key, value } = parseKeyedRecord(record);
        if (value.length === 0) newest.delete(key);
        else newest.set(key, { value, offset });
      });
      const items = [...newest].map(([key, { value, offset }]) => ({
        key,
        value: value.toString("base64"),
        offset,
      }));
      const end = recordsOf(query.get("topic")!).length;
      response.end(JSON.stringify({ items, has_more: false, end }));
    },
  };

  const server = createServer((request, response) => {
    calls += 1;
    void readAll(request).then((body) => {
      response.setHeader("Store-Era", era);
      const url = new URL(request.url ?? "/", "http://store");
      const handler = handlers[url.pathname];
      if (faults.isDown || handler === undefined) {
        response.writeHead(503).end();
        return;
      }
      return handler({ query: url.searchParams, body, response });
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    faults,
    callCount: () => calls,
    restore(kept) {
      era += 1;
      for (const records of topics.values()) records.splice(kept);
      firstKept.clear();
      server.closeAllConnections();
    },
    put: (topic, key, value) =>
      append(topic, encodeKeyedRecord(key, Buffer.from(JSON.stringify(value)))),
    valueOf(topic, key) {
      const newest = recordsOf(topic).map(parseKeyedRecord)
        .findLast((record) => record.key === key);
      return newest?.value.toString();
    },
    putText: (topic, key, value) =>
      append(topic, encodeKeyedRecord(key, Buffer.from(value))),
    remove: (topic, key) =>
      append(topic, encodeKeyedRecord(key, Buffer.alloc(0))),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

interface StoreCall {
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly response: ServerResponse;
}

function encodeKeyedRecord(key: string, value: Buffer): Buffer {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

function parseKeyedRecord(record: Buffer): { key: string; value: Buffer } {
  const length = record[0] ?? 0;
  return {
    key: record.subarray(1, 1 + length).toString(),
    value: record.subarray(1 + length),
  };
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
