import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createClock, createScheduler } from "@endivebend/clock";
import { ServerPaths } from "@endivebend/forwarding";
import {
  type AttemptOrder,
  BEGINS_TOO_LATE,
  CrashGuard,
  ForwardedRuns,
  type RoutedRequest,
  ServerRegistry,
} from "@endivebend/request-path";
import { CrashEvidence, PromptQuarantine } from "@endivebend/quarantine";
import { brandId, type RequestId, type VmId } from "@endivebend/types";
import { serveForwarding } from "./forward_listener.ts";
import { type ClientMessage, createServerClient } from "./server_client.ts";
import {
  runAttempt,
  startRawServer,
  testAttemptOrder,
  testMemory,
  testRoutedRequest,
} from "./testing.ts";
import { UnreadAnswers } from "./unread_answers.ts";
import { UnfinishedBodies } from "./unfinished_bodies.ts";

const IP = "127.0.0.1";

async function freePort(): Promise<number> {
  const server = createServer().listen(0, IP);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  return port;
}

/** A daemon that forwards to a raw server, and a client that sends through it. */
async function start(
  t: ExecutionContext,
  serve: (socket: Socket, request: string) => void,
  { isPeer = true, isListed = true, statedStartMs = 1 } = {},
) {
  const clock = createClock();
  const requests: string[] = [];
  const server = await startRawServer((socket, request) => {
    requests.push(request);
    serve(socket, request);
  });
  const registry = new ServerRegistry();
  const client = createServerClient(clock);
  const quiet = { decision() {}, count() {}, observeMs() {} };
  const evidence = new CrashEvidence();
  const runs = new ForwardedRuns({
    registry,
    clock,
    scheduler: createScheduler(),
    client,
    paths: new ServerPaths({
      failureDomain: brandId("a"),
      scheduler: { after: () => () => {} },
      nowMs: clock.elapsedMs,
      usable: () => [],
      listed: () => [],
      checkAnswering: client.checkAnswering,
      checked() {},
      peers: () => [],
      cutOff() {},
      restored() {},
    }),
    crashGuard: new CrashGuard({
      endCheck: { hasEnded: () => Promise.resolve(false) },
      evidence,
      quarantine: new PromptQuarantine({
        evidence,
        mayTry: () => true,
        changed() {},
      }),
      nowMs: clock.elapsedMs,
      crashSeen() {},
    }),
    processCheck: {
      isFresh: () => false,
      check: (known) => {
        known.stated = { startedAtMs: statedStartMs, atMs: 0 };
        return Promise.resolve(true);
      },
    },
    log: quiet,
    metrics: quiet,
    isLeaving: () => false,
  });
  const port = await freePort();
  const failures: string[] = [];
  const listener = serveForwarding({
    ip: IP,
    port,
    runs,
    isPeer: () => isPeer,
    failed: (reason) => failures.push(reason),
    clock,
    memory: testMemory(),
    metrics: quiet,
    unread: new UnreadAnswers(testMemory()),
    unfinished: new UnfinishedBodies(clock),
    processLimits: { memoryBytes: 186_646_528, maxDescriptors: 4_100 },
  });
  const order = testAttemptOrder(server.address, {
    deadlineMs: clock.elapsedMs() + 5_000,
    forwarder: { vm: brandId<VmId>("vm-2"), address: `${IP}:${port}` },
  });
  if (isListed) {
    registry.upsert({
      id: order.server.id,
      service: order.server.service,
      address: server.address,
      failureDomain: order.server.failureDomain,
      isLeaving: false,
      slots: 4,
      weights: new Map(),
      softwareVersion: undefined,
      startedAtMs: 1,
      reportCount: 1,
    });
  }
  t.teardown(() => {
    listener.close();
    server.close();
  });
  const send = (fields: Partial<AttemptOrder> = {}) =>
    runAttempt(createServerClient(clock, { ip: IP }), { ...order, ...fields });
  return { send, order, runs, requests, registry, failures, server, clock };
}

/** The same request with another id. */
function requestWithId(id: string): RoutedRequest {
  const request = testRoutedRequest({ requestId: brandId<RequestId>(id) });
  const message = request.message as ClientMessage;
  const rawHeaders = message.rawHeaders.map((text) =>
    text === "a1" ? id : text
  );
  return { ...request, message: { ...message, rawHeaders } };
}

const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s1\r\n";

