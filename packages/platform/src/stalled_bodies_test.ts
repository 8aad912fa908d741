import { connect } from "node:net";
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

const IDLE_TIMEOUT_MS = 300;
const BODY = "0123456789";

async function startDaemon(t: ExecutionContext) {
  const store = await startStore();
  const ran: string[] = [];
  const server = await startRawServer((socket, text) => {
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    ran.push(id);
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n` +
        "Content-Length: 2\r\n\r\nok",
    );
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", {
    ...CONFIGURATION,
    limits: { idle_timeout_ms: IDLE_TIMEOUT_MS, header_timeout_ms: 3_000 },
  });
  putServer(store, server.address);
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    server.close();
  });
  const begin = (id: string) => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", () => {});
    const closed = new Promise<string>((resolve) =>
      socket.once("close", () => resolve(text))
    );
    socket.write(
      `POST /book/1 HTTP/1.1\r\nHost: bells.example\r\nAttempt-Id: ${id}\r\n` +
        "Authorization: Token good\r\nConnection: close\r\n" +
        `Content-Length: ${BODY.length}\r\n\r\n`,
    );
    return { socket, closed };
  };
  return { ran, begin };
}

// Guards against clients that stop just short of the end and stay.
test("a body that stops is refused as not run, a slow one is served", async (t) => {
  const { ran, begin } = await startDaemon(t);
  const stopped = begin("stopped");
  stopped.socket.write(BODY.slice(1));
  const slow = begin("slow");
  let sent = 0;
  const timer = setInterval(() => {
    slow.socket.write(BODY[sent]!);
    sent += 1;
    if (sent === BODY.length) clearInterval(timer);
  }, IDLE_TIMEOUT_MS / 5);
  t.regex(await stopped.closed, /^HTTP\/1\.1 408 /);
  t.regex(await slow.closed, /^HTTP\/1\.1 200 /);
  t.deepEqual(ran, ["slow"]);
});
