// A planned stop of one daemon while a sound model engine pauses for 1.1 s and
// then goes on with all its streams.
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

const DAEMONS = 8;
const ENGINES = 3;
const STREAMS = 120;
const EVENTS = 50;
const EVENT_INTERVAL_MS = 100;
const SILENCE_MS = 1_100;
const LIMIT_MS = 15_000;
const GRACE_MS = 8_000;

const model = { name: "m0", version: 1, adapters: [] };

async function body() {
  const store = await startStore();
  store.put("keyed.op", "config", {
    version: 3,
    routes: [{
      name: "reviews",
      hostname: "seals.example",
      path_prefix: "/reviews/",
      type: "stream",
      service: "heraldry-llm",
      timeout_ms: LIMIT_MS,
      target_latency_ms: 800,
      priority: 1,
      attempts: 2,
      anonymous: true,
      sticky: true,
      resumable: true,
      gap_target_ms: 400,
    }],
    services: [{
      name: "heraldry-llm",
      health_path: "/health",
      max_conns: 620,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 128,
        kv_capacity: 89_220,
        kv_token_bytes: 131_072,
        stride: 4,
        max_inflight: 12,
        models: [{ name: "m0" }],
      },
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [],
  });
  let silentId;
  let silentUntilMs = 0;
  const engines = [];
  for (let at = 1; at <= ENGINES; at++) {
    const id = `i-engine-${at}`;
    engines.push(
      await startServer(store, {
        id,
        service: "heraldry-llm",
        models: [model],
        run: async ({ request, response, attempt }) => {
          response.writeHead(
            200,
            answerHeaders(attempt, {
              "Content-Type": "text/event-stream",
              "Weight-Versions": "1",
            }),
          );
          response.flushHeaders();
          const after = Number(request.headers["last-event-id"] ?? 0);
          for (let event = after + 1; event <= EVENTS; event++) {
            await sleep(EVENT_INTERVAL_MS);
            while (id === silentId && performance.now() < silentUntilMs) {
              await sleep(10);
            }
            if (response.destroyed) return;
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
          }
          response.end();
          note(id, "answered", { attempt });
        },
      }),
    );
  }
  const daemons = await startDaemons(store, DAEMONS);
  // A machine is in touch 3 s after its start.
  await sleep(4_000);
  const [daemon] = daemons;
  const streams = Array.from(
    { length: STREAMS },
    (_, at) =>
      new Client(`client-${at + 1}`, daemon).send({
        attempt: `review-${at + 1}`,
        method: "POST",
        host: "seals.example",
        path: "/reviews/new",
        headers: {
          Model: "m0",
          "Token-Usage": "300,200",
          "Prompt-Prefix": `aa:100,b${at % 30}:100,c${at}:100`,
        },
        body: "a crest",
        limitMs: LIMIT_MS,
      }),
  );
  await sleep(1_500);
  let stoppedAtMs = performance.now();
  if (hasTrouble) {
    note("case", "SIGTERM", { to: daemon.node });
    daemon.child.kill("SIGTERM");
    stoppedAtMs = performance.now();
    await sleep(500);
    silentId = engines[0].id;
    silentUntilMs = performance.now() + SILENCE_MS;
    note(silentId, "is silent", { forMs: SILENCE_MS });
  }
  const results = await Promise.all(streams);
  const endedMs = Math.round(performance.now() - stoppedAtMs);
  const runs = engines.map(({ runs }) => runs.length);
  const complete = results.filter(({ outcome, status, text }) =>
    outcome === "complete" && status === 200 &&
    text.includes(`id: ${EVENTS}\n`)
  );
  const cut = results.filter(({ outcome }) =>
    outcome === "cut" || outcome === "none"
  );
  return {
    broken: cut.length > 0,
    text: `${cut.length} of ${STREAMS} streams were cut, ` +
      `${complete.length} are complete; runs at the engines: ${runs}; the ` +
      `last ended ${endedMs} ms after the stop was asked for, of ${GRACE_MS}`,
  };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), body);
