import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import test from "ava";
import { createClock } from "@endivebend/clock";
import { type AttemptOrder, BEGINS_TOO_LATE } from "@endivebend/request-path";
import { type BackendServerId, brandId } from "@endivebend/types";
import { createServerClient, type ServerMessage } from "./server_client.ts";
import {
  type AttemptResult,
  runAttempt,
  startRawServer,
  testAttemptOrder,
  testRoutedRequest,
} from "./testing.ts";

async function runAttemptAgainst(
  serve: (socket: Socket, request: string) => void,
  fields: Partial<AttemptOrder> = {},
): Promise<AttemptResult> {
  const server = await startRawServer(serve);
  try {
    const client = createServerClient(createClock());
    return await runAttempt(client, testAttemptOrder(server.address, fields));
  } finally {
    server.close();
  }
}

const RESPONSE_HEAD =
  "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n";

// Node.js reports a reset as an end when it reads it together with data, as it
// does when the process was not scheduled in between.
test("an answer without a length is incomplete when its connection is reset: read together", async (t) => {
  const result = await runAttemptAgainst((socket) => {
    socket.write(`${RESPONSE_HEAD}Connection: close\r\n\r\nhalf of it`);
    socket.resetAndDestroy();
  });
  t.false(result.isComplete);
  t.is(result.failure?.kind, "broken");
});

test("an answer without a length is incomplete when its connection is reset: read before", async (t) => {
  let reset = () => {};
  const server = await startRawServer((socket) => {
    reset = () => socket.resetAndDestroy();
    socket.write(`${RESPONSE_HEAD}Connection: close\r\n\r\nhalf of it`);
  });
  const client = createServerClient(createClock());
  const order = testAttemptOrder(server.address);
  const result = await runAttempt(client, order, () => reset());
  server.close();
  t.is(result.body, "half of it");
  t.false(result.isComplete);
  t.is(result.failure?.kind, "broken");
});

// Another coding than chunked has no end of its own (RFC 9112, section 6.3).
for (const coding of ["gzip", "identity", "chunked, gzip"]) {
  test(`an answer that is not in chunks is incomplete when its connection is reset: ${coding}`, async (t) => {
    const result = await runAttemptAgainst((socket) => {
      socket.write(
        `${RESPONSE_HEAD}Transfer-Encoding: ${coding}\r\n\r\nhalf of it`,
      );
      socket.resetAndDestroy();
    });
    t.false(result.isComplete);
    t.is(result.failure?.kind, "broken");
    t.false((result.head?.message as ServerMessage).isFramed);
  });
}

test("an answer without a length ends with its connection", async (t) => {
  const result = await runAttemptAgainst((socket) => {
    socket.end(`${RESPONSE_HEAD}Connection: close\r\n\r\nall of it`);
  });
  t.true(result.isComplete);
  t.is(result.body, "all of it");
});

test("an answer that is shorter than its length is incomplete", async (t) => {
  const result = await runAttemptAgainst((socket) => {
    socket.end(`${RESPONSE_HEAD}Content-Length: 20\r\n\r\nhalf`);
  });
  t.is(result.failure?.kind, "broken");
});

test("an answer with another request's id fails the attempt", async (t) => {
  const result = await runAttemptAgainst((socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\n" +
        "Content-Length: 2\r\n\r\nno",
    );
  });
  t.is(result.head, undefined);
  t.is(result.failure?.kind, "broken");
});

test("a refused connection is reported as an unsent request", async (t) => {
  const server = await startRawServer(() => {});
  server.close();
  const client = createServerClient(createClock());
  const result = await runAttempt(client, testAttemptOrder(server.address));
  t.is(result.failure?.kind, "unsent");
});

