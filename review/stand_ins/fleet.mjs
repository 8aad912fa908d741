// A small deployment on loopback addresses: the platform's store, backend
// servers, daemons of the project as separate processes, and clients.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** Root of the repository. */
export const root = fileURLToPath(new URL("../..", import.meta.url));
/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

const START_TIMEOUT_MS = 15_000;
const RUN_TIMEOUT_MS = 110_000;
const DAEMON_PORTS = {
  peers: 7600,
  readiness: 8605,
  front: 8606,
  control: 8608,
};
const METRICS_PORT = 9464;

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

const startedAtMs = performance.now();
let record;
const children = [];
let folder;

/** Milliseconds since the start of the case. */
export const nowMs = () => Math.round(performance.now() - startedAtMs);

/** Writes one line of the record. */
export function note(who, what, fields = {}) {
  record.write(`${JSON.stringify({ atMs: nowMs(), who, what, ...fields })}\n`);
}

/** Runs a case, writes its record, ends its processes and exits. */
export async function runCase(recordPath, body) {
  record = createWriteStream(recordPath);
  folder = mkdtempSync(join(tmpdir(), "endivebend-review-"));
  const end = async (code) => {
    for (const { child } of children) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    rmSync(folder, { recursive: true, force: true });
    await new Promise((done) => record.end(done));
    process.exit(code);
  };
  setTimeout(() => {
    note("case", "timeout");
    console.log("The case did not end in time");
    void end(EXIT.notRun);
  }, RUN_TIMEOUT_MS);
  try {
    const { broken, text } = await body();
    note("case", broken ? "broken" : "held", { text });
    console.log(`${broken ? "broken" : "held"}: ${text}`);
    await end(broken ? EXIT.broken : EXIT.held);
  } catch (error) {
    note("case", "not run", { error: String(error.stack ?? error) });
    console.log(`not run: ${error.message}`);
    await end(EXIT.notRun);
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

/** Loopback addresses at which all ports of a daemon are free. */
export async function freeAddresses(count) {
  const ports = [0, 1, 2].map((offset) => DAEMON_PORTS.peers + offset)
    .concat(DAEMON_PORTS.readiness, DAEMON_PORTS.front, METRICS_PORT);
  for (let tries = 0; tries < 50; tries++) {
    const net24 = `127.${10 + Math.floor(Math.random() * 200)}.` +
      `${Math.floor(Math.random() * 250)}`;
    const ips = Array.from({ length: count }, (_, at) => `${net24}.${at + 1}`);
    const free = await Promise.all(
      ips.flatMap((ip) => ports.map((port) => isFree(ip, port))),
    );
    if (free.every(Boolean)) return ips;
  }
  throw new Error("no free loopback addresses");
}

/** The platform's store: a log whose keyed topics keep the newest records. */
export async function startStore() {
  const topics = new Map();
  const waiting = new Set();
  const recordsOf = (topic) => {
    if (!topics.has(topic)) topics.set(topic, []);
    return topics.get(topic);
  };
  const append = (topic, bytes) => {
    recordsOf(topic).push(bytes);
    for (const wake of [...waiting]) wake();
  };
  const frame = (bytes) => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    return Buffer.concat([length, bytes]);
  };
  const parse = (bytes) => ({
    key: bytes.subarray(1, 1 + bytes[0]).toString(),
    value: bytes.subarray(1 + bytes[0]),
  });
  const server = http.createServer(async (request, response) => {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const topic = query.get("topic");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const reply = (status, value) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(value));
    };
    const records = recordsOf(topic);
    if (url.pathname === "/api/log-append") {
      await sleep(4);
      const at = query.get("at");
      const end = records.length;
      if (at !== null && Number(at) !== end) return reply(412, { end });
      for (let start = 0; start < body.length;) {
        const length = body.readUInt32BE(start);
        append(topic, body.subarray(start + 4, start + 4 + length));
        start += 4 + length;
      }
      return reply(200, { offset: end, end: records.length });
    }
    if (url.pathname === "/api/log-read") {
      const from = Number(query.get("from"));
      const waitMs = Number(query.get("wait_ms") ?? 0);
      if (records.length <= from && waitMs > 0) {
        await new Promise((resolve) => {
          const wake = () => {
            if (records.length <= from && performance.now() < untilMs) return;
            waiting.delete(wake);
            clearTimeout(timer);
            resolve();
          };
          const untilMs = performance.now() + waitMs - 1;
          const timer = setTimeout(wake, waitMs);
          waiting.add(wake);
        });
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length));
      response.writeHead(200);
      return response.end(
        Buffer.concat([head, ...records.slice(from).map(frame)]),
      );
    }
    if (url.pathname === "/api/log-newest") {
      const newest = new Map();
      records.forEach((bytes, offset) => {
        const { key, value } = parse(bytes);
        if (value.length === 0) newest.delete(key);
        else newest.set(key, { key, value: value.toString("base64"), offset });
      });
      const items = [...newest.values()]
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return reply(200, { items, has_more: false, end: records.length });
    }
    reply(404, {});
  });
  await new Promise((done) => server.listen(0, "127.0.0.1", done));
  const put = (topic, key, value) => {
    const name = Buffer.from(key);
    append(
      topic,
      Buffer.concat([
        Buffer.from([name.length]),
        name,
        Buffer.from(JSON.stringify(value)),
      ]),
    );
    note("store", "put", { topic, key });
  };
  return { address: `127.0.0.1:${server.address().port}`, put };
}

