/**
 * Daemons of the bundle with a store and servers of their own, whose memory and
 * descriptors are read from outside while clients load them.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdtempSync,
  openSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { connect, createServer, type Socket } from "node:net";
import { once } from "node:events";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { startStore, type StoreStandIn } from "@endivebend/platform";
import { chunked } from "./client_crowd.ts";
import { BOUNDS, deployCommand } from "./daemon_process.ts";
import { readPeakBytes } from "./process_memory.ts";

/** Limits that the settings of a daemon name. */
export interface LoneLimits {
  readonly memoryMb: number;
  readonly maxFds: number;
}

/** Ports of each daemon at its own address. */
export const LONE_PORTS = {
  callers: 8_606,
  readiness: 8_605,
  metrics: 9_464,
  gossip: 7_600,
  records: 7_601,
  forwarding: 7_602,
} as const;
const NETWORK = `127.${60 + process.pid % 150}.${(process.pid >> 8) % 250}`;
const SERVER_HOST = `${NETWORK}.254`;
const POLL_MS = 100;
const READY_TIMEOUT_MS = 30_000;
/** Processor time of a poll below which a process counts as idle. */
const IDLE_TICKS = 3;
const IDLE_POLLS = 5;
/** Length of answers that clients leave unread. */
export const LONG_ANSWER_BYTES = 8_388_608;
/** The longest body that the configuration allows. */
export const LARGEST_BODY_BYTES = 4_194_304;
const EVENT = `data: ${"x".repeat(4_000)}\n\n`;
/** Longer than the crowds stay, so that nothing ends by itself meanwhile. */
const ROUTE_TIMEOUT_MS = 60_000;

/** The host of all routes. */
export const LONE_HOST = "bells.example";
/** The path of each route, by what its servers do. */
export const LONE_PATHS = {
  /** Answers at once. */
  prompt: "/prompt/",
  /** Answers with 8 MiB. */
  long: "/long/",
  /** Answers with 8 MiB of events. */
  events: "/events/",
  /** Answers with 4 MB in chunks of 1 byte. */
  tiny: "/tiny/",
  /** Answers after some time, so that requests wait. */
  later: "/later/",
  /** Accepts connections and reads nothing. */
  unread: "/unread/",
} as const;
const LATER_MS = 100;

const CONFIGURATION = {
  version: 1,
  routes: [
    { path: LONE_PATHS.prompt, type: "unsafe", service: "prompt" },
    { path: LONE_PATHS.long, type: "safe", service: "prompt" },
    { path: LONE_PATHS.tiny, type: "safe", service: "prompt" },
    { path: LONE_PATHS.later, type: "safe", service: "prompt" },
    { path: LONE_PATHS.events, type: "stream", service: "prompt" },
    { path: LONE_PATHS.unread, type: "unsafe", service: "unread" },
  ].map(({ path, type, service }) => ({
    name: path.replaceAll("/", ""),
    hostname: LONE_HOST,
    path_prefix: path,
    type,
    timeout_ms: ROUTE_TIMEOUT_MS,
    attempts: 1,
    service,
  })),
  services: ["prompt", "unread"].map((name) => ({ name, max_conns: 1_000 })),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: LARGEST_BODY_BYTES,
    idle_timeout_ms: 15_000,
    header_timeout_ms: 3_000,
  },
  tenants: [{
    name: "st-mary",
    api_keys: ["good"],
    rate_per_s: 100_000,
    burst: 100_000,
    unit: "calls",
  }],
};

const running = new Set<ChildProcess>();
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** One daemon's process. */
export class LoneDaemon {
  readonly ip: string;
  readonly #child: ChildProcess;
  #maxDescriptors = 0;

  constructor(ip: string, child: ChildProcess) {
    this.ip = ip;
    this.#child = child;
    running.add(child);
    child.once("exit", () => running.delete(child));
  }

