// New weights are named twice, the second time before the engines have those
// of the first.
import {
  answerHeaders,
  Client,
  note,
  nowMs,
  runCase,
  sleep,
  startDaemons,
  startServer,
  startStore,
} from "../stand_ins/fleet.mjs";
import { fileURLToPath } from "node:url";

/** Whether the disruption is to happen; TROUBLE=0 leaves it out. */
const hasTrouble = process.env.TROUBLE !== "0";

const DAEMONS = 3;
const ENGINES = 2;
const CLIENTS = 150;
const LIMIT_MS = 6_000;
const EVENT_INTERVAL_MS = 60;
/** Streams of 2.4 to 3 s; those of the users' days take up to 6 s. */
const LEAST_EVENTS = 40;
const MORE_EVENTS = 10;
const LOAD_MS = 390;
const REPORT_INTERVAL_MS = 1_200;
/** Time between the two names, with the disruption. */
const SECOND_NAME_AFTER_MS = 2_000;
const VERSION_MS = 8_000;
/** The rule allows 1.5 x `version_ms`, and `contact_ms` after the name. */
const JUDGED_AFTER_MS = 1.5 * VERSION_MS + 3_000;
const MODEL = "m0";

/** A model engine that takes orders as the pages say, with `mode` = `wait`. */
async function startEngine(store, id) {
  const engine = { version: 1, acceptedOrders: 0, isBusy: false, running: 0 };
  const models = [{ name: MODEL, version: 1, adapters: [] }];
  const load = async (version) => {
    engine.isBusy = true;
    while (engine.running > 0) await sleep(5);
    await sleep(LOAD_MS);
    engine.version = version;
    models[0].version = version;
    engine.isBusy = false;
    note(id, "has weights", { version });
    server.report();
  };
  const server = await startServer(store, {
    id,
    service: "heraldry-llm",
    models,
    status: () => ({ busy: engine.isBusy, seq: engine.acceptedOrders }),
    order: ({ version, expect }) => {
      const status = engine.isBusy || expect !== engine.acceptedOrders
        ? 409
        : engine.version >= version
        ? 200
        : 202;
      if (status === 202) {
        engine.acceptedOrders += 1;
        void load(version);
      }
      note(id, "order", { version, expect, status });
      return status;
    },
    run: async ({ request, response, attempt }) => {
      const expected = request.headers["expect-version"];
      if (expected !== undefined && Number(expected) !== engine.version) {
        note(id, "421", { attempt, expected, version: engine.version });
        response.writeHead(421, {
          "Attempt-Id": attempt,
          "Instance-Id": id,
          "Content-Length": 0,
        });
        return response.end();
      }
      if (engine.isBusy) {
        response.writeHead(503, {
          "Attempt-Id": attempt,
          "Not-Run": "1",
          "Content-Length": 0,
        });
        return response.end();
      }
      engine.running += 1;
      response.writeHead(
        200,
        answerHeaders(attempt, {
          "Content-Type": "text/event-stream",
          "Weight-Versions": String(engine.version),
        }),
      );
      const events = LEAST_EVENTS + Math.floor(Math.random() * MORE_EVENTS);
      for (let event = 1; event <= events && !response.destroyed; event++) {
        await sleep(EVENT_INTERVAL_MS);
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      }
      response.end();
      engine.running -= 1;
    },
  });
  setInterval(() => server.report(), REPORT_INTERVAL_MS);
  return engine;
}

async function body() {
  const store = await startStore();
  store.put("keyed.op", "config", {
    version: 3,
    routes: [{
      name: "mottos",
      hostname: "seals.example",
      path_prefix: "/mottos/",
      type: "stream",
      service: "heraldry-llm",
      timeout_ms: LIMIT_MS,
      target_latency_ms: 1_000,
      priority: 0,
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
        models: [{ name: MODEL }],
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
  const name = (version) =>
    store.put("keyed.op", `version/${MODEL}`, { model: MODEL, version });
  const engines = [];
  for (let at = 1; at <= ENGINES; at++) {
    engines.push(await startEngine(store, `i-engine-${at}`));
  }
  const daemons = await startDaemons(store, DAEMONS);
  await sleep(4_000);
  let isOver = false;
  const results = [];
  const traffic = Array.from({ length: CLIENTS }, async (_, at) => {
    const client = new Client(`client-${at + 1}`, daemons[at % DAEMONS]);
    for (let count = 1; !isOver; count++) {
      const result = await client.send({
        attempt: `motto-${at + 1}-${count}`,
        method: "POST",
        host: "seals.example",
        path: "/mottos/new",
        headers: {
          Model: MODEL,
          "Token-Usage": "300,200",
          "Prompt-Prefix": `a${at % 5}:100,b${at}:100,c${count}:100`,
        },
        body: "a family",
        limitMs: LIMIT_MS,
      });
      results.push(result);
      await sleep(100 + 1_000 * (result.retryAfterS ?? 0));
    }
  });
  await sleep(3_000);
  name(2);
  if (hasTrouble) await sleep(SECOND_NAME_AFTER_MS);
  else {
    while (engines.some(({ version }) => version < 2)) await sleep(50);
    await sleep(2_000);
  }
  name(3);
  const namedAtMs = nowMs();
  await sleep(JUDGED_AFTER_MS);
  const old = engines.filter(({ version }) => version < 3).length;
  isOver = true;
  await Promise.all(traffic);
  const late = results.filter(({ sentAtMs }) =>
    sentAtMs > namedAtMs + VERSION_MS
  );
  const served = late.filter(({ outcome, status }) =>
    outcome === "complete" && status === 200
  );
  return {
    broken: old > 1 && old * 10 > ENGINES,
    text: `${old} of ${ENGINES} engines have older weights ` +
      `${JUDGED_AFTER_MS} ms after the newest were named; of ${late.length} ` +
      `requests sent later than ${VERSION_MS} ms after that, ` +
      `${served.length} were served`,
  };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), body);