test("a forwarded request reaches its server as it was sent, and its answer comes back", async (t) => {
  const { send, requests, runs } = await start(t, (socket) => {
    socket.write(`${HEAD}Server-Load: 1,0,4\r\nContent-Length: 4\r\n\r\ndone`);
  });
  const result = await send();
  t.true(result.isComplete);
  t.is(result.body, "done");
  t.like(result.head, { status: 200, hasProof: true, load: { running: 1 } });
  t.regex(requests[0]!, /^POST \/book\/1\?x=2 HTTP\/1\.1\r\n/);
  t.regex(requests[0]!, /\r\nX-Own: y\r\n/);
  t.regex(requests[0]!, /\r\nExpect-Instance: i-1\r\n/);
  t.regex(requests[0]!, /\r\n\r\n\{\}$/);
  t.notRegex(requests[0]!, /endivebend-/i);
  const left = Number(/Deadline-Ms: (\d+)/.exec(requests[0]!)?.[1]);
  t.true(left > 0 && left <= 5_000);
  t.is(runs.openCount, 0);
});

test("the VM that forwards records what the answer tells of the server", async (t) => {
  const { send, registry, order } = await start(t, (socket) => {
    socket.write(
      "HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nNot-Run: 1\r\n" +
        "Server-Leaving: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
    );
  });
  t.like((await send()).head, { isNotRun: true, isLeaving: true });
  const server = registry.get(order.server.id)!;
  t.true(registry.isLeaving(server));
  t.true(server.quietUntilMs > 0);
  t.like(await send(), { failure: { kind: "unsent" } });
});

test("an answer that ends with its connection stays one without a length", async (t) => {
  const { send } = await start(t, (socket) => {
    socket.end(`${HEAD}Connection: close\r\n\r\nrest`);
  });
  const result = await send();
  t.true(result.isComplete);
  t.is(result.body, "rest");
  t.false((result.head?.message as { isFramed: boolean }).isFramed);
});

test("a second copy is no part of a forwarded answer without a length", async (t) => {
  const answer = `${HEAD}Connection: close\r\n\r\nrest`;
  const { send } = await start(t, (socket) => socket.end(answer + answer));
  const result = await send();
  t.true(result.isComplete);
  t.is(result.body, "rest");
});

test("a forwarded answer without a length is incomplete when it is reset", async (t) => {
  const { send } = await start(t, (socket) => {
    socket.write(`${HEAD}Connection: close\r\n\r\nhalf`);
    socket.resetAndDestroy();
  });
  t.like(await send(), { isComplete: false, failure: { kind: "broken" } });
});

// Such a refusal may be a copy of one to an earlier request, and the request at
// hand runs.
test("a refusal without an id on a used connection tells a forwarded request nothing", async (t) => {
  const sockets = new Set<Socket>();
  const { send } = await start(t, (socket, request) => {
    const isUsed = sockets.has(socket);
    sockets.add(socket);
    const id = /attempt-id: (\S+)/i.exec(request)?.[1] ?? "";
    const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" +
      "Content-Length: 0\r\n\r\n";
    const head = HEAD.replace("a1", id);
    const answer = `${head}Content-Length: 4\r\n\r\ndone`;
    socket.write((isUsed ? refusal : "") + answer);
  });
  t.true((await send()).isComplete);
  await new Promise(setImmediate);
  const second = await send({ request: requestWithId("a2") });
  t.is(sockets.size, 1);
  t.is(second.head, undefined);
  t.like(second, { isComplete: false, failure: { kind: "broken" } });
});

