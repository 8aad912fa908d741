// A faulty model engine sends a body without end, in chunks of one byte, while
// requests of other clients run at a sound server.
import {
  answerHeaders,
  Client,
  hasTrouble,
  note,
  nowMs,
  runCase,
  sleep,
  startDaemons,
  startServer,
  startStore,
} from "../stand_ins/fleet.mjs";
import { fileURLToPath } from "node:url";

const CLIENTS = 20;
const ORDERS_FOR_MS = 20_000;
const ORDER_INTERVAL_MS = 500;
const ORDER_WORK_MS = 60;
const ORDER_TIMEOUT_MS = 1_500;
const ORDER_LIMIT_MS = 3_000;
const ANSWER_SLACK_MS = 500;
const STREAM_LIMIT_MS = 15_000;
/** Chunks of one byte each that are written at a time. */
const CHUNKS = Buffer.from("1\r\nx\r\n".repeat(4_096));

const route = (name, fields) => ({
  name,
  hostname: "seals.example",
  path_prefix: `/${name}/`,
  priority: 2,
  attempts: 1,
  anonymous: true,
  ...fields,
});

async function body() {
  const store = await startStore();
  store.put("keyed.op", "config", {
    version: 3,
    routes: [
      route("orders", {
        type: "unsafe",
        service: "bench-app",
        timeout_ms: ORDER_TIMEOUT_MS,
        target_latency_ms: 300,
        sticky: false,
      }),
      route("mottos", {
        type: "stream",
        service: "heraldry-llm",
        timeout_ms: STREAM_LIMIT_MS,
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
        engine: { slots: 128, stride: 4, models: [{ name: "m0" }] },
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
    slots: 20,
    run: async ({ response, attempt }) => {
      await sleep(ORDER_WORK_MS);
      const text = `answer to ${attempt}`;
      response.writeHead(
        200,
        answerHeaders(attempt, { "Content-Length": text.length }),
      );
      response.end(text);
    },
  });
  let sentBytes = 0;
  await startServer(store, {
    id: "i-faulty",
    service: "heraldry-llm",
    models: [{ name: "m0", version: 1, adapters: [] }],
    run: ({ response, attempt }) => {
      if (!hasTrouble) {
        response.writeHead(
          200,
          answerHeaders(attempt, { "Content-Type": "text/event-stream" }),
        );
        return response.end("id: 1\ndata: a motto\n\n");
      }
      const { socket } = response;
      socket.on("error", () => {});
      socket.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
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
          note("i-faulty", "connection closed by caller", {
            attempt,
            sentBytes,
          }),
      );
      send();
    },
  });
  const [daemon] = await startDaemons(store, 1);
  // A machine is in touch 3 s after its start.
  await sleep(3_500);
  const clients = Array.from(
    { length: CLIENTS },
    (_, at) => new Client(`client-${at + 1}`, daemon),
  );
  const motto = new Client("client-motto", daemon).send({
    attempt: "motto-1",
    method: "POST",
    host: "seals.example",
    path: "/mottos/new",
    headers: {
      Model: "m0",
      "Token-Usage": "300,200",
      "Prompt-Prefix": "aa:100,bb:100,cc:100",
    },
    body: "a family",
    limitMs: STREAM_LIMIT_MS,
  });
  await sleep(200);
  const untilMs = nowMs() + ORDERS_FOR_MS;
  const results = (await Promise.all(clients.map(async (client, at) => {
    const own = [];
    await sleep(at * ORDER_INTERVAL_MS / CLIENTS);
    for (let count = 1; nowMs() < untilMs; count++) {
      own.push(
        await client.send({
          attempt: `order-${client.name}-${count}`,
          method: "POST",
          host: "seals.example",
          path: "/orders/new",
          body: "one die",
          limitMs: ORDER_LIMIT_MS,
        }),
      );
      await sleep(ORDER_INTERVAL_MS);
    }
    return own;
  }))).flat();
  const tookMs = ({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs;
  const unanswered = results.filter((result) =>
    tookMs(result) > ORDER_TIMEOUT_MS
  );
  const held = unanswered.filter((result) =>
    tookMs(result) > ORDER_TIMEOUT_MS + ANSWER_SLACK_MS
  );
  const longestMs = Math.max(...results.map(tookMs));
  const { outcome, status } = await motto;
  return {
    broken: held.length >= 8 && 2 * held.length > unanswered.length,
    text: `${held.length} of ${unanswered.length} orders without an answer ` +
      `at the route's timeout had none ${ANSWER_SLACK_MS} ms later; ` +
      `${results.length} orders, ${sound.runs.length} of them run, the ` +
      `longest took ${longestMs} ms; the stream: ${outcome} ${status ?? ""}`,
  };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), body);
