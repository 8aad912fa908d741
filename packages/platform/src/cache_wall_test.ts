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

const [, draft] = CONFIGURATION.routes;
const [team] = CONFIGURATION.tenants;

/** A daemon with an engine; returns the salt with which a request reaches it. */
async function startDaemon(t: ExecutionContext) {
  const store = await startStore();
  let salt: string | undefined;
  const engine = await startRawServer((socket: Socket, text) => {
    // The daemon also asks engines for events and reports.
    if (text.includes("POST /draft/")) {
      salt = /^cache-salt: (.*)\r$/im.exec(text)?.[1];
    }
    socket.write(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n" +
        "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    );
  });
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", {
    ...CONFIGURATION,
    routes: [draft],
    tenants: [
      { ...team, name: "apart", api_keys: ["apart"], dedicated: true },
      { ...team, name: "first", api_keys: ["first"] },
      { ...team, name: "second", api_keys: ["second"] },
    ],
  });
  store.put("keyed.servers", "i-1", {
    service: "belfry",
    address: engine.address,
    zone: "a",
    slots: 6,
    phase: "ready",
    models: [{ name: "m", version: 3, adapters: [] }],
    born: 1,
  });
  await waitReady(settings);
  t.teardown(async () => {
    await new Promise<void>((resolve) => daemon.stop(resolve));
    store.close();
    engine.close();
  });
  const ask = async (key: string, headers: string) => {
    const socket = connect(settings.callers.port, settings.callers.host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.write(
      "POST /draft/1 HTTP/1.1\r\nHost: bells.example\r\nAttempt-Id: a1\r\n" +
        `Deadline-Ms: 2000\r\nAuthorization: Token ${key}\r\n${headers}` +
        "Connection: close\r\nContent-Length: 2\r\n\r\n{}",
    );
    await new Promise((resolve) => socket.once("close", resolve));
    return received;
  };
  return async (key: string, headers: string) => {
    salt = undefined;
    let received = await ask(key, headers);
    // Clients come back after a refusal, such as that of a busy machine.
    for (let tries = 1; tries < 5 && / 503 /.test(received); tries++) {
      await new Promise((resolve) => setTimeout(resolve, 600));
      received = await ask(key, headers);
    }
    t.regex(received, /^HTTP\/1\.1 200 /);
    return salt;
  };
}

const PROMPT = "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n";

// Guards against requests that reach an engine without a salt and so share its
// cache with every team.
for (
  const [what, headers] of Object.entries({
    "all headers": `Model: m\r\nToken-Usage: 1210,80\r\n${PROMPT}`,
    "no token counts": `Model: m\r\n${PROMPT}`,
    "odd token counts": `Model: m\r\nToken-Usage: many\r\n${PROMPT}`,
    "an unknown model": `Model: other\r\nToken-Usage: 1210,80\r\n${PROMPT}`,
    "no model": `Token-Usage: 1210,80\r\n${PROMPT}`,
    "a salt of its own": `Cache-Salt: 3/\r\n${PROMPT}`,
  })
) {
  test(`requests of an isolated team with ${what} share no cache with others`, async (t) => {
    const saltOf = await startDaemon(t);
    const apart = await saltOf("apart", headers);
    const first = await saltOf("first", headers);
    t.truthy(apart);
    t.truthy(first);
    t.not(apart, first);
    const isShared = headers.includes("Model: m");
    t.is(await saltOf("second", headers) === first, isShared);
  });
}
