import test from "ava";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import fs from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createTimedKey, TestDeployment } from "../testing_deployment.ts";

const STDERR = 2;
const SHARED_KEY = "0123456789abcdef0123456789abcdef";
const PROMPT = "a prompt that nobody else may read";

/** Captures what is written to standard error until `restore` is called. */
function captureLog() {
  const lines: string[] = [];
  const { writeSync } = fs;
  const capture = (file: number, ...rest: unknown[]) => {
    if (file !== STDERR) return Reflect.apply(writeSync, fs, [file, ...rest]);
    lines.push(String(rest[0]));
    return Buffer.byteLength(String(rest[0]));
  };
  fs.writeSync = capture as typeof writeSync;
  return { lines, restore: () => fs.writeSync = writeSync };
}

async function startMetricsSink() {
  const packets: string[] = [];
  const socket = createSocket("udp4");
  socket.on("message", (packet) => packets.push(packet.toString()));
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  const address = `127.0.0.1:${socket.address().port}`;
  return { packets, address, close: () => socket.close() };
}

async function startTraceSink() {
  const bodies: string[] = [];
  const server = createServer(async (request, response) => {
    for await (const chunk of request) bodies.push(String(chunk));
    response.end("{}");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { bodies, address: `127.0.0.1:${port}`, close: () => server.close() };
}

// Guards against team keys, operator keys, the fleet's shared key, idempotency
// keys and prompts that become readable in telemetry or in answers.
test("no secret is in logs, metrics, spans, explanations or refusals", async (t) => {
  const [metrics, traces] = [await startMetricsSink(), await startTraceSink()];
  const log = captureLog();
  const deployment = await TestDeployment.start({ daemons: 0 });
  await deployment.addDaemon({}, {
    log: { level: "debug" },
    metrics: { address: metrics.address },
    traces: { otlpAddress: traces.address, sampleRatio: 1 },
  });
  const { key, keyId } = await deployment.createTeam();
  const unknown = "ebk_0000000000000000000000000000000000000000000";
  const idempotencyKey = createTimedKey();
  const completion = { model: "chime-llm", prompt: PROMPT, max_tokens: 2 };
  const headers = { "idempotency-key": idempotencyKey };
  const calls = [
    { path: "/v1/completions", key, body: completion },
    { path: "/v1/completions", key, body: { ...completion, model: "other" } },
    { path: "/v1/completions", key, body: `{"prompt":"${PROMPT}"` },
    { path: "/v1/completions", key: unknown, body: completion },
    { path: "/bookings", key, headers, body: { tower: PROMPT } },
    { path: "/bookings", key, headers, body: { tower: "another" } },
    { path: `/bookings?key=${key}&note=secret-note`, method: "GET", key },
    { path: `/nowhere?key=${key}`, method: "GET", key },
  ];
  const outputs: string[] = [];
  for (const call of calls) {
    const answer = await deployment.call(call);
    const requestId = answer.headers.get("x-request-id");
    t.truthy(requestId);
    const path = `/operator/v1/explain/${requestId}`;
    outputs.push((await deployment.callOperatorApi(path)).text);
    if (answer.status >= 400) outputs.push(answer.text);
  }
  const path = "/operator/v1/status";
  outputs.push((await deployment.callOperatorApi(path)).text);
  await deployment.proposeChange({ kind: "key_withdrawn", keyId });
  const withdrawn = await deployment.call({
    path: "/v1/models",
    key,
    method: "GET",
  });
  t.is(withdrawn.status, 401);
  outputs.push(withdrawn.text);
  await deployment.close();
  log.restore();
  metrics.close();
  traces.close();
  t.true(log.lines.length > 0 && metrics.packets.length > 0);
  t.true(traces.bodies.join("").includes("/v1/completions"));
  const secrets = [
    key,
    unknown,
    SHARED_KEY,
    "test-operator-key",
    PROMPT,
    idempotencyKey,
    "secret-note",
  ];
  const outputsByPlace = {
    log: log.lines,
    metrics: metrics.packets,
    traces: traces.bodies,
    outputs,
  };
  for (const [place, texts] of Object.entries(outputsByPlace)) {
    const text = texts.join("\n");
    for (const secret of secrets) {
      t.false(text.includes(secret), `${place}: ${secret.slice(0, 12)}`);
    }
  }
});
