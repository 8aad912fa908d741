/**
 * A stand-in for the platform's store: a log with keyed topics, as
 * PROTOCOL.md describes it. It keeps connections open between calls.
 */

import { createServer } from "node:http";

const APPEND_MS = 4;
const PREFIX_BYTES = 16;

function splitRecords(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at + 4, end));
    at = end;
  }
  return records;
}

function parseKeyed(record) {
  const length = record[0];
  return {
    key: record.subarray(1, 1 + length).toString(),
    value: record.subarray(1 + length),
  };
}

/** Starts the store at a free port of the address. */
export async function startStore(ip) {
  const topics = new Map();
  /** Reads that wait for a record, with their connections. */
  const waiting = new Set();
  const silent = new WeakSet();
  const recordsOf = (topic) => {
    if (!topics.has(topic)) topics.set(topic, []);
    return topics.get(topic);
  };
  const append = (topic, records) => {
    recordsOf(topic).push(...records);
    for (const { topic: other, wake } of [...waiting]) {
      if (other === topic) wake();
    }
  };
  const waitForRecord = (topic, socket, waitMs) =>
    new Promise((resolve) => {
      const wait = { topic, socket, sinceMs: performance.now(), wake };
      const timer = setTimeout(wake, waitMs);
      function wake() {
        waiting.delete(wait);
        clearTimeout(timer);
        resolve();
      }
      waiting.add(wait);
      socket.once("close", wake);
    });
  const handlers = {
    "/api/log-append"({ query, body, json }) {
      const topic = query.get("topic");
      const offset = recordsOf(topic).length;
      const at = query.get("at");
      if (at !== null && Number(at) !== offset) {
        return json(412, { end: offset });
      }
      const records = splitRecords(body);
      append(topic, records);
      const end = offset + records.length;
      setTimeout(() => json(200, { offset, end }), APPEND_MS);
    },
    async "/api/log-read"({ query, socket, json, send }) {
      const topic = query.get("topic");
      const from = Number(query.get("from"));
      const waitMs = Number(query.get("wait_ms") ?? 0);
      const records = recordsOf(topic);
      if (from > records.length) return json(410, { first: 0 });
      if (from === records.length && waitMs > 0) {
        await waitForRecord(topic, socket, waitMs);
      }
      const prefix = Buffer.alloc(PREFIX_BYTES);
      prefix.writeBigUInt64BE(BigInt(records.length));
      const encoded = records.slice(from).flatMap((record) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      send(200, Buffer.concat([prefix, ...encoded]));
    },
    "/api/log-newest"({ query, json }) {
      const records = recordsOf(query.get("topic"));
      const newest = new Map();
      records.forEach((record, offset) => {
        const { key, value } = parseKeyed(record);
        if (value.length === 0) newest.delete(key);
        else newest.set(key, { value: value.toString("base64"), offset });
      });
      const items = [...newest].map(([key, item]) => ({ key, ...item }));
      json(200, { items, has_more: false, end: records.length });
    },
    "/api/log-trim"({ json }) {
      json(200, {});
    },
  };
  const server = createServer(async (request, response) => {
    const { socket } = request;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const send = (status, body, type = "application/octet-stream") => {
      if (silent.has(socket) || response.destroyed) return;
      response.writeHead(status, { "Content-Type": type, "Store-Era": "1" });
      response.end(body);
    };
    const json = (status, fields) =>
      send(status, JSON.stringify(fields), "application/json");
    const handler = handlers[url.pathname];
    if (handler === undefined) return json(404, {});
    const body = Buffer.concat(chunks);
    await handler({ query: url.searchParams, body, socket, json, send });
  });
  server.on("connection", (socket) => socket.setMaxListeners(0));
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, ip, resolve));
  return {
    address: `${ip}:${server.address().port}`,
    /** Writes a record as the operator or a server does. */
    put(topic, key, value) {
      const name = Buffer.from(key);
      const text = Buffer.from(JSON.stringify(value));
      append(topic, [
        Buffer.concat([Buffer.from([name.length]), name, text]),
      ]);
    },
    /** Waiting reads of the topic: the caller's address and how long. */
    waitingReads(topic) {
      return [...waiting].filter((wait) => wait.topic === topic)
        .map(({ socket, sinceMs }) => ({
          ip: socket.remoteAddress,
          forMs: performance.now() - sinceMs,
        }));
    },
    /**
     * Connections that a read waits on carry nothing any more, in neither
     * direction and without a reset. Others, and new ones, work.
     */
    silenceWaiting() {
      const sockets = new Set([...waiting].map(({ socket }) => socket));
      for (const socket of sockets) silent.add(socket);
      return sockets.size;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
