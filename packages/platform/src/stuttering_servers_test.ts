import { Agent, request } from "node:http";
import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createDaemon } from "./daemon.ts";
import {
  CONFIGURATION,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

const seed = Number(process.env["STUTTER_SEED"] ?? 1);
const requestCount = Number(process.env["STUTTER_REQUESTS"] ?? 1_500);
const stutterShare = Number(process.env["STUTTER_SHARE"] ?? 0.5);
const EVENTS = 4;
const KINDS = ["book", "ask", "draft"] as const;
type Kind = typeof KINDS[number];
/** When and of what a second copy is sent. */
const FORMS = [
  "at once",
  "soon",
  "late",
  "with next",
  "two pieces",
  "tail",
  "cut off",
  "refusal",
  "refusal with next",
  "hints with next",
];
const REFUSAL = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const HINTS = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n";
const FRAMINGS = (process.env["STUTTER_FRAMINGS"] ?? "length,chunked,none")
  .split(",");

/** Pseudo-random numbers in [0, 1) (mulberry32). */
function randomFrom(start: number): () => number {
  let state = start;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function bodyOf(kind: Kind, id: string, after = 0): string {
  if (kind !== "draft") return `${kind} ${id} ${"x".repeat(id.length * 7)}`;
  return Array.from(
    { length: EVENTS - after },
    (_, index) => `id: ${after + index + 1}\ndata: ${id}\n\n`,
  ).join("");
}

function framed(framing: string, head: string, body: string): string {
  if (framing === "none") return `${head}Connection: close\r\n\r\n${body}`;
  if (framing === "length") {
    return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  }
  const size = body.length.toString(16);
  return `${head}Transfer-Encoding: chunked\r\n\r\n${size}\r\n${body}\r\n` +
    "0\r\n\r\n";
}

/** What the servers have done; the callers' answers are held against it. */
class Record {
  readonly runs = new Map<string, number>();
  readonly answered = new Set<string>();
  readonly connections = new Set<Socket>();
  copies = 0;
}

/** Answers requests on a raw socket, some of them twice. */
function stutter(random: () => number, record: Record) {
  const pending = new WeakMap<Socket, string>();
  const pick = <T>(values: readonly T[]) =>
    values[Math.floor(random() * values.length)]!;
  return (socket: Socket, text: string) => {
    record.connections.add(socket);
    const id = /attempt-id: (\S+)/i.exec(text)?.[1] ?? "";
    const kind = /^POST \/(\w+)\//.exec(text)?.[1] as Kind;
    const after = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0);
    const isRefused = random() < 0.1;
    const framing = isRefused ? "length" : pick(FRAMINGS);
    const withId = !isRefused || random() < 0.5 ? `Attempt-Id: ${id}\r\n` : "";
    let answer: string;
    if (isRefused) {
      const head = `HTTP/1.1 503 Busy\r\n${withId}Not-Run: 1\r\n`;
      answer = framed(framing, head, "full");
    } else {
      record.runs.set(id, (record.runs.get(id) ?? 0) + 1);
      record.answered.add(id);
      const head = `HTTP/1.1 200 OK\r\n${withId}Response-Seal: s\r\n`;
      answer = framed(framing, head, bodyOf(kind, id, after));
    }
    const prefix = pending.get(socket) ?? "";
    pending.delete(socket);
    const isTwice = random() < stutterShare;
    let form = isTwice ? pick(FORMS) : "none";
    if (framing === "none" && form === "tail") form = "at once";
    if (isTwice) record.copies += 1;
    const end = () => {
      if (framing === "none") socket.end();
    };
    const write = (bytes: string, then = () => {}) => {
      if (socket.destroyed || socket.writableEnded) return;
      socket.write(bytes, () => then());
    };
    // The copy's beginning is long enough to be told from the body.
    const cut = 12 + Math.floor(random() * (answer.length - 12));
    const later = (bytes: string, ms: number) => {
      setTimeout(() => write(bytes, end), ms);
    };
    const lateMs = Math.floor(random() * 30);
    const sent = prefix + answer;
    const send: { readonly [form: string]: () => void } = {
      "none": () => {
        const at = Math.floor(random() * sent.length);
        write(sent.slice(0, at));
        setImmediate(() => write(sent.slice(at), end));
      },
      "at once": () => write(sent + answer, end),
      "soon": () => write(sent, () => setImmediate(write, answer, end)),
      "late": () => write(sent, () => later(answer, lateMs)),
      "with next": () => {
        write(sent, end);
        pending.set(socket, answer);
      },
      "cut off": () => write(sent + answer.slice(0, cut), end),
      "refusal": () =>
        write(sent + REFUSAL.replace("Not", `Attempt-Id: ${id}\r\nNot`), end),
      "refusal with next": () => {
        write(sent, end);
        pending.set(socket, REFUSAL);
      },
      "hints with next": () => {
        write(sent, end);
        pending.set(socket, HINTS + answer);
      },
      // A piece without a head can't be told from an answer in the midst of
      // which it comes, so it follows in the same turn.
      "two pieces": () => {
        write(sent + answer.slice(0, cut));
        setImmediate(() => write(answer.slice(cut), end));
      },
      "tail": () => {
        write(sent);
        setImmediate(() => write(answer.slice(cut), end));
      },
    };
    send[form]!();
  };
}

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
}

