import test from "ava";
import { startTestDaemon, type TestClient } from "./testing_daemon.ts";

const MAX_BODY_BYTES = 100_000;
const CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;
/** More than a lingering connection takes, with what sockets hold. */
const FAR_OVER_LIMIT_BYTES = 200_000_000;
const RETRY_MS = 20;

const LIMITS = { limits: { max_body_bytes: MAX_BODY_BYTES } };

function head(
  id: string,
  { path = "/book/", key = "good", fields }: {
    readonly path?: string;
    readonly key?: string;
    readonly fields: string;
  },
): string {
  return `POST ${path}1 HTTP/1.1\r\nHost: bells.example\r\n` +
    `Attempt-Id: ${id}\r\nAuthorization: Token ${key}\r\n${fields}\r\n\r\n`;
}

const CHUNKED = { fields: "Transfer-Encoding: chunked" };

// Guards against clients that announce more than is read and never send it.
test("a body that is announced as too long is refused before it comes", async (t) => {
  const { ran, open } = await startTestDaemon(t, LIMITS);
  const { socket, closed } = open();
  const fields = `Content-Length: ${MAX_BODY_BYTES + 1}`;
  socket.write(head("long", { fields }));
  const text = await closed;
  t.regex(text, /^HTTP\/1\.1 413 /);
  t.regex(text, /connection: close/i);
  t.deepEqual(ran, []);
});

test("a client that asks first sends a body within the limit only", async (t) => {
  const { ran, open } = await startTestDaemon(t, LIMITS);
  const expect = "Expect: 100-continue\r\nConnection: close\r\n";
  const long = open();
  const fields = `${expect}Content-Length: ${MAX_BODY_BYTES + 1}`;
  long.socket.write(head("long", { fields }));
  t.regex(await long.closed, /^HTTP\/1\.1 413 /);
  const short = open();
  short.socket.once("data", () => short.socket.write("{}"));
  short.socket.write(
    head("short", { fields: `${expect}Content-Length: 2` }),
  );
  t.regex(await short.closed, /^HTTP\/1\.1 100 [^]*HTTP\/1\.1 200 /);
  t.deepEqual(ran, ["short"]);
});

// Guards against requests that hold a connection though they can't run.
for (
  const [what, status, part] of [
    ["without a route", 404, { path: "/nowhere/" }],
    ["with an unknown key", 401, { key: "bad" }],
  ] as const
) {
  test(`a request ${what} is refused before its body comes`, async (t) => {
    const { ran, open } = await startTestDaemon(t, LIMITS);
    const { socket, closed } = open();
    socket.write(head("denied", { ...part, ...CHUNKED }) + CHUNK);
    t.regex(await closed, new RegExp(`^HTTP/1\\.1 ${status} `));
    t.deepEqual(ran, []);
  });
}

test("a client that sends a little too much can read the refusal", async (t) => {
  const { open } = await startTestDaemon(t, LIMITS);
  const { socket, closed } = open();
  socket.write(head("long", CHUNKED) + CHUNK.repeat(6) + "0\r\n\r\n");
  t.regex(await closed, /^HTTP\/1\.1 413 /);
});

/** Sends chunks until it is cut off; returns the number of bytes. */
async function sendOn({ socket, closed }: TestClient): Promise<number> {
  let sentBytes = 0;
  while (!socket.destroyed && sentBytes < FAR_OVER_LIMIT_BYTES) {
    sentBytes += CHUNK.length;
    if (!socket.write(CHUNK)) {
      const drained = new Promise((resolve) => socket.once("drain", resolve));
      await Promise.race([drained, closed]);
    }
  }
  socket.destroy();
  await closed;
  return sentBytes;
}

// Guards against a daemon that reads refused bodies to their ends.
test("a client that sends on after the refusal is cut off", async (t) => {
  const { ran, open } = await startTestDaemon(t, LIMITS);
  const client = open();
  client.socket.write(head("endless", CHUNKED));
  const sentBytes = await sendOn(client);
  t.true(sentBytes < FAR_OVER_LIMIT_BYTES, `${sentBytes} bytes sent`);
  t.deepEqual(ran, []);
});

// Guards against ports that answer at once and read on.
for (const port of ["readiness", "metrics", "records"] as const) {
  test(`a body without end at the port of ${port} is cut off`, async (t) => {
    const { settings, open } = await startTestDaemon(t, LIMITS);
    const endpoints = {
      readiness: settings.readiness,
      metrics: settings.metrics,
      records: { host: settings.ip, port: settings.firstPeerPort + 1 },
    };
    const client = open(endpoints[port]);
    client.socket.write(head("endless", { path: "/operator", ...CHUNKED }));
    const sentBytes = await sendOn(client);
    t.true(sentBytes < FAR_OVER_LIMIT_BYTES, `${sentBytes} bytes sent`);
  });
}

test("a refusal comes after the answers to the requests before it", async (t) => {
  const { ran, open } = await startTestDaemon(t, LIMITS);
  const { socket, closed } = open();
  socket.write(
    head("first", { fields: "Content-Length: 0" }) +
      head("long", { fields: "Content-Length: 900000000" }),
  );
  const text = await closed;
  t.regex(text, /^HTTP\/1\.1 200 [^]*okHTTP\/1\.1 413 /);
  t.deepEqual(ran, ["first"]);
});

test("nothing that follows a refused request on its connection runs", async (t) => {
  const { ran, open } = await startTestDaemon(t, LIMITS);
  const { socket, closed, received } = open();
  const body = "x".repeat(MAX_BODY_BYTES + 1);
  socket.write(head("long", { fields: `Content-Length: ${body.length}` }));
  while (received() === "") {
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
  socket.write(body + head("next", { fields: "Content-Length: 0" }));
  t.notRegex(await closed, / 200 /);
  t.deepEqual(ran, []);
});
