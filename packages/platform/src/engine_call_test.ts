import { Agent } from "node:http";
import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { callEngine, type EngineCall } from "./engine_call.ts";
import { startRawServer, testMemory } from "./testing.ts";

const CHUNK = "x".repeat(65_536);

/** Writes until the peer closes; resolves with the number of bytes. */
function writeWithoutEnd(socket: Socket, chunk: string): Promise<number> {
  return new Promise((resolve) => {
    let bytes = 0;
    const write = () => {
      if (socket.destroyed) return;
      bytes += chunk.length;
      socket.write(chunk, () => setImmediate(write));
    };
    socket.once("close", () => resolve(bytes));
    write();
  });
}

async function callServer(
  t: ExecutionContext,
  serve: (socket: Socket) => void,
  fields: Partial<EngineCall> = {},
) {
  const server = await startRawServer(serve);
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  return await callEngine(agent, {
    address: server.address,
    method: "GET",
    path: "/api/report",
    headers: {},
    timeoutMs: 5_000,
    memory: testMemory(),
    ...fields,
  });
}

// Bytes that are no answer and come until the caller closes.
for (
  const [where, head, chunk] of [
    ["in a head", "HTTP/1.1 200 OK\r\nX: ", CHUNK],
    ["in the headers", "HTTP/1.1 200 OK\r\n", "X-More: y\r\n".repeat(500)],
    ["in a body without length", "HTTP/1.1 200 OK\r\n\r\n", CHUNK],
    [
      "in a chunked body",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      `${CHUNK.length.toString(16)}\r\n${CHUNK}\r\n`,
    ],
    [
      "in a chunk extension",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
      CHUNK,
    ],
    [
      "in a trailer",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
      CHUNK,
    ],
  ] as const
) {
  test(`an engine's call ends when bytes come without end ${where}`, async (t) => {
    let written: Promise<number> | undefined;
    const answer = await callServer(t, (socket) => {
      socket.write(head);
      written = writeWithoutEnd(socket, chunk);
    });
    t.is(answer, undefined);
    t.true(await written! < 64 * 1_048_576, "the connection is closed");
  });
}

test("a call that may no longer be sent when its connection is ready is not sent", async (t) => {
  let calls = 0;
  const answer = await callServer(t, (socket) => {
    calls += 1;
    socket.end("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
  }, { method: "POST", body: "{}", maySend: () => false });
  t.is(answer, undefined);
  t.is(calls, 0);
});