/**
 * A backend server. `run` handles the requests that it works on; it gets the
 * request, its body and the response. `events` may take over the answer to a
 * read of cache events and returns true if it does, `status` gives the state
 * of orders for its report, and `order` takes an order and returns the status.
 */
export async function startServer(store, options) {
  const { id, service, zone = "geneve-a", slots = 128, models = [] } = options;
  const state = { runs: [] };
  const server = http.createServer({ keepAliveTimeout: 30_000 }, (
    request,
    response,
  ) => {
    response.sendDate = false;
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", async () => {
      const path = request.url.split("?")[0];
      if (path === "/api/kv-events") {
        if (options.events?.(response) === true) return;
        await sleep(Number(request.headers["wait-ms"] ?? 0));
        const since = Number(
          new URL(request.url, "http://server").searchParams.get("since"),
        );
        return response.end(
          JSON.stringify({
            boot_epoch: 1,
            next: Number.isFinite(since) ? since : 0,
            lost: false,
            events: [],
          }),
        );
      }
      if (path === "/health") {
        return response.writeHead(200, { "Instance-Id": id }).end();
      }
      const expected = request.headers["expect-instance"];
      if (expected !== undefined && expected !== id) {
        return response.writeHead(421, { "Instance-Id": id }).end();
      }
      if (path === "/api/report") {
        const status = options.status?.() ?? { busy: false, seq: 0 };
        return response.end(
          JSON.stringify({ stage: "both", models, ...status }),
        );
      }
      if (path === "/api/order" && options.order !== undefined) {
        const order = JSON.parse(String(Buffer.concat(chunks)));
        response.writeHead(options.order(order), { "Content-Length": 0 });
        return response.end();
      }
      const attempt = request.headers["attempt-id"];
      state.runs.push(attempt);
      note(id, "runs", { attempt, leftMs: request.headers["deadline-ms"] });
      response.on("close", () => {
        if (!response.writableFinished) {
          note(id, "connection closed by caller", { attempt });
        }
      });
      options.run({ request, response, attempt, body: Buffer.concat(chunks) });
    });
  });
  server.on("clientError", (_error, socket) => socket.destroy());
  await new Promise((done) => server.listen(0, "127.0.0.1", 1_024, done));
  const sockets = new Set();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  const { port } = server.address();
  const address = `127.0.0.1:${port}`;
  const born = Date.now();
  let seq = 0;
  const report = (phase = "ready") =>
    store.put("keyed.servers", id, {
      service,
      address,
      zone,
      version: "v1",
      slots,
      phase,
      cold_left_ms: 0,
      ...(models.length > 0 ? { stage: "both" } : {}),
      models,
      seq: ++seq,
      born,
    });
  report();
  /** Resets all connections and accepts none for a while, like a crash. */
  const goDown = async (forMs) => {
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
    await sleep(forMs);
    await new Promise((done) => server.listen(port, "127.0.0.1", 1_024, done));
  };
  return { ...state, id, address, report, goDown };
}

/** Headers with which servers answer. */
export function answerHeaders(attempt, fields = {}) {
  return {
    "Attempt-Id": attempt,
    "Response-Seal": `seal.${attempt}`,
    ...fields,
  };
}

/** The settings of one daemon of a small deployment. */
function settingsOf({ node, ip, seeds, storeAddress }) {
  return {
    node,
    role: "router",
    machine_class: "front",
    serves: ["front", "control"],
    ip,
    zone: "geneve-a",
    region: "ch-west",
    zones: { "geneve-a": "ch-west" },
    listen: {
      front: `${ip}:${DAEMON_PORTS.front}`,
      readiness: `${ip}:${DAEMON_PORTS.readiness}`,
      control: `${ip}:${DAEMON_PORTS.control}`,
    },
    port_range: [DAEMON_PORTS.peers, DAEMON_PORTS.peers + 15],
    seeds: seeds.map((seed) => `${seed}:${DAEMON_PORTS.control}`),
    bootstrap: true,
    in_tolerance: false,
    limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
    data_dir: null,
    discovery: "platform",
    entry: "vip",
    heartbeat_ms: 1200,
    fault_tolerance: { machines: 2, zones: 1, regions: 0 },
    bounds: {
      reuse_after_s: 2,
      contact_ms: 3000,
      ack_ms: 4000,
      drain_ms: 2000,
      grace_s: 8,
      loss_slack_ms: 200,
      config_ms: 2000,
      retry_budget_ratio: 0.2,
      budget_window_s: 10,
      retry_budget_slack: 56,
      quota_window_s: 8,
      quota_overshoot: 0.1,
      quota_slack: 72000,
      require_fence: true,
      lease_ms: 3000,
      version_ms: 8000,
      version_all_ms: 11000,
    },
    provider: { address: storeAddress, form: "log", keep_s: 300 },
  };
}

