import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createDaemon } from "./daemon.ts";
import {
  CONFIGURATION,
  putServer,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

/** Room for two bodies of 100,000 bytes, of which requests may have one. */
const MESSAGE_BYTES = 300_000;
const BODY_BYTES = 100_000;
/** More than the second after which a body counts as stopped. */
const STOPPED_MS = 1_300;

async function startDaemon(t: ExecutionContext) {
  const store = await startStore();
  const ran: string[] = [];
  const server = await startRawServer((socket: Socket, text) => {
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    ran.push(id);
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n` +
        "Content-Length: 2\r\n\r\nok",
    );
  });
  const settings = {
    ...await settingsFor(store),
    messageBytes: MESSAGE_BYTES,
  };
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, server.address);
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    server.close();
  });
  /** Sends a request with the first bytes of its body. */
  const begin = (id: string, bodyBytes: number, sentBytes = bodyBytes) => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    socket.write(
      `POST /book/1 HTTP/1.1\r\nHost: bells.example\r\nAttempt-Id: ${id}\r\n` +
        "Deadline-Ms: 2000\r\nAuthorization: Token good\r\n" +
        `Connection: close\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(sentBytes, "x"));
    const answer = new Promise<string>((resolve) =>
      socket.once("close", () => resolve(received))
    );
    return { socket, answer };
  };
  return { ran, begin };
}

// Guards against bodies that are each within their limit and together are not.
test("a body that there is no memory for is refused as not run, others are served", async (t) => {
  const { ran, begin } = await startDaemon(t);
  const first = begin("first", BODY_BYTES, BODY_BYTES - 1);
  await new Promise((resolve) => setTimeout(resolve, 200));
  const second = await begin("second", BODY_BYTES).answer;
  t.regex(second, /^HTTP\/1\.1 503 /);
  t.regex(second, /Retry-After: 0\.5/);
  t.regex(await begin("small", 10).answer, /^HTTP\/1\.1 200 /);
  first.socket.write("x");
  t.regex(await first.answer, /^HTTP\/1\.1 200 /);
  t.regex(await begin("third", BODY_BYTES).answer, /^HTTP\/1\.1 200 /);
  t.deepEqual(ran, ["small", "first", "third"]);
});

test("the memory of a client that leaves in its body is free again", async (t) => {
  const { begin } = await startDaemon(t);
  const first = begin("first", BODY_BYTES, BODY_BYTES - 1);
  await new Promise((resolve) => setTimeout(resolve, 200));
  first.socket.destroy();
  await first.answer;
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.regex(await begin("second", BODY_BYTES).answer, /^HTTP\/1\.1 200 /);
});

// Guards against clients that stop just short of the end and keep the memory.
test("bodies that have stopped give way to others", async (t) => {
  const { ran, begin } = await startDaemon(t);
  const stopped = begin("stopped", BODY_BYTES, BODY_BYTES - 1);
  await new Promise((resolve) => setTimeout(resolve, STOPPED_MS));
  t.regex(await begin("second", BODY_BYTES).answer, /^HTTP\/1\.1 200 /);
  t.regex(await stopped.answer, /^HTTP\/1\.1 408 /);
  t.deepEqual(ran, ["second"]);
});
