import { once } from "node:events";
import type { Socket } from "node:net";
import test from "ava";
import { type Clock, createClock } from "@endivebend/clock";
import type { AttemptOrder, ServerClient } from "@endivebend/request-path";
import { createServerClient } from "./server_client.ts";
import {
  type AttemptResult,
  runAttempt,
  startRawServer,
  testAttemptOrder,
  testRoutedRequest,
} from "./testing.ts";
import { brandId, type RequestId } from "@endivebend/types";

function answer(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function order(address: string, id: string): AttemptOrder {
  const request = testRoutedRequest({ requestId: brandId<RequestId>(id) });
  const message = {
    ...(request.message as object),
    rawHeaders: ["Host", "bells.example", "Attempt-Id", id],
  };
  return testAttemptOrder(address, { request: { ...request, message } });
}

interface Sequence {
  readonly ids: readonly string[];
  /** Answers a request, whose id it is given. */
  readonly serve: (socket: Socket, id: string) => void;
  /** Comes between the end of an answer and the next request. */
  readonly between?: (socket: Socket) => Promise<void> | void;
  readonly clock?: Clock;
}

/** Runs one attempt after the other. */
async function runInTurn(
  { ids, serve, between = () => {}, clock = createClock() }: Sequence,
): Promise<{ readonly results: AttemptResult[]; readonly sockets: number }> {
  const sockets = new Set<Socket>();
  let last: Socket | undefined;
  const server = await startRawServer((socket, request) => {
    sockets.add(socket);
    last = socket;
    serve(socket, /attempt-id: (\S+)/i.exec(request)?.[1] ?? "");
  });
  const client: ServerClient = createServerClient(clock);
  const results: AttemptResult[] = [];
  for (const id of ids) {
    results.push(await runAttempt(client, order(server.address, id)));
    // Node.js returns the connection to the pool after the answer's end.
    await new Promise(setImmediate);
    await between(last!);
  }
  server.close();
  return { results, sockets: sockets.size };
}

function refusal(id: string, status: string): string {
  return `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nNot-Run: 1\r\n` +
    "Content-Length: 0\r\n\r\n";
}

// Guards against a request that runs and is refused as not run, or runs twice:
// the server that refuses it answers twice, and another one with the address is
// sent the request next.
for (const status of ["421 Misdirected Request", "503 Service Unavailable"]) {
  test(`a second copy of a refusal is not the answer to the same request when it is sent again: ${status}`, async (t) => {
    const refused = new Set<Socket>();
    const { results } = await runInTurn({
      ids: ["first", "first"],
      serve: (socket, id) => {
        const isCopy = refused.has(socket);
        if (isCopy || refused.size === 0) socket.write(refusal(id, status));
        if (isCopy || refused.size > 0) socket.write(answer(id, "it has run"));
        refused.add(socket);
      },
    });
    t.deepEqual(results.map(({ head }) => head?.isNotRun), [true, false]);
    t.is(results[1]?.body, "it has run");
  });
}

// A server that sends an answer twice, at the times at which the second copy
// can be taken for the answer of the next request on the connection.
for (const copy of ["whole", "head only", "body only", "refusal"] as const) {
  const bytesOf = {
    "whole": answer("first", "first"),
    "head only": answer("first", "first").split("first\r\n")[0]!,
    "body only": "rst",
    "refusal": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" +
      "Content-Length: 0\r\n\r\n",
  }[copy];

  test(`a second copy in the segment of the answer reaches no later request: ${copy}`, async (t) => {
    const { results } = await runInTurn({
      ids: ["first", "second"],
      serve: (socket, id) =>
        socket.write(answer(id, id) + (id === "first" ? bytesOf : "")),
    });
    t.deepEqual(results.map(({ body }) => body), ["first", "second"]);
    t.deepEqual(results.map(({ isComplete }) => isComplete), [true, true]);
  });

  test(`a second copy on an idle connection reaches no later request: ${copy}`, async (t) => {
    let isFirst = true;
    const { results, sockets } = await runInTurn({
      ids: ["first", "second"],
      serve: (socket, id) => socket.write(answer(id, id)),
      between: async (socket) => {
        if (!isFirst) return;
        isFirst = false;
        socket.write(bytesOf);
        await once(socket, "close");
      },
    });
    t.deepEqual(results.map(({ body }) => body), ["first", "second"]);
    t.deepEqual(results.map(({ isComplete }) => isComplete), [true, true]);
    t.is(sockets, 2, "the connection is not used again");
  });

  test(`a second copy that is unread as the next request is sent is not its answer: ${copy}`, async (t) => {
    let isFirst = true;
    const { results, sockets } = await runInTurn({
      ids: ["first", "second", "third"],
      serve: (socket, id) => socket.write(answer(id, id)),
      between: (socket) => {
        // The next request follows in the same turn of the event loop.
        if (isFirst) socket.write(bytesOf);
        isFirst = false;
      },
    });
    t.is(results[1]?.body, "");
    t.is(results[1]?.failure?.kind, "broken");
    t.is(results[1]?.head, undefined);
    t.is(results[2]?.body, "third");
    t.is(sockets, 2, "the connection is not used again");
  });

  test(`a second copy sent as the next request arrives is not its answer: ${copy}`, async (t) => {
    const { results } = await runInTurn({
      ids: ["first", "second", "third"],
      serve: (socket, id) =>
        socket.write((id === "second" ? bytesOf : "") + answer(id, id)),
    });
    t.is(results[1]?.body, "");
    t.deepEqual(results[1]?.failure?.kind, "broken");
    t.is(results[1]?.head, undefined);
    t.is(results[2]?.body, "third");
  });
}

// Node.js drops the beginning of a head that it reads with the end of an answer.
// The rest of the copy would stand before or in a later answer.
for (const length of [1, 9, 20, 60]) {
  test(`a connection is not used again after a second copy began in the segment of the answer: ${length} bytes`, async (t) => {
    const copy = answer("first", "first");
    let first: Socket | undefined;
    const { results, sockets } = await runInTurn({
      ids: ["first", "second"],
      serve: (socket, id) => {
        const rest = socket === first ? copy.slice(length) : "";
        first ??= socket;
        if (id === "first") {
          socket.write(answer(id, id) + copy.slice(0, length));
        } else {
          socket.write(rest + answer(id, id));
        }
      },
    });
    t.deepEqual(results.map(({ body }) => body), ["first", "second"]);
    t.is(sockets, 2);
  });
}

// Guards against an answer that is lost because a copy comes in its place.
for (
  const [sign, bytes] of [
    ["with its head", answer("first", "first")],
    ["with other bytes", "rst"],
    ["as the connection is idle", undefined],
  ] as const
) {
  test(`a server that sent a second copy ${sign} gets new connections for calls that run once, for 5 s`, async (t) => {
    let nowMs = 0;
    let last = "";
    const { results, sockets } = await runInTurn({
      clock: { wallMs: () => nowMs, elapsedMs: () => nowMs },
      ids: ["first", "second", "third", "fourth", "fifth", "sixth"],
      serve: (socket, id) => {
        last = id;
        socket.write(answer(id, id) + (id === "first" ? bytes ?? "" : ""));
      },
      between: async (socket) => {
        if (last === "first" && bytes === undefined) {
          socket.write(answer("first", "first"));
          await once(socket, "close");
        }
        if (last === "third") nowMs += 5_000;
      },
    });
    t.true(results.every(({ isComplete }) => isComplete));
    // The first three have one each, the others share the fourth.
    t.is(sockets, 4);
  });
}

// The end of a copy has no head that tells whose it is.
for (
  const [framing, fields] of [
    ["without a length", "Connection: close\r\n"],
    ["with a length", "Content-Length: 9\r\n"],
  ] as const
) {
  test(`the end of a late copy is no part of a later answer ${framing}`, async (t) => {
    const { results, sockets } = await runInTurn({
      ids: ["first", "second"],
      serve: (socket, id) => {
        if (id === "first") return void socket.write(answer(id, id));
        const head =
          `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n`;
        socket.end(`${head}${fields}\r\nsec${"rst"}ondly`);
      },
    });
    t.is(sockets, 1);
    const second = results[1]!;
    t.true(!second.isComplete || second.body === "secondly", second.body);
  });
}
