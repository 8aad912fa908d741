import { request } from "node:http";
import type { Socket } from "node:net";
import test from "ava";
import { createDaemon } from "./daemon.ts";
import type { PlatformSettings } from "./settings.ts";
import {
  CONFIGURATION,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

interface Answer {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly body: string;
  readonly isWhole: boolean;
}

const ROUTES = CONFIGURATION.routes.map((route) =>
  route.type === "stream" ? { ...route, resumable: true } : route
);

/** What a server states of itself, with the start of its process. */
const REPORT = JSON.stringify({ models: [], busy: false, seq: 0, born: 1 });

function send(
  settings: PlatformSettings,
  requestId: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      ...settings.callers,
      method: "POST",
      path: "/draft/1",
      headers: {
        host: "bells.example",
        "attempt-id": requestId,
        "deadline-ms": "4000",
        authorization: "Token good",
        ...headers,
      },
    }, (answer) => {
      outgoing.off("error", reject);
      outgoing.on("error", () => {});
      let body = "";
      answer.on("data", (chunk) => body += chunk);
      answer.on("error", () => {});
      answer.on("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          retryAfter: answer.headers["retry-after"],
          body,
          isWhole: answer.complete,
        }));
    });
    outgoing.on("error", reject);
    outgoing.end("{}");
  });
}

/** A server whose first events tell its name; it ends new streams midway. */
function startVersion(name: string, seen: string[]) {
  return startRawServer((socket: Socket, text) => {
    if (text.startsWith("GET /api/report")) {
      return void socket.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${REPORT.length}\r\n\r\n${REPORT}`,
      );
    }
    seen.push(text);
    const requestId = /attempt-id: (\S+)/i.exec(text)?.[1];
    const isTakeUp = /last-event-id/i.test(text);
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\n` +
        "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    const event = `id: ${isTakeUp ? 2 : 1}\ndata: ${name}\n\n`;
    const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
    if (isTakeUp) socket.write(`${chunk}0\r\n\r\n`);
    else socket.write(chunk, () => setTimeout(() => socket.destroy(), 50));
  });
}

// Guards against take-ups that go to a server of another software version.
test("a take-up goes on at the version that began the stream it names", async (t) => {
  const store = await startStore();
  const seen: string[] = [];
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  store.put("keyed.op", "config", { ...CONFIGURATION, routes: ROUTES });
  const servers = await Promise.all(
    ["v1", "v2"].map((version) => startVersion(version, seen)),
  );
  servers.forEach(({ address }, index) =>
    store.put("keyed.servers", `i-${index + 1}`, {
      service: "belfry",
      address,
      zone: "a",
      slots: 6,
      phase: "ready",
      models: [],
      born: 1,
      version: `v${index + 1}`,
    })
  );
  daemon.start();
  await waitReady(settings);

  const first = await send(settings, "a1");
  t.false(first.isWhole);
  const version = /data: (v\d)/.exec(first.body)?.[1];
  t.truthy(version);
  for (let number = 1; number <= 6; number++) {
    const named = { resumes: "a1", "last-event-id": "1" };
    const answer = await send(settings, `b${number}`, named);
    t.is(answer.status, 200);
    t.is(answer.body, `id: 2\ndata: ${version}\n\n`);
  }
  t.regex(seen.at(-1) ?? "", /resumes: a1/i);

  const before = seen.length;
  const unnamed = await send(settings, "c1", { "last-event-id": "1" });
  t.is(unnamed.status, 503);
  t.true(Number(unnamed.retryAfter) > 0);
  const unknown = { resumes: "a9", "last-event-id": "1" };
  t.is((await send(settings, "c2", unknown)).status, 503);
  t.is(seen.length, before, "refused take-ups reach no server");

  await new Promise<void>((resolve) => daemon.stop(resolve));
  store.close();
  for (const server of servers) server.close();
});
