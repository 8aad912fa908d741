import test, { type ExecutionContext } from "ava";
import type { RequestListener } from "node:http";
import { brandId, type RequestId } from "@endivebend/types";
import { readBody } from "./body.ts";
import { openListener } from "./listener.ts";
import { writeJson, writeRefusal } from "./respond.ts";
import { RawConnection, rawRequest } from "./testing_socket.ts";

const LIMITS = {
  maxHeaderBytes: 2048,
  maxConnections: 100,
  requestTimeoutMs: 60_000,
  headersTimeoutMs: 60_000,
};
const requestId = brandId<RequestId>("r-1");

interface Gate {
  readonly opened: Promise<void>;
  open(): void;
}

function createGate(): Gate {
  let open = () => {};
  const opened = new Promise<void>((resolve) => open = resolve);
  return { opened, open: () => open() };
}

/** Opens a listener that echoes path and size; `/slow` waits for the gate. */
async function startListener(
  t: ExecutionContext,
  limits: Partial<typeof LIMITS> = {},
) {
  const gate = createGate();
  const ran: string[] = [];
  const refusals: string[] = [];
  const handle: RequestListener = async (request, response) => {
    try {
      const body = await readBody(request, { maxBytes: 1000 });
      ran.push(request.url ?? "");
      if (request.url === "/slow") await gate.opened;
      const answer = { path: request.url, bytes: body.length };
      writeJson(response, { status: 200, body: answer });
    } catch (caught) {
      writeRefusal(response, { caught, requestId });
    }
  };
  const listener = await openListener({ host: "127.0.0.1", port: 0 }, {
    limits: { ...LIMITS, ...limits },
    handle,
    onRefusal: (reason) => refusals.push(reason),
  });
  t.teardown(async () => {
    listener.closeAllConnections();
    await listener.close();
  });
  const open = () => RawConnection.open(listener.address);
  return { gate, ran, refusals, open, listener };
}

