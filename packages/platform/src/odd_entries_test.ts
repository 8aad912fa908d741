import { once } from "node:events";
import { Agent, type IncomingMessage, request } from "node:http";
import { text } from "node:stream/consumers";
import { createClock } from "@endivebend/clock";
import test from "ava";
import { createDaemon } from "./daemon.ts";
import { decodeNamedWeights, decodeServer } from "./decode.ts";
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

const ENTRY = {
  service: "belfry",
  address: "127.0.0.1:9",
  zone: "a",
  slots: 6,
  phase: "ready",
  models: [{ name: "m", version: 3 }],
  born: 1,
};

/** JSON texts, as numbers too large for a double can't be written otherwise. */
const ODD_ENTRIES: Readonly<Record<string, string>> = {
  "a port out of range": entry({ address: "10.1.0.2:99999" }),
  "port 0": entry({ address: "10.1.0.2:0" }),
  "an IP address out of range": entry({ address: "10.1.0.999:80" }),
  "a host with a leading zero": entry({ address: "10.01.0.2:80" }),
  "a weights version too large": entry({}).replace(
    '"version":3',
    '"version":1e400',
  ),
  "a negative weights version": entry({ models: [{ name: "m", version: -1 }] }),
  "too many slots": entry({}).replace('"slots":6', '"slots":1e400'),
  "a start too large": entry({}).replace('"born":1', '"born":1e300'),
  "a long service name": entry({ service: "b".repeat(10_000) }),
  "a long failure domain": entry({ zone: "z".repeat(10_000) }),
  "a long model name": entry({
    models: [{ name: "m".repeat(10_000), version: 1 }],
  }),
};

const DEEP = `{"models":${"[".repeat(100_000)}${"]".repeat(100_000)}}`;

function entry(fields: object): string {
  return JSON.stringify({ ...ENTRY, ...fields });
}

for (const [name, value] of Object.entries(ODD_ENTRIES)) {
  test(`an entry with ${name} names no server`, (t) => {
    t.truthy(decodeServer("i-1", Buffer.from(entry({}))));
    t.is(decodeServer("i-1", Buffer.from(value)), undefined);
  });
}

for (const id of ["line\r\nbreak", "tür", "x".repeat(300), ""]) {
  test(`an entry under the key ${JSON.stringify(id.slice(0, 12))} of ${id.length} characters names no server`, (t) => {
    t.is(decodeServer(id, Buffer.from(entry({}))), undefined);
  });
}

test("weights that no double holds are not named", (t) => {
  const value = '{"model":"m","version":1e400}';
  t.is(decodeNamedWeights(Buffer.from(value)), undefined);
});

test("a deeply nested entry is read like any other", (t) => {
  t.is(decodeServer("i-1", Buffer.from(DEEP)), undefined);
  const nested = entry({}).replace(/^\{/, `{"x":${DEEP},`);
  t.like(decodeServer("i-1", Buffer.from(nested)), { id: "i-1" });
});

for (const address of ["127.0.0.1:99999", "127.0.0.1:-1", "[", ""]) {
  test(`a call to the address ${JSON.stringify(address)} fails by itself`, async (t) => {
    const clock = createClock();
    const client = createServerClient(clock);
    const order = testAttemptOrder(address);
    const { failure } = await runAttempt(client, order);
    t.is(failure?.kind, "unsent");
    t.is(await client.checkListening(address), "unknown");
    const agent = new Agent();
    const call = {
      address,
      method: "GET",
      path: "/",
      headers: {},
      memory: testMemory(),
    } as const;
    t.is(await callEngine(agent, { ...call, timeoutMs: 200 }), undefined);
  });
}

test("a server whose id can't stand in a header fails by itself", async (t) => {
  const client = createServerClient(createClock());
  const order = testAttemptOrder("127.0.0.1:9");
  const server = { ...order.server, id: "a\nb" as never };
  const { failure } = await runAttempt(client, { ...order, server });
  t.is(failure?.kind, "unsent");
});

test("odd entries among those of the servers leave the daemon and the others as they are", async (t) => {
  const store = await startStore();
  const server = await startRawServer((socket, received) => {
    const id = /attempt-id: (\S+)/i.exec(received)?.[1] ?? "";
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Seal: s1\r\n` +
        "Content-Length: 2\r\n\r\nok",
    );
  });
  const settings = await settingsFor(store);
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, server.address);
  let odd = 0;
  for (const value of [...Object.values(ODD_ENTRIES), DEEP]) {
    store.putText("keyed.servers", `odd-${++odd}`, value);
  }
  const daemon = createDaemon(settings);
  daemon.start();
  await waitReady(settings);
  t.teardown(() => {
    store.close();
    server.close();
  });
  const { host, port } = settings.callers;
  for (let sent = 0; sent < 20; sent++) {
    const outgoing = request({
      host,
      port,
      method: "POST",
      path: "/book/1",
      headers: {
        "Host": "bells.example",
        "Attempt-Id": `q${sent}`,
        "Authorization": "Token good",
      },
    }).end("{}");
    const [answer] = await once(outgoing, "response") as [IncomingMessage];
    t.is(await text(answer), "ok");
  }
  await new Promise<void>((resolve) => daemon.stop(resolve));
});
