/**
 * Guards against answers that only the end of their connection delimits, and
 * that end while the request is still being written: their callers took a part
 * of the answer for the whole.
 *
 * @module
 */

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

/** More than the buffers of a loopback connection hold while nobody reads. */
const UPLOAD_BYTES = 4_000_000;
const UPLOADS = 6;
const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n";
const PART = "part of the answer";

type Serve = (socket: Socket, head: string) => void;

async function startDaemon(t: ExecutionContext, serve: Serve) {
  const store = await startStore();
  const server = await startRawServer((socket, text) => {
    // The rest of an upload is no further request.
    if (text.startsWith("POST ")) serve(socket, text);
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, server.address);
  await waitReady(settings);
  t.teardown(async () => {
    server.close();
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
  });
  /** What a client of the upload receives, and whether it was reset. */
  return (id: string, bodyBytes = UPLOAD_BYTES) =>
    new Promise<{ readonly text: string; readonly wasReset: boolean }>(
      (resolve) => {
        const socket = connect(settings.callers.port, settings.callers.host);
        let text = "";
        let wasReset = false;
        socket.on("data", (chunk) => text += chunk);
        socket.on("error", () => wasReset = true);
        socket.on("close", () => resolve({ text, wasReset }));
        socket.write(
          `POST /book/1 HTTP/1.1\r\nHost: bells.example\r\n` +
            `Attempt-Id: ${id}\r\nAuthorization: Token good\r\n` +
            `Connection: close\r\nContent-Length: ${bodyBytes}\r\n\r\n`,
        );
        socket.write(Buffer.alloc(bodyBytes, "x"));
      },
    );
}

/** Answers, with its part of the upload unread. */
function answerUnread(socket: Socket, { head, fields }: {
  readonly head: string;
  readonly fields: string;
}): void {
  socket.pause();
  const id = /attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
  socket.write(`${HEAD.replace("ID", id)}${fields}\r\n${PART}`);
}

const isSuccess = (text: string) => text.startsWith("HTTP/1.1 200");

for (const resetAfterMs of [0, 5, 300]) {
  test.serial(`an answer without a length that ends before its upload was written is not whole: reset ${resetAfterMs} ms later`, async (t) => {
    t.timeout(30_000);
    const upload = await startDaemon(t, (socket, head) => {
      answerUnread(socket, { head, fields: "Connection: close\r\n" });
      socket.end();
      setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    });
    const answers = await Promise.all(
      Array.from({ length: UPLOADS }, (_, index) => upload(`a${index}`)),
    );
    for (const { text, wasReset } of answers) {
      t.true(wasReset || !isSuccess(text), text);
    }
  });

  test.serial(`an answer that is reset during its upload is not whole: after ${resetAfterMs} ms`, async (t) => {
    t.timeout(30_000);
    const upload = await startDaemon(t, (socket, head) => {
      answerUnread(socket, { head, fields: "Content-Length: 1000\r\n" });
      setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    });
    const { text } = await upload("a1");
    t.regex(text, /^HTTP\/1\.1 502 /);
  });
}

test.serial("an answer without a length that ends after its upload was read is whole", async (t) => {
  const upload = await startDaemon(t, (socket, head) => {
    const id = /attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
    let receivedBytes = head.length - head.indexOf("\r\n\r\n") - 4;
    const answer = () => {
      if (receivedBytes < UPLOAD_BYTES) return;
      socket.end(`${HEAD.replace("ID", id)}Connection: close\r\n\r\n${PART}`);
    };
    socket.on("data", (chunk) => {
      receivedBytes += chunk.length;
      answer();
    });
    answer();
  });
  const { text, wasReset } = await upload("a1");
  t.true(isSuccess(text));
  t.true(text.endsWith(PART));
  t.false(wasReset);
});

test.serial("an answer with status 000 is no answer", async (t) => {
  const upload = await startDaemon(t, (socket, head) => {
    const id = /attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
    socket.write(
      `HTTP/1.1 000 Nothing\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n` +
        "Content-Length: 0\r\n\r\n",
    );
  });
  t.regex((await upload("a1", 2)).text, /^HTTP\/1\.1 502 /);
});

test.serial("a request whose connection is reset without an answer gets 502", async (t) => {
  const upload = await startDaemon(t, (socket) => socket.resetAndDestroy());
  t.regex((await upload("a1", 2)).text, /^HTTP\/1\.1 502 /);
});
