import type { Socket } from "node:net";
import test from "ava";
import { createClock } from "@endivebend/clock";
import { createServerClient } from "./server_client.ts";
import {
  type AttemptResult,
  runAttempt,
  startRawServer,
  testAttemptOrder,
} from "./testing.ts";

const HEAD =
  "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\nServer-Load: 1,0,6\r\n";

async function runAgainst(
  serve: (socket: Socket) => void,
): Promise<AttemptResult> {
  const server = await startRawServer(serve);
  try {
    const client = createServerClient(createClock());
    return await runAttempt(client, testAttemptOrder(server.address));
  } finally {
    server.close();
  }
}

/** Writes the parts one after the other, each in a segment of its own. */
function writeApart(socket: Socket, parts: readonly string[]): void {
  socket.setNoDelay(true);
  const [part, ...rest] = parts;
  if (part === undefined) return void socket.end();
  socket.write(part, () => setImmediate(() => writeApart(socket, rest)));
}

const UNFRAMED = `${HEAD}\r\nthe answer`;

// Guards against a body that holds an answer twice: it ends with its connection,
// and the server has sent a second copy before.
test("a second copy before the end of the connection is no part of an answer: same segment", async (t) => {
  const result = await runAgainst((socket) => socket.end(UNFRAMED + UNFRAMED));
  t.true(result.isComplete);
  t.is(result.body, "the answer");
});

test("a second copy before the end of the connection is no part of an answer: segments of their own", async (t) => {
  const result = await runAgainst((socket) =>
    writeApart(socket, [UNFRAMED, UNFRAMED])
  );
  t.true(result.isComplete);
  t.is(result.body, "the answer");
});

test("an answer that is sent again in full after it was cut off is not complete", async (t) => {
  const cut = UNFRAMED.slice(0, -4);
  const result = await runAgainst((socket) => socket.end(cut + UNFRAMED));
  t.false(result.isComplete);
  t.is(result.failure?.kind, "broken");
});

// The copy's bytes count towards the length of the answer that was cut off.
for (const framing of ["Content-Length: 100", "Transfer-Encoding: chunked"]) {
  test(`a second copy does not complete an answer that was cut off: ${framing}`, async (t) => {
    const isChunked = framing.startsWith("Transfer");
    const body = "b".repeat(100);
    const whole = `${HEAD}${framing}\r\n\r\n` +
      (isChunked ? `64\r\n${body}\r\n0\r\n\r\n` : body);
    const cut = whole.slice(0, -50);
    const result = await runAgainst((socket) => socket.end(cut + whole));
    t.false(result.isComplete);
    t.is(result.failure?.kind, "broken");
    t.regex(result.body, /^b*$/);
  });
}