function getStatus(host, port, path) {
  return new Promise((resolve) => {
    const request = http.get({ host, port, path, agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    });
    request.setTimeout(1_000, () => request.destroy());
    request.on("error", () => resolve(0));
  });
}

/** Starts daemons with the command of the deploy file; resolves when ready. */
export async function startDaemons(store, count) {
  const ips = await freeAddresses(count);
  const daemons = ips.map((ip, at) => {
    const node = `front-geneve-a-${at + 1}`;
    const path = join(folder, `${node}.json`);
    const storeAddress = store.address;
    const settings = settingsOf({
      node,
      ip,
      seeds: ips.slice(0, 3),
      storeAddress,
    });
    writeFileSync(path, JSON.stringify(settings));
    const child = spawn("node", [
      "--single-threaded",
      "--max-old-space-size=96",
      "--max-semi-space-size=2",
      "target/endivebend.cjs",
    ], {
      cwd: root,
      env: { PATH: process.env.PATH, ENDIVEBEND_CONFIG: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const daemon = {
      node,
      ip,
      port: DAEMON_PORTS.front,
      child,
      log: [],
      exit: undefined,
    };
    const keep = (name) => (chunk) => {
      for (const line of String(chunk).split("\n")) {
        if (line.trim() === "") continue;
        daemon.log.push(line);
        if (name === "stderr") note(node, "stderr", { line });
      }
    };
    child.stdout.on("data", keep("stdout"));
    child.stderr.on("data", keep("stderr"));
    child.on("exit", (code, signal) => {
      daemon.exit = { code, signal, atMs: nowMs() };
      note(node, "process ended", { code, signal });
    });
    daemon.isReady = async () =>
      await getStatus(ip, DAEMON_PORTS.readiness, "/api/ready") === 200;
    children.push(daemon);
    return daemon;
  });
  const untilMs = performance.now() + START_TIMEOUT_MS;
  for (const daemon of daemons) {
    while (!await daemon.isReady()) {
      if (performance.now() > untilMs) {
        throw new Error(`${daemon.node} was not ready in time`);
      }
      await sleep(100);
    }
  }
  note("case", "daemons ready", { ips });
  return daemons;
}

/** A client with one kept connection to a daemon. */
export class Client {
  #agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  constructor(name, daemon) {
    this.name = name;
    this.daemon = daemon;
  }

  /**
   * Sends a request and resolves with what came of it: `complete`, `cut` when
   * the connection ended before the end of an answer, or `none` when it ended
   * without an answer.
   */
  send({ attempt, method = "GET", host, path, headers = {}, body, limitMs }) {
    const sentAtMs = nowMs();
    note(this.name, "sends", { attempt, method, path, to: this.daemon.node });
    return new Promise((resolve) => {
      const chunks = [];
      let status;
      let retryAfterS;
      let isOver = false;
      const end = (outcome, fields = {}) => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        const text = Buffer.concat(chunks).toString("latin1");
        const result = {
          attempt,
          outcome,
          status,
          retryAfterS,
          sentAtMs,
          endedAtMs: nowMs(),
          text,
          ...fields,
        };
        note(this.name, "got", {
          attempt,
          outcome,
          status,
          bytes: text.length,
          afterMs: result.endedAtMs - sentAtMs,
          ...fields,
        });
        resolve(result);
      };
      const request = http.request({
        agent: this.#agent,
        host: this.daemon.ip,
        port: this.daemon.port,
        method,
        path,
        headers: {
          Host: host,
          "Attempt-Id": attempt,
          "Deadline-Ms": limitMs,
          ...(body === undefined ? {} : { "Content-Length": body.length }),
          ...headers,
        },
      });
      const timer = setTimeout(() => {
        end("timeout");
        request.destroy();
      }, limitMs);
      request.on("response", (answer) => {
        status = answer.statusCode;
        retryAfterS = Number(answer.headers["retry-after"] ?? 0);
        answer.on("data", (chunk) => chunks.push(chunk));
        answer.on("error", (error) => end("cut", { error: error.code }));
        answer.on("end", () => end(answer.complete ? "complete" : "cut"));
      });
      request.on(
        "error",
        (error) =>
          end(status === undefined ? "none" : "cut", { error: error.code }),
      );
      request.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