// Guards against refusals by Node.js itself. They have no body, so a caller
// cannot tell from them whether its request ran.
test("requests that the parser rejects get a typed refusal", async (t) => {
  const { open, ran, refusals } = await startListener(t);
  const host = "\r\nhost: h\r\n";
  const cases: readonly [string, number, string][] = [
    ["nonsense\r\n\r\n", 400, "malformed_request"],
    ["GET / HTTP/9.9\r\n\r\n", 400, "malformed_request"],
    ["BREW / HTTP/1.1\r\n\r\n", 400, "malformed_request"],
    [`GET / HTTP/1.1${host}a b: c\r\n\r\n`, 400, "malformed_request"],
    [`GET / HTTP/1.1${host}a: b\r\n c\r\n\r\n`, 400, "malformed_request"],
    [`GET / HTTP/1.1${host}a: b\nc: d\0\r\n\r\n`, 400, "malformed_request"],
    [
      `GET / HTTP/1.1${host}a: ${"b".repeat(4000)}\r\n\r\n`,
      431,
      "headers_too_large",
    ],
    [`GET /${"b".repeat(4000)} HTTP/1.1${host}\r\n`, 431, "headers_too_large"],
    [
      `POST / HTTP/1.1${host}content-length: -1\r\n\r\n`,
      400,
      "malformed_request",
    ],
    [
      `POST / HTTP/1.1${host}content-length: 1e3\r\n\r\n`,
      400,
      "malformed_request",
    ],
    [
      `POST / HTTP/1.1${host}content-length: 1\r\ncontent-length: 2\r\n\r\n`,
      400,
      "malformed_request",
    ],
    [
      `POST / HTTP/1.1${host}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
      400,
      "malformed_request",
    ],
    [
      `POST / HTTP/1.1${host}transfer-encoding: chunked\r\n\r\nzz\r\n`,
      400,
      "malformed_request",
    ],
    ["GET / HTTP/1.1\r\n\r\n", 400, "malformed_request"],
    [`GET / HTTP/1.1${host}expect: cake\r\n\r\n`, 400, "malformed_request"],
    ["CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n", 405, "method_not_allowed"],
  ];
  for (const [bytes, status, code] of cases) {
    const connection = await open();
    connection.send(bytes);
    const answer = await connection.answer();
    t.is(answer.status, status, bytes.slice(0, 80));
    t.like(answer.json.error, { code, ran: "not_run" }, bytes.slice(0, 80));
    t.truthy(answer.json.error.remedy);
    connection.destroy();
  }
  t.deepEqual(ran, []);
  t.is(refusals.length, cases.length);
});

// Guards against names that another hop reads as the name they resemble, which
// would let it see other requests on the connection.
test("a request with an invalid header or trailer name, and what follows it, does not run", async (t) => {
  const { open, ran } = await startListener(t);
  const names = ["a b", "Content Length", "Content-Length ", "", " a", "a\t"];
  for (const name of [...names, "Transfer-Encoding ", "a\x01", "a\xff", "a("]) {
    const header = `POST /header HTTP/1.1\r\nhost: h\r\n${name}: 5\r\n\r\n`;
    const trailer = "POST /trailer HTTP/1.1\r\nhost: h\r\n" +
      "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
      `${name}: 5\r\n\r\n`;
    for (const malformed of [header, trailer]) {
      const label = JSON.stringify(malformed);
      const connection = await open();
      const bytes = [rawRequest("GET /sound"), malformed];
      const all = [...bytes, rawRequest("GET /behind")].join("");
      connection.send(Buffer.from(all, "latin1"));
      t.is((await connection.answer()).json.path, "/sound", label);
      const refused = await connection.answer();
      t.is(refused.status, 400, label);
      t.like(refused.json.error, { ran: "not_run" }, label);
      t.is(await connection.waitForClose(), "", label);
    }
  }
  t.deepEqual(new Set(ran), new Set(["/sound"]));
});

// Guards against a refusal that is taken for the answer to an earlier request
// that did run.
test("requests before a malformed one on the connection get their own answers", async (t) => {
  const { open, gate, ran } = await startListener(t);
  const connection = await open();
  connection.send(`${rawRequest("GET /slow")}nonsense\r\n\r\n`);
  while (ran.length === 0) await new Promise((r) => setImmediate(r));
  t.is(connection.received, "");
  gate.open();
  t.is((await connection.answer()).json.path, "/slow");
  t.is((await connection.answer()).json.error.code, "malformed_request");
  await connection.waitForClose();
});

// Guards against pipelined requests that run although they get no answer.
test("pipelined requests are answered in order, and excess ones do not run", async (t) => {
  const { open, gate, ran } = await startListener(t);
  const connection = await open();
  const paths = Array.from({ length: 40 }, (_, index) => `/${index}`);
  const all = ["/slow", ...paths].map((path) => rawRequest(`GET ${path}`));
  connection.send(all.join(""));
  while (ran.length < 32) await new Promise((r) => setImmediate(r));
  gate.open();
  t.is((await connection.answer()).json.path, "/slow");
  for (const path of paths.slice(0, 31)) {
    t.is((await connection.answer()).json.path, path);
  }
  const refused = await connection.answer();
  t.like(refused.json.error, { code: "queue_full", ran: "not_run" });
  t.is(await connection.waitForClose(), "");
  t.is(ran.length, 32, "requests without an answer did not run");
});

// Guards against a refusal that is lost because a connection with unread bytes
// is reset, and against an oversized body that is read to its end.
test("an oversized body is refused while it is being sent", async (t) => {
  const { open, ran } = await startListener(t);
  const declared = await open();
  declared.send(
    "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9000000\r\n\r\n",
  );
  for (let count = 0; count < 50; count++) declared.send("x".repeat(65_536));
  const chunked = await open();
  chunked.send(
    "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  for (let count = 0; count < 50; count++) {
    chunked.send(`10000\r\n${"x".repeat(65_536)}\r\n`);
  }
  for (const connection of [declared, chunked]) {
    const answer = await connection.answer();
    t.is(answer.status, 413);
    t.like(answer.json.error, { code: "body_too_large", ran: "not_run" });
    t.is(answer.headers.connection, "close");
    connection.send(rawRequest("GET /behind"));
    await connection.waitForClose();
  }
  t.deepEqual(ran, [], "a request after the refused body does not run");
});

// Guards against clients that occupy connections without using them.
test("slow and silent connections are closed while others are served", async (t) => {
  const { open } = await startListener(t, {
    requestTimeoutMs: 400,
    headersTimeoutMs: 200,
  });
  const silent = await open();
  const slowHeader = await open();
  slowHeader.send("GET / HTTP/1.1\r\nhost: h\r\n");
  const slowBody = await open();
  slowBody.send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n123");
  const other = await open();
  other.send(rawRequest("POST /fine", { body: "abc" }));
  t.is((await other.answer()).json.bytes, 3);
  for (const connection of [silent, slowHeader, slowBody]) {
    const answer = await connection.answer();
    t.is(answer.status, 408);
    t.like(answer.json.error, { code: "request_timeout", ran: "not_run" });
    await connection.waitForClose();
  }
});

// Guards against a connection limit that also affects open connections.
test("connections beyond the limit are closed, and one that ends makes room", async (t) => {
  const { open, refusals } = await startListener(t, { maxConnections: 2 });
  const [first, second, third] = [await open(), await open(), await open()];
  t.is(await third.waitForClose(), "");
  t.deepEqual(refusals, ["too_many_connections"]);
  second.send(rawRequest("GET /second"));
  t.is((await second.answer()).status, 200);
  first.destroy();
  let status = 0;
  while (status !== 200) {
    const next = await open();
    next.send(rawRequest("GET /next"));
    await next.waitFor("\r\n\r\n");
    if (next.received !== "") status = (await next.answer()).status;
  }
  t.is(status, 200);
});

// Guards against headers that Node.js drops silently.
test("every header within the limit on bytes reaches the handler", async (t) => {
  let count = 0;
  const listener = await openListener({ host: "127.0.0.1", port: 0 }, {
    limits: { ...LIMITS, maxHeaderBytes: 65_536 },
    handle(request, response) {
      count = Object.keys(request.headers).length;
      writeJson(response, { status: 200, body: {} });
    },
  });
  const connection = await RawConnection.open(listener.address);
  const headers = Array.from({ length: 3000 }, (_, index) => `h${index}: v`);
  connection.send(rawRequest("GET /", { headers }));
  await connection.answer();
  t.is(count, 3001);
  listener.closeAllConnections();
  await listener.close();
});