test("surplus bytes after an answer fail no later request", async (t) => {
  let count = 0;
  const server = await startRawServer((socket) => {
    count += 1;
    const extra = count === 1
      ? "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
      : "";
    socket.write(`${RESPONSE_HEAD}Content-Length: 2\r\n\r\nok${extra}`);
  });
  const client = createServerClient(createClock());
  for (let round = 0; round < 3; round++) {
    const result = await runAttempt(client, testAttemptOrder(server.address));
    t.true(result.isComplete);
    t.is(result.body, "ok");
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  server.close();
});

test("a client's system headers are dropped, its other headers forwarded", async (t) => {
  let requestText = "";
  const order = testAttemptOrder("", {});
  const message = {
    ...(order.request.message as object),
    rawHeaders: [
      "Host",
      "bells.example",
      "Attempt-Id",
      "a1",
      "Authorization",
      "Token secret",
      "Tenant",
      "forged",
      "Kv-From",
      "10.0.0.1:1/x",
      "Connection",
      "X-Hop",
      "X-Hop",
      "1",
      "X-Own",
      "y",
    ],
  };
  await runAttemptAgainst((socket, request) => {
    requestText = request;
    socket.write(`${RESPONSE_HEAD}Content-Length: 0\r\n\r\n`);
  }, { request: { ...order.request, message } });
  t.regex(requestText, /^POST \/book\/1\?x=2 HTTP\/1\.1/);
  t.regex(requestText, /X-Own: y/);
  t.regex(requestText, /Expect-Instance: i-1/);
  t.notRegex(requestText, /secret|forged|Kv-From|X-Hop/);
});

test("a check tells a server that listens from one that has ended", async (t) => {
  const client = createServerClient(createClock());
  const server = await startRawServer(() => {});
  t.is(await client.checkListening(server.address), "listening");
  server.close();
  t.is(await client.checkListening(server.address), "closed");
});

const LINKS = {
  answered: (socket: Socket) => socket.end("HTTP/1.1 404 Not Found\r\n\r\n"),
  reset: (socket: Socket) => socket.resetAndDestroy(),
  silent: () => {},
  refused: () => {},
} as const;
for (const state of Object.keys(LINKS) as (keyof typeof LINKS)[]) {
  test(`a question on a new connection tells that it was ${state}`, async (t) => {
    const client = createServerClient(createClock());
    const server = await startRawServer(LINKS[state]);
    if (state === "refused") server.close();
    const id = brandId<BackendServerId>("i-1");
    t.is(await client.checkAnswering({ id, address: server.address }), state);
    server.close();
  });
}

test("a connection that is reset as soon as it is accepted is no answer", async (t) => {
  const server = createServer((socket) => socket.resetAndDestroy());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = createServerClient(createClock());
  const id = brandId<BackendServerId>("i-1");
  const address = `127.0.0.1:${port}`;
  // The system may tell of the reset before it tells of the connection.
  t.not(await client.checkAnswering({ id, address }), "answered");
  server.close();
});

for (
  const [header, limitPerS] of [
    ["Server-Limit: 3.6\r\n", 3.6],
    ["Server-Limit: 0\r\n", 0],
    ["Server-Limit: soon\r\n", undefined],
    ["Server-Limit: -1\r\n", undefined],
    ["", undefined],
  ] as const
) {
  test(`an answer with "${header.trim()}" names the limit ${limitPerS}`, async (t) => {
    const { head } = await runAttemptAgainst((socket) => {
      socket.write(`${RESPONSE_HEAD}${header}Content-Length: 0\r\n\r\n`);
    });
    t.is(head?.limitPerS, limitPerS);
  });
}

for (
  const [header, isLeaving] of [
    ["Server-Leaving: 1\r\n", true],
    ["Server-Leaving: 0\r\n", false],
    ["Server-Leaving: yes\r\n", false],
    ["Server-Leaving: 1\r\nServer-Leaving: 1\r\n", false],
    ["", false],
  ] as const
) {
  test(`an answer with ${JSON.stringify(header)} says ${isLeaving} of leaving`, async (t) => {
    const { head } = await runAttemptAgainst((socket) => {
      socket.write(`${RESPONSE_HEAD}${header}Content-Length: 0\r\n\r\n`);
    });
    t.is(head?.isLeaving, isLeaving);
  });
}

for (
  const [retryAfter, quietMs] of [
    ["2", 2_000],
    ["0.25", 250],
    ["0", undefined],
    ["-3", undefined],
    ["1e3", undefined],
    ["soon", undefined],
    ["9999999999", 3_600_000],
    ["Fri, 04 Dec 2026 20:00:00 GMT", undefined],
  ] as const
) {
  test(`a server that turns away with Retry-After "${retryAfter}" asks for quiet for ${quietMs} ms`, async (t) => {
    const { head } = await runAttemptAgainst((socket) => {
      socket.write(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Run: 1\r\n" +
          `Retry-After: ${retryAfter}\r\nContent-Length: 0\r\n\r\n`,
      );
    });
    t.is(head?.quietMs, quietMs);
  });
}

test("a process that was paused while a connection opened uses it", async (t) => {
  const server = await startRawServer((socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n" +
        "Content-Length: 2\r\n\r\nok",
    );
  });
  const client = createServerClient(createClock());
  const result = runAttempt(client, testAttemptOrder(server.address));
  const check = client.checkListening(server.address);
  await new Promise(setImmediate);
  const untilMs = performance.now() + 400;
  while (performance.now() < untilMs);
  t.true((await result).isComplete);
  t.is(await check, "listening");
  server.close();
});