function ask(
  agent: Agent,
  { host, port }: { readonly host: string; readonly port: number },
  { kind, id }: { readonly kind: Kind; readonly id: string },
): Promise<Answer> {
  return new Promise((resolve) => {
    let text = "";
    let status = 0;
    const settle = (isWhole: boolean) => resolve({ status, text, isWhole });
    const outgoing = request({
      agent,
      host,
      port,
      method: "POST",
      path: `/${kind}/1`,
      headers: {
        "host": "bells.example",
        "attempt-id": id,
        "deadline-ms": 8_000,
        "authorization": "Token good",
        "content-length": 2,
      },
    }, (answer) => {
      status = answer.statusCode ?? 0;
      answer.on("data", (chunk) => text += chunk);
      answer.on("end", () => settle(answer.complete));
      answer.on("error", () => settle(false));
    });
    outgoing.on("error", () => settle(false));
    outgoing.end("{}");
  });
}

/** A daemon with that many stuttering servers of one service. */
async function startDaemon(
  t: ExecutionContext,
  { servers, record }: { readonly servers: number; readonly record: Record },
) {
  const store = await startStore();
  const random = randomFrom(seed * 100 + servers);
  const started = await Promise.all(
    Array.from(
      { length: servers },
      () => startRawServer(stutter(random, record)),
    ),
  );
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  const [book, draft] = CONFIGURATION.routes;
  store.put("keyed.op", "config", {
    ...CONFIGURATION,
    services: [{ name: "belfry", max_conns: 1_000 }],
    routes: [
      book,
      { ...book, name: "ask", path_prefix: "/ask/", type: "safe", attempts: 2 },
      { ...draft, resumable: true, attempts: 2 },
    ],
    tenants: [{ ...CONFIGURATION.tenants[0], rate_per_s: 0 }],
  });
  for (const [index, { address }] of started.entries()) {
    store.put("keyed.servers", `i-${index}`, {
      service: "belfry",
      address,
      zone: "a",
      slots: 100,
      phase: "ready",
      models: [],
      born: 1,
    });
  }
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    for (const server of started) server.close();
  });
  return settings.callers;
}

// Guards against an answer that isn't the caller's or isn't whole, and against
// refusals of requests that ran, from servers that answer twice.
for (const servers of [1, 2, 3]) {
  test(`no copy of an answer reaches a caller from ${servers} stuttering servers`, async (t) => {
    t.log(
      `STUTTER_SEED=${seed}, STUTTER_REQUESTS=${requestCount}, ` +
        `STUTTER_SHARE=${stutterShare}`,
    );
    const record = new Record();
    const callers = await startDaemon(t, { servers, record });
    const agent = new Agent({ keepAlive: true });
    t.teardown(() => agent.destroy());
    const random = randomFrom(seed);
    const tally = new Map<string, number>();
    let next = 0;
    const callInTurn = async () => {
      while (next < requestCount) {
        const kind = KINDS[Math.floor(random() * KINDS.length)]!;
        const id = `${kind}-${next++}`;
        const { status, text, isWhole } = await ask(agent, callers, {
          kind,
          id,
        });
        const runs = record.runs.get(id) ?? 0;
        if (status === 200) {
          const own = bodyOf(kind, id);
          t.true(
            isWhole ? text === own : own.startsWith(text),
            `${id}: ${text}`,
          );
          t.true(record.answered.has(id), id);
        }
        if (status === 503 && kind === "book") t.is(runs, 0, id);
        if (kind === "book") t.true(runs <= 1, id);
        const outcome = `${kind} ${isWhole ? status : "broken off"}`;
        tally.set(outcome, (tally.get(outcome) ?? 0) + 1);
      }
    };
    await Promise.all(Array.from({ length: 24 }, callInTurn));
    t.log(JSON.stringify({
      copies: record.copies,
      connections: record.connections.size,
      ...Object.fromEntries([...tally].sort()),
    }));
    t.true(record.copies > requestCount * stutterShare / 4);
  });
}
