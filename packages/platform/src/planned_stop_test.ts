import { once } from "node:events";
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

/** A daemon with one plain server that answers after `answerAfterMs`. */
async function startDaemon(t: ExecutionContext, answerAfterMs: number) {
  const store = await startStore();
  const ran: string[] = [];
  const steps: string[] = [];
  const server = await startRawServer((socket: Socket, text) => {
    // Servers answer reports at once; they run nothing for it.
    if (text.startsWith("GET /api/report")) {
      return void socket.end("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    ran.push(id);
    steps.push(`${id} runs`);
    setTimeout(() => {
      steps.push(`${id} is answered`);
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s1\r\n` +
          `Content-Length: ${id.length}\r\n\r\n${id}`,
      );
    }, answerAfterMs);
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, server.address);
  await waitReady(settings);
  t.teardown(() => {
    store.close();
    server.close();
  });
  const open = async () => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    await once(socket, "connect");
    return {
      socket,
      received: () => received,
      closed: once(socket, "close"),
    };
  };
  const stop = () => new Promise<void>((resolve) => daemon.stop(resolve));
  return { ran, steps, open, stop };
}

function booking(id: string): string {
  return "POST /book/1 HTTP/1.1\r\nHost: bells.example\r\n" +
    `Attempt-Id: ${id}\r\nDeadline-Ms: 2000\r\n` +
    "Authorization: Token good\r\nContent-Length: 2\r\n\r\n{}";
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

test("requests sent in a row while the daemon stops are answered or have not run", async (t) => {
  const { ran, open, stop } = await startDaemon(t, 100);
  const client = await open();
  client.socket.write(booking("one") + booking("two") + booking("three"));
  while (ran.length === 0) await wait(5);
  const stopped = stop();
  await client.closed;
  await stopped;
  for (const id of ran) t.regex(client.received(), new RegExp(`\r\n\r\n${id}`));
  t.deepEqual(ran, ["one"], "requests behind the last answer are not sent on");
});

test("a request whose head or body is half read when the daemon stops is answered", async (t) => {
  const { open, stop } = await startDaemon(t, 20);
  const inHead = await open();
  const inBody = await open();
  const text = booking("one");
  let hasStopped = false;
  const stopped = stop().then(() => {
    hasStopped = true;
  });
  await wait(1_600);
  inHead.socket.write(text.slice(0, 30));
  inBody.socket.write(text.slice(0, -1));
  // Without open requests the daemon would end 3,000 ms after the stop.
  await wait(1_600);
  t.false(hasStopped);
  inHead.socket.write(text.slice(30));
  inBody.socket.write(text.slice(-1));
  await Promise.all([inHead.closed, inBody.closed, stopped]);
  t.regex(inHead.received(), /^HTTP\/1\.1 200 .*\r\n\r\none$/s);
  t.regex(inBody.received(), /^HTTP\/1\.1 200 .*\r\n\r\none$/s);
});

test("an open connection's first request after the stop is answered, and it closes", async (t) => {
  const { open, stop } = await startDaemon(t, 20);
  const client = await open();
  client.socket.write(booking("one"));
  while (!client.received().endsWith("\r\n\r\none")) await wait(10);
  const stopped = stop();
  await wait(1_000);
  client.socket.write(booking("two"));
  await client.closed;
  t.regex(client.received(), /connection: close.*\r\n\r\ntwo$/is);
  await stopped;
});

test("requests behind others on a connection run in turn", async (t) => {
  const { steps, open, stop } = await startDaemon(t, 50);
  const client = await open();
  client.socket.write(booking("one") + booking("two"));
  while (!client.received().endsWith("\r\n\r\ntwo")) await wait(10);
  t.deepEqual(steps, [
    "one runs",
    "one is answered",
    "two runs",
    "two is answered",
  ]);
  await stop();
});

test("a client that sends without end and reads no answer is closed", async (t) => {
  const { ran, open, stop } = await startDaemon(t, 400);
  const client = await open();
  for (let count = 0; count < 100; count++) {
    client.socket.write(booking(`q${count}`));
  }
  await client.closed;
  t.true(ran.length <= 1);
  await stop();
});

test("requests that come late in a planned stop are refused as not run, and open ones get an answer", async (t) => {
  // The daemon's process has 4,000 ms to end.
  const { ran, open, stop } = await startDaemon(t, 6_000);
  const early = await open();
  const fresh = await open();
  early.socket.write(booking("early").replace("2000", "9000"));
  while (ran.length === 0) await wait(5);
  const stopped = stop();
  await wait(3_200);
  fresh.socket.write(booking("late"));
  await fresh.closed;
  t.regex(fresh.received(), /^HTTP\/1\.1 503 .*retry-after: /is);
  await Promise.all([early.closed, stopped]);
  // It may have run, so nothing is promised.
  t.regex(early.received(), /^HTTP\/1\.1 50[24] .*\r\n\r\n\{.*\}$/s);
  t.deepEqual(ran, ["early"]);
});