for (const timeout of ["9".repeat(20), "9".repeat(400)]) {
  test(`a Keep-Alive of ${timeout.length} digits ends no process`, async (t) => {
    const server = await startRawServer((socket) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n" +
          `Keep-Alive: timeout=${timeout}\r\nContent-Length: 2\r\n\r\nok`,
      );
    });
    const client = createServerClient(createClock());
    for (let count = 0; count < 2; count++) {
      const order = testAttemptOrder(server.address);
      t.true((await runAttempt(client, order)).isComplete);
      await new Promise(setImmediate);
    }
    client.closeIdleConnections(server.address);
    server.close();
  });
}

// Guards against a request that arrives after it was sent to another server. The
// body is longer than what the server's side takes and shorter than what the
// client's does.
test("an attempt that is given up while its server accepts nothing does not arrive later", async (t) => {
  const body = Buffer.alloc(1_000_000);
  const request = testRoutedRequest();
  const message = { ...(request.message as object), body };
  const server = createServer({ pauseOnConnect: true });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = createServerClient(createClock());
  let sent = () => {};
  const isSent = new Promise<void>((resolve) => sent = resolve);
  const handle = client.start(
    testAttemptOrder(`127.0.0.1:${port}`, {
      request: { ...request, message },
    }),
    {
      connected() {},
      sent: () => sent(),
      head() {},
      data() {},
      end() {},
      failed() {},
    },
  );
  const [socket] = await once(server, "connection") as [Socket];
  await isSent;
  await new Promise(setImmediate);
  handle.abort();
  socket.on("error", () => {});
  socket.resume();
  await once(socket, "close");
  server.close();
  t.true(socket.bytesRead < body.length, `${socket.bytesRead} bytes arrived`);
});

test("an attempt is not sent when its connection is ready after the time to begin", async (t) => {
  const requests: string[] = [];
  const server = await startRawServer((socket, text) => {
    requests.push(text);
    socket.write(`${RESPONSE_HEAD}Content-Length: 0\r\n\r\n`);
  });
  let nowMs = 1_000;
  const clock = { wallMs: () => nowMs, elapsedMs: () => nowMs };
  const client = createServerClient(clock);
  const order = testAttemptOrder(server.address, {
    deadlineMs: 9_000,
    beginByMs: 2_000,
  });
  let wasSent = false;
  const failure = await new Promise((resolve) => {
    client.start(order, {
      // The process stands still while the connection is opened.
      connected: () => nowMs = 2_000,
      sent: () => wasSent = true,
      head() {},
      data() {},
      end() {},
      failed: resolve,
    });
  });
  t.deepEqual(failure, { kind: "unsent", reason: BEGINS_TOO_LATE });
  t.false(wasSent);
  // A later attempt shows that nothing was sent before it.
  await runAttempt(client, { ...order, beginByMs: undefined });
  t.is(requests.length, 1);
  server.close();
});

for (
  const [header, expected] of Object.entries({
    "3,1,24": { running: 3, waiting: 1, slots: 24 },
    "3,1,24,250": { running: 3, waiting: 1, slots: 24, slowdownPercent: 250 },
    "3,1,24,": { running: 3, waiting: 1, slots: 24 },
    "3,1,24,-1": { running: 3, waiting: 1, slots: 24 },
    "3,1,24,fast": { running: 3, waiting: 1, slots: 24 },
    "3,1": undefined,
  })
) {
  // A figure that can't be read must not cost the three that can.
  test(`the load ${header} of an answer is read`, async (t) => {
    const { head } = await runAttemptAgainst((socket) => {
      socket.end(
        `${RESPONSE_HEAD}Server-Load: ${header}\r\nContent-Length: 0\r\n\r\n`,
      );
    });
    t.deepEqual(head?.load, expected);
  });
}