const CUTS: Readonly<Record<string, (socket: Socket) => void>> = {
  "before its head": (socket) => socket.destroy(),
  "in its body": (socket) => {
    socket.write(`${HEAD}Content-Length: 40\r\n\r\npart`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  "in a chunk": (socket) => {
    socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\npart`);
    setTimeout(() => socket.destroy(), 20);
  },
};

for (const [where, cut] of Object.entries(CUTS)) {
  test(`an answer that is cut ${where} is not complete, and may have run`, async (t) => {
    const { send } = await start(t, (socket) => cut(socket));
    const result = await send();
    t.false(result.isComplete);
    t.is(result.failure?.kind, "broken");
  });
}

test("a server that accepts no connection has not run the request", async (t) => {
  const { send, server } = await start(t, () => {});
  server.close();
  const { failure } = await send();
  t.is(failure?.kind, "unsent");
  t.is(failure?.at, undefined);
});

test("a VM that does not know the server or the sender has not sent the request on", async (t) => {
  const unlisted = await start(t, () => {}, { isListed: false });
  t.like((await unlisted.send()).failure, { kind: "unsent", at: "forwarder" });
  const stranger = await start(t, () => {}, { isPeer: false });
  const { head, isComplete } = await stranger.send();
  t.false(isComplete && head?.hasProof === true);
  t.is(stranger.requests.length, 0);
  t.deepEqual(stranger.failures, ["not a daemon's address"]);
});

test("a VM that does not run has not sent the request on", async (t) => {
  const { send, order } = await start(t, () => {});
  const forwarder = {
    ...order.forwarder!,
    address: `${IP}:${await freePort()}`,
  };
  t.like(await send({ forwarder }), {
    failure: { kind: "unsent", at: "forwarder" },
  });
});

test("a request that goes on with a stream is sent on to the process that is expected, and to no other", async (t) => {
  const answer = `${HEAD}Content-Length: 4\r\n\r\ndone`;
  const same = await start(t, (socket) => socket.write(answer));
  t.true((await same.send({ expectedStartMs: 1 })).isComplete);
  const other = await start(t, (socket) => socket.write(answer), {
    statedStartMs: 2,
  });
  t.like(await other.send({ expectedStartMs: 1 }), {
    failure: { kind: "unsent", reason: "other_process" },
  });
  t.is(other.requests.length, 0);
  t.true((await other.send()).isComplete);
});

test("a caller that leaves ends the request at the server", async (t) => {
  let closed: Promise<unknown> | undefined;
  const { order, runs, clock } = await start(t, (socket) => {
    closed = once(socket, "close");
    socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n`);
  });
  const client = createServerClient(clock, { ip: IP });
  await new Promise<void>((resolve) => {
    const handle = client.start(order, {
      connected() {},
      sent() {},
      head() {},
      data() {
        handle.abort();
        resolve();
      },
      end() {},
      failed() {},
    });
  });
  await closed;
  t.is(runs.openCount, 0);
});

test("a caller that does not read holds the server back", async (t) => {
  const chunk = Buffer.alloc(65_536);
  let written = 0;
  const { order, clock } = await start(t, (socket) => {
    socket.write(`${HEAD}Content-Length: ${chunk.length * 2_000}\r\n\r\n`);
    const more = () => {
      while (socket.writable && written < 2_000) {
        written += 1;
        if (!socket.write(chunk)) return void socket.once("drain", more);
      }
    };
    more();
  });
  const client = createServerClient(clock, { ip: IP });
  const handle = client.start(order, {
    connected() {},
    sent() {},
    head() {},
    data: () => handle.pause(),
    end() {},
    failed() {},
  });
  // The sockets' buffers fill within some milliseconds.
  let before = -1;
  while (written !== before) {
    before = written;
    await new Promise((resolve) => setTimeout(resolve, 150));
  }
  t.true(written < 1_000, `${written} chunks of 64 KiB were taken`);
  handle.abort();
});

test("a plain route's request may be repeated over a kept connection", async (t) => {
  const { send } = await start(t, (socket) => {
    socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
  });
  const request = testRoutedRequest();
  const repeatable = {
    ...request,
    route: { ...request.route, kind: "repeatable" as const },
  };
  for (let count = 0; count < 3; count++) {
    t.true((await send({ request: repeatable })).isComplete);
  }
});

test("the VM that forwards sends nothing on once the time to begin is over", async (t) => {
  const { order, requests, clock } = await start(t, () => {});
  // The VM that the request comes from has decided before a pause.
  const sentAtMs = clock.elapsedMs();
  const past = { wallMs: clock.wallMs, elapsedMs: () => sentAtMs };
  const { failure } = await runAttempt(createServerClient(past, { ip: IP }), {
    ...order,
    beginByMs: sentAtMs + 0.5,
  });
  t.like(failure, { kind: "unsent", reason: BEGINS_TOO_LATE });
  t.is(failure?.at, undefined);
  t.deepEqual(requests, []);
});

test("a forwarded request with time to begin reaches its server without the headers between VMs", async (t) => {
  const { send, requests, clock } = await start(t, (socket) => {
    socket.write(`${HEAD}Content-Length: 4\r\n\r\ndone`);
  });
  const beginByMs = clock.elapsedMs() + 60_000;
  t.true((await send({ beginByMs })).isComplete);
  t.notRegex(requests[0]!, /endivebend-/i);
});
