// A faulty model engine answers requests with a failure whose body has no end,
// in chunks of one byte, while requests of other clients run at a sound server.
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

const ORDER_CLIENTS = 12;
const ORDERS_FOR_MS = 15_000;
const WORK_MS = 600;
const ORDER_LIMIT_MS = 3_000;
const MOTTO_CLIENTS = 4;
const MOTTO_LIMIT_MS = 15_000;
/** The rule allows three. */
const ALLOWED = 3;
/** Chunks of one byte each that are written at a time. */
const CHUNKS = Buffer.from("1\r\nx\r\n".repeat(4_096));

const route = (name, fields) => ({
  name,
  hostname: "seals.example",
  path_prefix: `/${name}/`,
  attempts: 1,
  anonymous: true,
  ...fields,
});

/** Answers with a failure whose body ends only when the caller closes. */
function failWithoutEnd({ socket }, attempt) {
  let sentBytes = 0;
  socket.on("error", () => {});
  socket.write(
    "HTTP/1.1 500 Internal Server Error\r\n" +
      `Attempt-Id: ${attempt}\r\nResponse-Seal: seal.${attempt}\r\n` +
      "Transfer-Encoding: chunked\r\n\r\n",
  );
  const send = () => {
    while (!socket.destroyed) {
      sentBytes += CHUNKS.length;
      if (!socket.write(CHUNKS)) return;
    }
  };
  socket.on("drain", send);
  socket.on(
    "close",
    () =>
      note("i-faulty", "connection closed by caller", { attempt, sentBytes }),
  );
  note("i-faulty", "sends a failure without end", { attempt });
  send();
}

async function body() {
  const store = await startStore();
  store.put("keyed.op", "config", {
    version: 3,
    routes: [
      route("orders", {
        type: "unsafe",
        service: "bench-app",
        timeout_ms: ORDER_LIMIT_MS,
        target_latency_ms: 1_500,
        priority: 2,
        sticky: false,
      }),
      route("mottos", {
        type: "stream",
        service: "heraldry-llm",
        timeout_ms: MOTTO_LIMIT_MS,
        target_latency_ms: 1_000,
        priority: 0,
        sticky: true,
        resumable: false,
        gap_target_ms: 400,
      }),
    ],
    services: [
      { name: "bench-app", max_conns: 110 },
      {
        name: "heraldry-llm",
        max_conns: 620,
        engine: {
          slots: 128,
          stride: 4,
          max_inflight: 12,
          models: [{ name: "m0" }],
        },
      },
    ].map((service) => ({
      health_path: "/health",
      protocol: "h1",
      tls: false,
      ...service,
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
    slots: ORDER_CLIENTS,
    run: async ({ response, attempt }) => {
      await sleep(WORK_MS);
      const text = `answer to ${attempt}`;
      response.writeHead(
        200,
        answerHeaders(attempt, { "Content-Length": text.length }),
      );
      response.end(text);
    },
  });
  await startServer(store, {
    id: "i-faulty",
    service: "heraldry-llm",
    models: [{ name: "m0", version: 1, adapters: [] }],
    run: ({ response, attempt }) => {
      if (hasTrouble) return failWithoutEnd(response, attempt);
      response.writeHead(
        500,
        answerHeaders(attempt, { "Content-Length": 1_000 }),
      );
      response.end("x".repeat(1_000));
    },
  });
  const [daemon] = await startDaemons(store, 1);
  // A machine is in touch 3 s after its start.
  await sleep(3_500);
  const untilMs = performance.now() + ORDERS_FOR_MS;
  const sendingOrders = Promise.all(
    Array.from({ length: ORDER_CLIENTS }, async (_, at) => {
      const client = new Client(`client-order-${at + 1}`, daemon);
      const results = [];
      await sleep(at * WORK_MS / ORDER_CLIENTS);
      for (let count = 1; performance.now() < untilMs; count++) {
        const result = await client.send({
          attempt: `order-${at + 1}-${count}`,
          method: "POST",
          host: "seals.example",
          path: "/orders/new",
          body: "one die",
          limitMs: ORDER_LIMIT_MS,
        });
        results.push(result);
        if (result.outcome === "none") break;
      }
      return results;
    }),
  );
  // The orders' connections are kept from here on.
  await sleep(2 * WORK_MS);
  const mottos = Array.from(
    { length: MOTTO_CLIENTS },
    (_, at) =>
      new Client(`client-motto-${at + 1}`, daemon).send({
        attempt: `motto-${at + 1}`,
        method: "POST",
        host: "seals.example",
        path: "/mottos/new",
        headers: {
          Model: "m0",
          "Token-Usage": "300,200",
          "Prompt-Prefix": `aa:100,bb:100,c${at}:100`,
        },
        body: "a family",
        limitMs: MOTTO_LIMIT_MS,
      }),
  );
  const orders = (await sendingOrders).flat();
  const outcomes = (await Promise.all(mottos))
    .map(({ outcome, status }) => `${outcome} ${status ?? ""}`.trim());
  const lost = orders.filter(({ attempt, outcome }) =>
    (outcome === "none" || outcome === "cut") && sound.runs.includes(attempt)
  );
  await sleep(200);
  const end = daemon.exit === undefined
    ? "the process runs on"
    : `the process ended by itself with ${JSON.stringify(daemon.exit)}`;
  return {
    broken: lost.length > ALLOWED,
    text: `${lost.length} orders that the sound server ran were closed ` +
      `without an answer, of ${orders.length}; ${end}; the mottos: ` +
      [...new Set(outcomes)].join(", "),
  };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), body);
