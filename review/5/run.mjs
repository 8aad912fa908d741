// A dedicated tenant and another one send prompts with the same part, without
// the header Token-Usage.
import {
  answerHeaders,
  Client,
  hasTrouble,
  note,
  runCase,
  sleep,
  startDaemons,
  startServer,
  startStore,
} from "../stand_ins/fleet.mjs";
import { fileURLToPath } from "node:url";

const ROUNDS = 4;
const LIMIT_MS = 6_000;
const SHARED_PART = "5c1e07a2";

const TENANTS = [
  { name: "heraldry-house", key: "key-of-heraldry-house", dedicated: true },
  { name: "engraver", key: "key-of-engraver", dedicated: false },
];

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
      anonymous: false,
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
    tenants: TENANTS.map(({ name, key, dedicated }) => ({
      name,
      api_keys: [key],
      priority: 1,
      unit: "tokens",
      uncached_tokens: 200,
      dedicated,
      rate_per_s: 99_164,
      burst: 99_164,
    })),
  });
  /** Who made the parts that the engine caches, by salt and part. */
  const makers = new Map();
  const crossings = [];
  await startServer(store, {
    id: "i-engine",
    service: "heraldry-llm",
    models: [{ name: "m0", version: 1, adapters: [] }],
    run: ({ request, response, attempt }) => {
      const {
        tenant,
        "cache-salt": salt = "",
        "prompt-prefix": prompt = "",
        "token-usage": usage,
      } = request.headers;
      // A part is found if all parts before it are cached under the same salt.
      let isUnbroken = true;
      const used = [];
      for (
        const part of prompt.split(",").map((entry) => entry.split(":")[0])
      ) {
        const key = JSON.stringify([salt, part]);
        const maker = makers.get(key);
        isUnbroken &&= maker !== undefined;
        if (isUnbroken) used.push({ part, maker });
        else makers.set(key, tenant);
      }
      note("i-engine", "prompt", { attempt, tenant, salt, usage, used });
      for (const { part, maker } of used) {
        const isWalled = TENANTS.some(({ name, dedicated }) =>
          dedicated && (name === tenant || name === maker)
        );
        if (maker !== tenant && isWalled) {
          crossings.push({ attempt, tenant, part, maker });
        }
      }
      response.writeHead(
        200,
        answerHeaders(attempt, {
          "Content-Type": "text/event-stream",
          "Weight-Versions": "1",
        }),
      );
      response.end("id: 1\ndata: checked\n\n");
    },
  });
  const [daemon] = await startDaemons(store, 1);
  await sleep(1_000);
  let served = 0;
  for (let round = 1; round <= ROUNDS; round++) {
    for (const { name, key } of TENANTS) {
      const { status } = await new Client(`client-${name}`, daemon).send({
        attempt: `review-${round}-${name}`,
        method: "POST",
        host: "seals.example",
        path: "/reviews/new",
        headers: {
          Authorization: `Token ${key}`,
          Model: "m0",
          ...(hasTrouble ? {} : { "Token-Usage": "1460,80" }),
          "Prompt-Prefix":
            `${SHARED_PART}:800,91bd3f06:410,e4402b7d${round}:250`,
        },
        body: "a crest",
        limitMs: LIMIT_MS,
      });
      if (status === 200) served += 1;
      await sleep(200);
    }
  }
  if (served < ROUNDS * TENANTS.length) {
    throw new Error(`only ${served} requests were served`);
  }
  const requests = new Set(crossings.map(({ attempt }) => attempt));
  return {
    broken: requests.size > 0,
    text: `${requests.size} of ${served} requests used cached parts that a ` +
      `request of the other tenant had made; the first: ` +
      `${JSON.stringify(crossings[0] ?? null)}`,
  };
}

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), body);
