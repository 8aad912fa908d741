import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { createDaemon } from "./daemon.ts";
import {
  CONFIGURATION,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

const [book, draft] = CONFIGURATION.routes;
/** Longer than tests take, however slowly they are scheduled. */
const LONG_TIMEOUT_MS = 60_000;

function routesWith(faultyTimeoutMs: number) {
  const faulty = { service: "faulty", timeout_ms: faultyTimeoutMs };
  return [
    { ...book, timeout_ms: LONG_TIMEOUT_MS },
    {
      ...book,
      name: "ask",
      path_prefix: "/ask/",
      type: "safe",
      attempts: 2,
      ...faulty,
    },
    { ...draft, resumable: true, attempts: 2, ...faulty },
  ];
}

/**
 * A daemon with a sound server for `/book/`, whose answers take 60 ms, and a
 * faulty one for `/ask/` and `/draft/`, which answers with the given bytes.
 */
async function startDaemon(
  t: ExecutionContext,
  faultyTimeoutMs = LONG_TIMEOUT_MS,
) {
  const store = await startStore();
  let faultyBytes: Buffer = Buffer.alloc(0);
  const sound = await startRawServer((socket: Socket, text) => {
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    setTimeout(() => {
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n` +
          `Content-Length: 5\r\n\r\nsound`,
      );
    }, 60);
  });
  const faulty = await startRawServer((socket) => socket.write(faultyBytes));
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", {
    ...CONFIGURATION,
    routes: routesWith(faultyTimeoutMs),
    services: ["belfry", "faulty"].map((name) => ({ name, max_conns: 100 })),
    tenants: [{ ...CONFIGURATION.tenants[0], rate_per_s: 0 }],
  });
  const servers = { belfry: [sound], faulty: [faulty] };
  for (const [service, addresses] of Object.entries(servers)) {
    for (const { address } of addresses) {
      store.put("keyed.servers", `i-${service}`, {
        service,
        address,
        zone: "a",
        slots: 100,
        phase: "ready",
        models: [],
        born: 1,
      });
    }
  }
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    sound.close();
    faulty.close();
  });
  const ask = async (path: string, timeLeftMs: number) => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let received = "";
    socket.on("data", (chunk) => received += chunk.toString("latin1"));
    socket.on("error", () => {});
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: bells.example\r\nAttempt-Id: a1\r\n` +
        `Deadline-Ms: ${timeLeftMs}\r\nAuthorization: Token good\r\n` +
        "Connection: close\r\nContent-Length: 2\r\n\r\n{}",
    );
    await new Promise((resolve) => socket.once("close", resolve));
    return received;
  };
  /** Lets the faulty server answer so; returns what its client got. */
  const askBeside = async (bytes: Buffer, path: "/ask/1" | "/draft/1") => {
    faultyBytes = bytes;
    const [fromFaulty, fromSound] = await Promise.all([
      ask(path, 2 * faultyTimeoutMs),
      ask("/book/1", LONG_TIMEOUT_MS),
    ]);
    return { fromFaulty, fromSound };
  };
  return { askBeside };
}

const FIELDS = "Attempt-Id: a1\r\nResponse-Seal: s\r\n";
const PLAIN = `${FIELDS}Content-Length: 2\r\n\r\nok`;
const STREAM = `${FIELDS}Transfer-Encoding: chunked\r\n\r\n` +
  "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

const STATUS_LINES = [
  "200 \x01K",
  "200 \x7f",
  "500 \x01",
  "503 \x00",
  "099 OK",
  "000 OK",
  "600 OK",
  "999 OK",
];

// Guards against an answer whose head Node.js reads but refuses to write, which
// ended the process and with it the requests of all other clients.
for (const line of STATUS_LINES) {
  test(`the status line ${JSON.stringify(line)} spoils only its own answer`, async (t) => {
    const { askBeside } = await startDaemon(t);
    for (const [path, rest] of [["/ask/1", PLAIN], ["/draft/1", STREAM]]) {
      const bytes = Buffer.from(`HTTP/1.1 ${line}\r\n${rest}`, "latin1");
      const answers = await askBeside(bytes, path as "/ask/1" | "/draft/1");
      t.regex(answers.fromFaulty, /^HTTP\/1\.1 50[24] /, path);
      t.regex(answers.fromSound, /^HTTP\/1\.1 200 [^]*sound$/, path);
    }
  });
}

// Guards against any other byte of an answer that ends the process.
test("no odd byte of an answer disturbs other requests", async (t) => {
  const { askBeside } = await startDaemon(t, 400);
  const seed = Number(process.env["ODD_BYTES_SEED"] ?? 1);
  const numRuns = Number(process.env["ODD_BYTES_RUNS"] ?? 150);
  t.log(`ODD_BYTES_SEED=${seed}, ODD_BYTES_RUNS=${numRuns}`);
  const trailers = "X-Sum: 1\r\n";
  const answers = [
    ["/ask/1", `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n${PLAIN}`],
    ["/ask/1", `HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 1\r\n${PLAIN}`],
    ["/ask/1", `HTTP/1.1 103 Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n${PLAIN}`],
    ["/draft/1", `HTTP/1.1 200 OK\r\nServer-Load: 1,0,6\r\n${STREAM}`],
    [
      "/draft/1",
      `HTTP/1.1 200 OK\r\n${
        STREAM.replace("0\r\n\r\n", `0\r\n${trailers}\r\n`)
      }`,
    ],
  ] as const;
  const change = fc.record({
    at: fc.nat(),
    byte: fc.integer({ min: 0, max: 255 }),
    count: fc.constantFrom(0, 1, 1, 1, 40),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...answers),
      fc.array(change, { minLength: 1, maxLength: 3 }),
      async ([path, answer], changes) => {
        let bytes = Buffer.from(answer, "latin1");
        for (const { at, byte, count } of changes) {
          const index = at % bytes.length;
          bytes = Buffer.concat([
            bytes.subarray(0, index),
            Buffer.alloc(count, byte),
            bytes.subarray(index + 1),
          ]);
        }
        const { fromSound } = await askBeside(bytes, path);
        return /^HTTP\/1\.1 200 [^]*sound$/.test(fromSound);
      },
    ),
    { seed, numRuns, endOnFailure: true },
  );
  t.pass();
});
