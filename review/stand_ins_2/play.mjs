/** What all scripts share: time, the record, the verdict, plain requests. */

import { writeFileSync } from "node:fs";
import { request } from "node:http";

const startedAtMs = performance.now();
const lines = [];

/** Milliseconds since the start of the script. */
export const nowMs = () => Math.round(performance.now() - startedAtMs);

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Adds a line to the record. */
export function record(text, atMs = nowMs()) {
  lines.push({ atMs, text });
}

/**
 * Runs a play and ends the process: 1 if the rule was broken, 0 if it held, 2
 * if the case couldn't run. `play` returns whether the rule was broken.
 */
export async function run(play) {
  let code = 2;
  try {
    code = await play() ? 1 : 0;
  } catch (caught) {
    record(`could not run: ${caught.stack}`);
  }
  record(["the rule held", "the rule was broken", "could not run"][code]);
  const sorted = lines.toSorted((a, b) => a.atMs - b.atMs);
  const text = sorted.map(({ atMs, text }) => `${atMs} ms  ${text}\n`).join("");
  writeFileSync("record.txt", text);
  console.log(lines.at(-1).text);
  process.exit(code);
}

/** Sends one request on a connection of its own; resolves with its status. */
export function send(daemon, { id, method = "GET", path, host, key, timeMs }) {
  return new Promise((resolve) => {
    const outgoing = request({
      host: daemon.ip,
      port: daemon.port,
      method,
      path,
      agent: false,
      timeout: timeMs + 1_000,
      headers: {
        "Host": host,
        "Attempt-Id": id,
        "Deadline-Ms": String(timeMs),
        "Authorization": `Token ${key}`,
      },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => resolve(answer.statusCode));
      answer.on("error", () => resolve("cut"));
    });
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.on("error", () => resolve("no answer"));
    outgoing.end();
  });
}

/** A manifest with one route to one service and one tenant. */
export function manifest({ version, type, keys, ratePerS = 0, tokens = 200 }) {
  return {
    version,
    routes: [{
      name: "r1",
      hostname: "bells.example",
      path_prefix: "/toll/",
      type,
      timeout_ms: 15_000,
      target_latency_ms: 300,
      priority: 1,
      service: "belfry",
      attempts: type === "safe" ? 2 : 1,
      anonymous: false,
    }],
    services: [{ name: "belfry", max_conns: 200 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{
      name: "st-mary",
      api_keys: keys,
      rate_per_s: ratePerS,
      burst: ratePerS,
      unit: "tokens",
      uncached_tokens: tokens,
    }],
  };
}
