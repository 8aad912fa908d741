import { once } from "node:events";
import { Agent } from "node:http";
import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createClock } from "@endivebend/clock";
import { createDaemon } from "./daemon.ts";
import { callEngine } from "./engine_call.ts";
import { createServerClient } from "./server_client.ts";
import {
  CONFIGURATION,
  putServer,
  runAttempt,
  settingsFor,
  startRawServer,
  testAttemptOrder,
  testMemory,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

/** Names that another hop may take for the name that they resemble. */
const INVALID_NAMES = [
  "Content Length",
  "Content-Length ",
  "Transfer-Encoding ",
  "Transfer Encoding",
  "X-Own\t",
  "X-Own\x01",
  "X-Own\x80",
  "X-Own\xff",
  "X-Own(",
  "",
  " X-Own",
];

/** Sends the bytes to a daemon; returns what it answers until it closes. */
async function openDaemon(t: ExecutionContext) {
  const store = await startStore();
  const ran: string[] = [];
  const server = await startRawServer((socket: Socket, text) => {
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    ran.push(id);
    setTimeout(() => {
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s1\r\n` +
          `Content-Length: ${id.length}\r\n\r\n${id}`,
      );
    }, 20);
  });
  const settings = await settingsFor(store);
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
  const ask = async (bytes: string) => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    socket.write(Buffer.from(bytes, "latin1"));
    await once(socket, "close");
    return received;
  };
  return { ran, ask };
}

function booking(id: string, headers = "Content-Length: 2\r\n"): string {
  return "POST /book/1 HTTP/1.1\r\nHost: bells.example\r\n" +
    `Attempt-Id: ${id}\r\nDeadline-Ms: 2000\r\n` +
    `Authorization: Token good\r\n${headers}\r\n`;
}

test("a request with an invalid header or trailer name, and what follows it, does not run", async (t) => {
  const { ran, ask } = await openDaemon(t);
  for (const name of INVALID_NAMES) {
    const header = `Content-Length: 2\r\n${name}: 5\r\n`;
    const withHeader = `${booking("header", header)}{}`;
    const withTrailer = booking("trailer", "Transfer-Encoding: chunked\r\n") +
      `2\r\n{}\r\n0\r\n${name}: 5\r\n\r\n`;
    for (const malformed of [withHeader, withTrailer]) {
      const label = JSON.stringify(malformed.slice(-30));
      const alone = await ask(`${malformed}${booking("behind")}{}`);
      t.regex(alone, /^HTTP\/1\.1 400 /, label);
      t.is(alone.match(/HTTP\/1\.1/g)?.length, 1, label);
      const queued = await ask(`${booking("sound")}{}${malformed}`);
      t.regex(
        queued,
        /^HTTP\/1\.1 200 [^]*\r\n\r\nsoundHTTP\/1\.1 400 /,
        label,
      );
    }
  }
  t.deepEqual(new Set(ran), new Set(["sound"]));
});

for (const name of INVALID_NAMES) {
  const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n";
  const answers = {
    header: `${head}Content-Length: 2\r\n${name}: 5\r\n\r\nok`,
    trailer: `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n` +
      `${name}: 5\r\n\r\n`,
  };
  for (const [place, answer] of Object.entries(answers)) {
    test(`an answer with the ${place} name ${JSON.stringify(name)} is spoiled`, async (t) => {
      const server = await startRawServer((socket) => {
        socket.write(Buffer.from(answer, "latin1"));
      });
      const client = createServerClient(createClock());
      const result = await runAttempt(client, testAttemptOrder(server.address));
      t.false(result.isComplete);
      t.is(result.failure?.kind, "broken");
      const call = await callEngine(new Agent(), {
        address: server.address,
        method: "GET",
        path: "/api/report",
        headers: {},
        timeoutMs: 5_000,
        memory: testMemory(),
      });
      t.is(call, undefined);
      server.close();
    });
  }
}