  get isAlive(): boolean {
    return running.has(this.#child);
  }

  /** The largest resident memory that the process has had. */
  get peakBytes(): number {
    return readPeakBytes(this.#child.pid);
  }

  /** The most descriptors that any poll has seen. */
  get maxDescriptors(): number {
    this.noteDescriptors();
    return this.#maxDescriptors;
  }

  noteDescriptors(): void {
    if (!this.isAlive) return;
    const count = readdirSync(`/proc/${this.#child.pid}/fd`).length;
    this.#maxDescriptors = Math.max(this.#maxDescriptors, count);
  }

  /** Processor time used so far, in ticks of the kernel. */
  get ticks(): number {
    const fields = this.#read("stat").split(") ")[1]?.split(" ") ?? [];
    return Number(fields[11] ?? 0) + Number(fields[12] ?? 0);
  }

  /** SIGTERM; false if the process does not end by itself in time. */
  async stop(limitMs: number): Promise<boolean> {
    if (!this.isAlive) return true;
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGTERM");
    const deadline = sleep(limitMs, undefined, { ref: false });
    await Promise.race([exited, deadline]);
    return !this.isAlive;
  }

  async kill(): Promise<void> {
    if (!this.isAlive) return;
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await exited;
  }

  #read(name: string): string {
    if (!this.isAlive) return "";
    return readFileSync(`/proc/${this.#child.pid}/${name}`, "utf8");
  }
}

/** Daemons of one fleet, the first of which is under load. */
export interface LoneFleet {
  readonly daemon: LoneDaemon;
  /** Address of another daemon of the fleet, if there is one. */
  readonly peerIp: string;
  /** Address that the daemons know the answering server under. */
  readonly serverAddress: string;
  /**
   * Resolves when the daemon has read what clients sent it, or has ended: its
   * processor time stands still.
   */
  whenIdle(limitMs: number): Promise<void>;
  /** Sends ordinary requests until one is answered; false if none is. */
  isServing(limitMs: number): Promise<boolean>;
  close(): Promise<void>;
}

/** Starts the fleet; `daemons` share the limits. */
export async function startLoneFleet(
  limits: LoneLimits,
  { daemons: count = 1 }: { readonly daemons?: number } = {},
): Promise<LoneFleet> {
  const directory = mkdtempSync("/tmp/endivebend-lone-");
  const store = await startStore();
  const servers = [
    await startServer("prompt", { serve: answerByPath, port: 9_001 }),
    await startServer("unread", { serve: readNothing, port: 9_002 }),
  ];
  store.put("keyed.op", "config", CONFIGURATION);
  for (const server of servers) server.list(store);
  const ips = Array.from({ length: count }, (_, index) => ipOf(index));
  const daemons = ips.map((ip) => {
    const path = join(directory, `${ip}.json`);
    const settings = settingsOf(ip, { ips, limits, store });
    writeFileSync(path, JSON.stringify(settings));
    return new LoneDaemon(ip, startProcess(path));
  });
  const daemon = daemons[0]!;
  await Promise.all(ips.map(whenReady));
  return {
    daemon,
    peerIp: ips[1] ?? "",
    serverAddress: servers[0]!.address,
    whenIdle: (limitMs) => whenIdle(daemon, limitMs),
    isServing: (limitMs) => isServing(daemon, limitMs),
    async close() {
      await Promise.all(daemons.map((one) => one.kill()));
      for (const server of servers) server.close();
      store.close();
      rmSync(directory, { recursive: true });
    },
  };
}

function ipOf(index: number): string {
  return `${NETWORK}.${index + 1}`;
}

function startProcess(settingsPath: string): ChildProcess {
  const [program = "", ...args] = deployCommand();
  const output = openSync(`${settingsPath}.log`, "w");
  return spawn(program, args, {
    env: { PATH: process.env["PATH"], ENDIVEBEND_CONFIG: settingsPath },
    stdio: ["ignore", output, output],
  });
}

/** A server that answers each request as its path says. */
function answerByPath(socket: Socket): void {
  let text = "";
  socket.on("data", (chunk) => {
    text += chunk.toString("latin1");
    const end = text.indexOf("\r\n\r\n");
    if (end < 0) return;
    const head = text.slice(0, end);
    const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
    if (text.length < end + 4 + length) return;
    text = text.slice(end + 4 + length);
    const id = /^attempt-id: (\S+)/im.exec(head)?.[1] ?? "";
    const path = head.split(" ")[1] ?? "";
    const kind = Object.entries(LONE_PATHS)
      .find(([, prefix]) => path.startsWith(prefix))?.[0];
    const fields = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\n` +
      "Response-Seal: s\r\n";
    const body = BODIES[kind ?? ""] ?? Buffer.from("{}");
    const framing = kind === "tiny"
      ? "Transfer-Encoding: chunked"
      : `Content-Length: ${body.length}`;
    const answer = () => {
      socket.write(`${fields}${framing}\r\n\r\n`);
      socket.write(body);
    };
    if (kind === "later") setTimeout(answer, LATER_MS);
    else answer();
  });
}

/** Shared by all answers, so that the test itself stays small. */
const BODIES: Readonly<Record<string, Buffer>> = {
  prompt: Buffer.from("ok"),
  later: Buffer.from("ok"),
  long: Buffer.alloc(LONG_ANSWER_BYTES, "x"),
  tiny: Buffer.concat([
    chunked({ bodyBytes: 4_000_000, chunkBytes: 1 }),
    Buffer.from("0\r\n\r\n"),
  ]),
  events: Buffer.from(
    EVENT.repeat(Math.floor(LONG_ANSWER_BYTES / EVENT.length)),
  ),
};

function readNothing(socket: Socket): void {
  socket.pause();
}

async function startServer(
  service: string,
  { serve, port }: {
    readonly serve: (socket: Socket) => void;
    readonly port: number;
  },
) {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    serve(socket);
  }).listen(port, SERVER_HOST);
  await once(server, "listening");
  const address = `${SERVER_HOST}:${port}`;
  return {
    address,
    list(store: StoreStandIn) {
      store.put("keyed.servers", `i-${service}`, {
        service,
        address,
        zone: "a",
        slots: 1_000,
        phase: "ready",
        models: [],
        born: 1,
      });
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

function settingsOf(
  ip: string,
  { ips, limits, store }: {
    readonly ips: readonly string[];
    readonly limits: LoneLimits;
    readonly store: StoreStandIn;
  },
): Record<string, unknown> {
  return {
    node: `front-${ips.indexOf(ip)}`,
    ip,
    zone: "a",
    listen: {
      front: `${ip}:${LONE_PORTS.callers}`,
      readiness: `${ip}:${LONE_PORTS.readiness}`,
    },
    port_range: [LONE_PORTS.gossip, LONE_PORTS.gossip + 15],
    seeds: ips.map((seedIp) => `${seedIp}:1`),
    limits: {
      cpu_share: 0.5,
      cores: 1,
      memory_mb: limits.memoryMb,
      max_fds: limits.maxFds,
    },
    bounds: BOUNDS,
    provider: { address: store.address, form: "log", keep_s: 300 },
  };
}

async function whenReady(ip: string): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const text = await exchange({
      host: ip,
      port: LONE_PORTS.readiness,
      sends: [
        "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
      ],
    });
    if (text.startsWith("HTTP/1.1 200")) return;
    await sleep(POLL_MS);
  }
  throw new Error(`The daemon at ${ip} is not ready; see its log in /tmp`);
}

async function whenIdle(daemon: LoneDaemon, limitMs: number): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  let idlePolls = 0;
  while (idlePolls < IDLE_POLLS && performance.now() < deadlineMs) {
    const before = daemon.ticks;
    await sleep(POLL_MS);
    daemon.noteDescriptors();
    idlePolls = daemon.ticks - before <= IDLE_TICKS ? idlePolls + 1 : 0;
  }
}

async function isServing(
  daemon: LoneDaemon,
  limitMs: number,
): Promise<boolean> {
  const deadlineMs = performance.now() + limitMs;
  let number = 0;
  while (daemon.isAlive && performance.now() < deadlineMs) {
    number += 1;
    const text = await exchange({
      host: daemon.ip,
      port: LONE_PORTS.callers,
      sends: [
        `POST ${LONE_PATHS.prompt}1 HTTP/1.1\r\nHost: ${LONE_HOST}\r\n` +
        `Attempt-Id: ordinary-${number}\r\nAuthorization: Token good\r\n` +
        "Deadline-Ms: 5000\r\nConnection: close\r\n" +
        "Content-Length: 2\r\n\r\n{}",
      ],
    });
    if (text.startsWith("HTTP/1.1 200") && text.endsWith("ok")) return true;
    await sleep(POLL_MS);
  }
  return false;
}

const EXCHANGE_TIMEOUT_MS = 6_000;

/** Sends the bytes and resolves what came until the connection was closed. */
export function exchange(
  { host, port, sends }: {
    readonly host: string;
    readonly port: number;
    readonly sends: readonly (Buffer | string)[];
  },
): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, host);
    let received = "";
    socket.setTimeout(EXCHANGE_TIMEOUT_MS, () => socket.destroy());
    socket.on("data", (chunk) => received += chunk);
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
    for (const bytes of sends) socket.write(bytes);
  });
}
