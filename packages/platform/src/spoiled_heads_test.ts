import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createDaemon } from "./daemon.ts";
import {
  CONFIGURATION,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

const ROUTES = CONFIGURATION.routes.map((route) =>
  route.name === "draft" ? { ...route, resumable: true, attempts: 3 } : route
);
const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s1\r\n";
const STREAM_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const EVENT = "id: 1\ndata: a\n\n";

/** A daemon whose engines answer the first, second and later calls so. */
async function startDaemon(
  t: ExecutionContext,
  answers: readonly ((socket: Socket) => void)[],
) {
  const store = await startStore();
  let calls = 0;
  const engines = await Promise.all(
    [1, 2, 3].map(() =>
      startRawServer((socket) => {
        const answer = answers[Math.min(calls, answers.length - 1)]!;
        calls += 1;
        answer(socket);
      })
    ),
  );
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", { ...CONFIGURATION, routes: ROUTES });
  engines.forEach(({ address }, index) =>
    store.put("keyed.servers", `i-${index}`, {
      service: "belfry",
      address,
      zone: "a",
      slots: 6,
      phase: "ready",
      models: [],
      born: 1,
    })
  );
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    for (const engine of engines) engine.close();
  });
  return async (path: string) => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: bells.example\r\nAttempt-Id: a1\r\n` +
        "Deadline-Ms: 2000\r\nAuthorization: Token good\r\n" +
        "Connection: close\r\nContent-Length: 2\r\n\r\n{}",
    );
    await new Promise((resolve) => socket.once("close", resolve));
    return received;
  };
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function close(socket: Socket, how: "ended" | "reset"): void {
  if (how === "ended") socket.end();
  else socket.resetAndDestroy();
}

const CUT_HEADS = [
  "HTTP/1.1 200 OK",
  "HTTP/1.1 200 OK\r\n",
  HEAD,
  `${HEAD}Content-Length: 1`,
  `${HEAD}Content-Length: 12\r\n`,
  `${HEAD}Content-Length: 12\r\n\r`,
  `${HEAD}Transfer-Encoding: chunked\r\n`,
];

for (const how of ["ended", "reset"] as const) {
  for (const head of CUT_HEADS) {
    test(`a head that is cut after ${JSON.stringify(head.slice(-14))} and ${how} is no answer`, async (t) => {
      const cut = (socket: Socket) => {
        socket.write(head, () => setTimeout(() => close(socket, how), 5));
      };
      const ask = await startDaemon(t, [cut]);
      for (const path of ["/book/1", "/draft/1"]) {
        const received = await ask(path);
        t.notRegex(received, /^HTTP\/1\.1 2/, path);
        t.regex(received, /^HTTP\/1\.1 50[24] /, path);
      }
    });
  }
}

const LATER_ANSWERS: Readonly<Record<string, string>> = {
  "an error": "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\n" +
    "Response-Seal: s2\r\nContent-Length: 10\r\n\r\noverloaded",
  "an error without id": "HTTP/1.1 500 Internal Server Error\r\n" +
    "Content-Length: 10\r\n\r\noverloaded",
  "a refusal": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" +
    "Content-Length: 10\r\n\r\noverloaded",
  "an error as success": `${HEAD.replace("s1", "s2")}` +
    "Content-Length: 10\r\n\r\noverloaded",
  "nothing": `${HEAD}Content-Length: 0\r\n\r\n`,
  "a cut head": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nRespon",
  "no HTTP": "overloaded\r\n\r\noverloaded",
};

for (const [name, answer] of Object.entries(LATER_ANSWERS)) {
  test(`a stream that broke off and got ${name} elsewhere has its own events only`, async (t) => {
    const begin = (socket: Socket) => {
      socket.write(`${STREAM_HEAD}${chunk(EVENT)}`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    };
    const ask = await startDaemon(t, [begin, (socket) => socket.end(answer)]);
    const received = await ask("/draft/1");
    const body = received.split("\r\n\r\n").slice(1).join("\r\n\r\n");
    t.is(body, chunk(EVENT), "the last chunk, which would end it, is missing");
  });
}
