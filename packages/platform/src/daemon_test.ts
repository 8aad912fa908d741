import { once } from "node:events";
import { Agent, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import test from "ava";
import { createDaemon } from "./daemon.ts";
import type { PlatformSettings } from "./settings.ts";
import {
  CONFIGURATION,
  putServer,
  settingsFor,
  startRawServer,
  waitReady,
} from "./testing.ts";
import { startStore } from "./testing_store.ts";

interface Answer {
  readonly status: number;
  readonly body: string;
  readonly headers: Record<string, unknown>;
}

function send(
  settings: PlatformSettings,
  path: string,
  headers: Record<string, string> = {},
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      ...settings.callers,
      method: "POST",
      path,
      headers: {
        host: "bells.example",
        "attempt-id": "a1",
        "deadline-ms": "2000",
        authorization: "Token good",
        ...headers,
      },
    }, (answer) => {
      let body = "";
      answer.on("data", (chunk) => body += chunk);
      answer.on("end", () =>
        resolve({
          status: answer.statusCode ?? 0,
          body,
          headers: answer.headers,
        }));
    });
    outgoing.on("error", reject);
    outgoing.end("{}");
  });
}

test("the daemon serves a request, refuses others with a fitting status, and stops", async (t) => {
  const store = await startStore();
  const requestTexts: string[] = [];
  const engine = await startRawServer((socket: Socket, text) => {
    requestTexts.push(text);
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s1\r\n" +
        "Content-Length: 6\r\n\r\nbooked",
    );
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();

  const beforeConfiguration = await send(settings, "/book/1");
  t.is(beforeConfiguration.status, 503, "no configuration is known yet");

  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, engine.address);
  store.put("keyed.servers", "foreign", { service: 5 });
  await waitReady(settings);

  const answer = await send(settings, "/book/1");
  t.is(answer.status, 200);
  t.is(answer.body, "booked");
  t.is(answer.headers["response-seal"], "s1");
  t.regex(requestTexts[0] ?? "", /Tenant: st-mary/);
  t.notRegex(requestTexts[0] ?? "", /good/);

  t.is((await send(settings, "/elsewhere/")).status, 404);
  const wrongKey = { authorization: "Token bad" };
  t.is((await send(settings, "/book/1", wrongKey)).status, 401);

  store.put("keyed.op", "config", {
    ...CONFIGURATION,
    version: 2,
    tenants: [],
  });
  store.put("keyed.op", "config", CONFIGURATION);
  await new Promise((resolve) => setTimeout(resolve, 200));
  const withOldRevision = await send(settings, "/book/1", wrongKey);
  t.is(withOldRevision.status, 200, "an older revision is never applied again");

  store.remove("keyed.servers", "i-1");
  store.faults.isDown = true;
  const whileDown = await send(settings, "/book/1");
  t.is(
    whileDown.status,
    200,
    "the known state stays in force while the store is down",
  );

  await new Promise<void>((resolve) => daemon.stop(resolve));
  await t.throwsAsync(send(settings, "/book/1"));
  store.close();
  engine.close();
});

// Guards against an explanation that reaches a server, or that names a key.
test("the daemon explains where a request would go, and sends nothing", async (t) => {
  const store = await startStore();
  const requestTexts: string[] = [];
  const engine = await startRawServer((_socket, text) => {
    requestTexts.push(text);
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, engine.address);
  await waitReady(settings);
  const ask = async (path: string) => {
    const { host, port } = settings.metrics;
    const answer = await fetch(`http://${host}:${port}/explain-route`, {
      method: "POST",
      body: JSON.stringify({ host: "bells.example", path, team: "st-mary" }),
    });
    return { status: answer.status, text: await answer.text() };
  };

  const { status, text } = await ask("/book/1");
  t.is(status, 200);
  const explanation = JSON.parse(text);
  t.is(explanation.team, "st-mary");
  t.like(explanation.services[0], {
    share: 1,
    outcome: { kind: "placed", server: "i-1" },
    candidateCount: 1,
  });
  t.false(text.includes("good"), "the team's key is not told");
  t.deepEqual(JSON.parse((await ask("/elsewhere/")).text), {
    kind: "denied",
    reason: "unknown_route",
  });
  t.deepEqual(requestTexts, []);

  await new Promise<void>((resolve) => daemon.stop(resolve));
  store.close();
  engine.close();
});

test("the connection of a stream that ends while draining is closed", async (t) => {
  const store = await startStore();
  const engine = await startRawServer((socket: Socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s1\r\n" +
        "Content-Length: 16\r\n\r\nid: 1\n\n",
    );
    setTimeout(() => socket.write("id: 2\n\n\n\n"), 300);
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, engine.address);
  await waitReady(settings);

  const agent = new Agent({ keepAlive: true });
  const outgoing = request({
    ...settings.callers,
    agent,
    method: "POST",
    path: "/draft/1",
    headers: {
      host: "bells.example",
      "attempt-id": "a1",
      "deadline-ms": "5000",
      authorization: "Token good",
    },
  });
  outgoing.end("{}");
  const [answer] = await once(outgoing, "response") as [IncomingMessage];
  const stopped = new Promise<void>((resolve) => daemon.stop(resolve));
  const connectionClosed = once(answer.socket, "close");
  let body = "";
  for await (const chunk of answer) body += chunk;
  t.is(body, "id: 1\n\nid: 2\n\n\n\n");
  const timeLimit = new Promise((resolve) =>
    setTimeout(resolve, 1_500, "open")
  );
  t.not(await Promise.race([connectionClosed, timeLimit]), "open");
  await stopped;
  agent.destroy();
  store.close();
  engine.close();
});
