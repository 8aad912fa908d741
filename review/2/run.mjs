// A backend server spoils one byte of one answer's status line, while requests
// of other clients run at a sound server.
import {
  answerHeaders,
  Client,
  note,
  runCase,
  sleep,
  startDaemons,
  startServer,
  startStore,
} from "../stand_ins/fleet.mjs";
import { fileURLToPath } from "node:url";

/** Whether the disruption is to happen; TROUBLE=0 leaves it out. */
const hasTrouble = process.env.TROUBLE !== "0";

const CLIENTS = 12;
const WORK_MS = 600;
const LIMIT_MS = 3_000;
/** The rule allows three. */
const ALLOWED = 3;

const route = (name, fields) => ({
  name,
  hostname: "seals.example",
  path_prefix: `/${name}/`,
  type: "safe",
  timeout_ms: 3_000,
  target_latency_ms: 1_500,
  priority: 2,
  attempts: 1,
  anonymous: true,
  sticky: false,
  ...fields,
});

function answer(response, attempt) {
  const body = `answer to ${attempt}`;
  response.writeHead(
    200,
    answerHeaders(attempt, { "Content-Length": body.length }),
  );
  response.end(body);
}

async function body() {
  const store = await startStore();
  store.put("keyed.op", "config", {
    version: 3,
    routes: [
      route("orders", { type: "unsafe", service: "bench-app" }),
      route("lookups", { service: "lookup-app" }),
    ],
    services: ["bench-app", "lookup-app"].map((name) => ({
      name,
      health_path: "/health",
      max_conns: 110,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [],
  });
  const sound = await startServer(store, {
    id: "i-sound",
    service: "bench-app",
    run: async ({ response, attempt }) => {
      await sleep(WORK_MS);
      answer(response, attempt);
      note("i-sound", "answered", { attempt });
    },
  });
  await startServer(store, {
    id: "i-faulty",
    service: "lookup-app",
    run: ({ response, attempt }) => {
      if (!hasTrouble) return answer(response, attempt);
      // One byte of the status line is spoiled: 0x01 for the "O" of "OK".
      const head = `HTTP/1.1 200 \x01K\r\nAttempt-Id: ${attempt}\r\n` +
        `Response-Seal: seal.${attempt}\r\nContent-Length: 2\r\n\r\n`;
      note("i-faulty", "sends a spoiled status line", { attempt });
      response.socket.write(`${head}ok`);
    },
  });
  const [daemon] = await startDaemons(store, 1);
  // A machine is in touch 3 s after its start.
  await sleep(3_500);

  const clients = Array.from(
    { length: CLIENTS },
    (_, at) => new Client(`client-${at + 1}`, daemon),
  );
  const order = (client, round) =>
    client.send({
      attempt: `order-${round}-${client.name}`,
      method: "POST",
      host: "seals.example",
      path: "/orders/new",
      body: "one die",
      limitMs: LIMIT_MS,
    });
  // Opens the connections that are kept.
  const first = await Promise.all(clients.map((client) => order(client, 1)));
  if (first.some(({ status }) => status !== 200)) {
    throw new Error("the requests before the disruption were not served");
  }
  const orders = Promise.all(clients.map((client) => order(client, 2)));
  await sleep(WORK_MS / 2);
  const lookup = await new Client("client-lookup", daemon).send({
    attempt: "lookup-1",
    host: "seals.example",
    path: "/lookups/1",
    limitMs: LIMIT_MS,
  });
  const results = await orders;
  const lost = results.filter(({ attempt, outcome }) =>
    outcome !== "complete" && sound.runs.includes(attempt)
  );
  await sleep(200);
  const end = daemon.exit === undefined
    ? "the process runs on"
    : `the process ended by itself with ${JSON.stringify(daemon.exit)}`;
  return {
    broken: lost.length > ALLOWED,
    text: `${lost.length} of ${CLIENTS} orders that the sound server ran ` +
      `were closed without an answer; the lookup: ${lookup.outcome} ` +
      `${lookup.status ?? ""}; ${end}`,
  };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), body);
