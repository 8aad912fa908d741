import { Agent, createServer, request } from "node:http";
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import test from "ava";
import { createClock } from "@endivebend/clock";
import { callEngine } from "./engine_call.ts";
import { readBody } from "./incoming_request.ts";
import { createServerClient } from "./server_client.ts";
import {
  runAttempt,
  startRawServer,
  testAttemptOrder,
  testMemory,
} from "./testing.ts";
import { UnfinishedBodies } from "./unfinished_bodies.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Memory that is alive, in the heap and in buffers. */
async function usedBytes(): Promise<number> {
  // Buffers are given back after a collection, by another thread.
  for (let round = 0; round < 3; round++) {
    collectGarbage();
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Sent as chunks of one byte. */
const BODY_BYTES = 400_000;
/** What sockets and their parsers may hold besides. */
const SOCKET_BYTES = 4_194_304;
const CHUNKS = Buffer.from("1\r\nx\r\n".repeat(10_000));

async function writeChunks(socket: Pick<Socket, "write" | "once">) {
  for (let sent = 0; sent < BODY_BYTES; sent += 10_000) {
    if (!socket.write(CHUNKS)) {
      await new Promise((resolve) => socket.once("drain", resolve));
    }
  }
}

/** Resolves when the socket has received the whole body. */
async function receivedBy(socket: Socket): Promise<void> {
  const wireBytes = BODY_BYTES / 10_000 * CHUNKS.length;
  while (socket.bytesRead < wireBytes) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

// Guards against answers that never begin: their callers waited until their
// time limit, and the connection was kept.
for (
  const [what, bytes] of [
    ["informational answers without end", "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n"],
    ["100 without end", "HTTP/1.1 100 Continue\r\n\r\n"],
  ] as const
) {
  test.serial(`${what} end the attempt`, async (t) => {
    t.timeout(10_000);
    let wasClosed = false;
    const server = await startRawServer((socket) => {
      socket.once("close", () => wasClosed = true);
      socket.write(bytes.repeat(1_000));
    });
    const client = createServerClient(createClock());
    const result = await runAttempt(client, testAttemptOrder(server.address));
    t.is(result.failure?.kind, "broken");
    while (!wasClosed) await new Promise((resolve) => setTimeout(resolve, 5));
    server.close();
  });
}

test.serial("a few informational answers before an answer are skipped", async (t) => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 103 Hints\r\n\r\n".repeat(3));
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok",
    );
  });
  const client = createServerClient(createClock());
  const result = await runAttempt(client, testAttemptOrder(server.address));
  t.is(result.body, "ok");
  server.close();
});

test.serial("a change of protocol that nobody asked for ends the attempt", async (t) => {
  t.timeout(10_000);
  const server = await startRawServer((socket) => {
    socket.write(
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" +
        "Connection: Upgrade\r\n\r\nbytes",
    );
  });
  const client = createServerClient(createClock());
  const result = await runAttempt(client, testAttemptOrder(server.address));
  t.is(result.failure?.kind, "broken");
  server.close();
});

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against one connection that fills turns of the event loop with chunks.
test.serial("other events have their turn between the chunks of an answer", async (t) => {
  const server = await startRawServer((socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    void writeChunks(socket);
  });
  const client = createServerClient(createClock());
  let received = 0;
  let receivedInTurn = 0;
  let mostInTurn = 0;
  const attempt = client.start(testAttemptOrder(server.address), {
    connected() {},
    sent() {},
    head() {},
    data(chunk) {
      received += chunk.length;
      receivedInTurn += chunk.length;
    },
    end() {},
    failed() {},
  });
  // The chunks that wait in the kernel's buffer meanwhile are read at once.
  attempt.pause();
  await new Promise((resolve) => setTimeout(resolve, 300));
  attempt.resume();
  while (received < BODY_BYTES) {
    await new Promise((resolve) => setImmediate(resolve));
    mostInTurn = Math.max(mostInTurn, receivedInTurn);
    receivedInTurn = 0;
  }
  // A read may end between the byte of a chunk and the end of its line.
  const oneReadChunks = Math.ceil(65_536 / "1\r\nx\r\n".length);
  t.true(mostInTurn <= oneReadChunks, `${mostInTurn}`);
  attempt.abort();
  server.close();
});

// Guards against an engine whose answer to a call costs more than its bytes.
test.serial("an engine's answer in chunks of one byte costs at most twice its bytes", async (t) => {
  const server = await startRawServer((socket) => {
    socket.write(CHUNKED_HEAD);
    void writeChunks(socket);
  });
  const agent = new Agent();
  const beforeBytes = await usedBytes();
  const answer = callEngine(agent, {
    address: server.address,
    method: "GET",
    path: "/api/report",
    headers: {},
    timeoutMs: 20_000,
    memory: testMemory(),
  });
  await receivedBy(Object.values(agent.sockets)[0]![0]!);
  const costBytes = await usedBytes() - beforeBytes;
  t.true(costBytes <= 2 * BODY_BYTES + SOCKET_BYTES, `${costBytes}`);
  server.close();
  t.is(await answer, undefined);
});

// The same for a client's body.
test.serial("a request's body in chunks of one byte costs at most twice its bytes", async (t) => {
  const server = createServer((incoming, response) => {
    void readBody(incoming, {
      maxBytes: 4_194_304,
      memory: testMemory(),
      isOver: new Promise((resolve) => response.once("close", resolve)),
      idleTimeoutMs: 15_000,
      unfinished: new UnfinishedBodies(createClock()),
    }).then((body) => response.end(String(body.length)));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const accepted = once(server, "connection") as Promise<[Socket]>;
  const beforeBytes = await usedBytes();
  const outgoing = request({ host: "127.0.0.1", port, method: "POST" });
  outgoing.on("error", () => {});
  const socket = await new Promise<Socket>((resolve) =>
    outgoing.once("socket", resolve)
  );
  outgoing.flushHeaders();
  const [receiver] = await accepted;
  await Promise.all([writeChunks(socket), receivedBy(receiver)]);
  const costBytes = await usedBytes() - beforeBytes;
  t.true(costBytes <= 2 * BODY_BYTES + SOCKET_BYTES, `${costBytes}`);
  socket.write("0\r\n\r\n");
  const [answer] = await once(outgoing, "response");
  const [text] = await once(answer, "data");
  t.is(String(text), String(BODY_BYTES));
  server.close();
  server.closeAllConnections();
});
