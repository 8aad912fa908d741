/**
 * A daemon of the bundle as a process of its own, started with the command of
 * the deploy file and signalled by its id.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { Ledger } from "./ledger.ts";
import { readPeakBytes } from "./process_memory.ts";

/** Where a daemon stands and what it is told. */
export interface DaemonOptions {
  readonly index: number;
  readonly ip: string;
  readonly domain: string;
  readonly domains: readonly string[];
  readonly seedIps: readonly string[];
  readonly storeAddress: string;
  /** Address of the backend servers. */
  readonly serverHost: string;
  /** Address of this daemon's links to them. */
  readonly linkHost: string;
  readonly memoryMb: number;
  /** Directory of the settings and of the output. */
  readonly directory: string;
}

/** Ports that every daemon has at its own address. */
const PORTS = {
  peers: 7_600,
  readiness: 8_605,
  front: 8_606,
  control: 8_608,
  metrics: 9_464,
};
const GRACE_MS = 8_000;
const PROBE_TIMEOUT_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const LINK_ADDRESSES = fileURLToPath(
  new URL("./link_addresses.cjs", import.meta.url),
);
const running = new Set<ChildProcess>();

/** Limits that the daemons are told; the verdict judges by them. */
export const BOUNDS = {
  reuse_after_s: 2,
  contact_ms: 3_000,
  ack_ms: 4_000,
  drain_ms: 2_000,
  grace_s: GRACE_MS / 1_000,
  loss_slack_ms: 200,
  config_ms: 2_000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 56,
  quota_window_s: 8,
  quota_overshoot: 0.1,
  quota_slack: 72_000,
  require_fence: true,
  lease_ms: 3_000,
  version_ms: 8_000,
  version_all_ms: 11_000,
  expose_share: 0.1,
  expose_slack: 50,
  rollback_ms: 5_000,
} as const;

// Ends what is still running when the soak itself ends early.
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** The command of the deploy file, as words. */
export function deployCommand(): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const command = /^run = "(.+)"$/m.exec(text)?.[1];
  if (command === undefined) {
    throw new Error("deploy/system.toml has no line that begins with run =");
  }
  return command.split(" ");
}

/** One daemon; it may be started again. */
export class DaemonProcess {
  readonly options: DaemonOptions;
  readonly address: { readonly host: string; readonly port: number };
  /** Whether the load balancer sends it new connections. */
  isInRotation = false;
  readonly #ledger: Ledger;
  #child: ChildProcess | undefined;
  #exited: Promise<void> = Promise.resolve();
  #wasSignalled = false;
  #missedProbes = 0;

  constructor(ledger: Ledger, options: DaemonOptions) {
    this.#ledger = ledger;
    this.options = options;
    this.address = { host: options.ip, port: PORTS.front };
    writeFileSync(this.#path("json"), JSON.stringify(settingsOf(options)));
  }

  get isRunning(): boolean {
    return this.#child !== undefined && running.has(this.#child);
  }

  /** Notes in the ledger if the process has taken more than its settings name. */
  checkMemory(): void {
    const peakMb = Math.round(readPeakBytes(this.#child?.pid) / BYTES_PER_MB);
    const { index, memoryMb } = this.options;
    if (!this.isRunning || !(peakMb > memoryMb)) return;
    const what = `daemon ${index}: ${peakMb} MB of ${memoryMb}`;
    this.#ledger.overMemory.push({ atMs: this.#ledger.nowMs(), what });
  }

  start(): void {
    const [program = "", ...args] = deployCommand();
    const child = spawn(program, args, {
      env: {
        PATH: process.env["PATH"],
        ENDIVEBEND_CONFIG: this.#path("json"),
        NODE_OPTIONS: `--require=${LINK_ADDRESSES}`,
        SOAK_SERVER_HOST: this.options.serverHost,
        SOAK_LINK_HOST: this.options.linkHost,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#wasSignalled = false;
    running.add(child);
    for (const output of [child.stdout, child.stderr]) {
      output.on("data", (text) => appendFileSync(this.#path("log"), text));
    }
    this.#exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        running.delete(child);
        if (!this.#wasSignalled) {
          const what = `daemon ${this.options.index}: ${signal ?? code}`;
          this.#ledger.ownEnds.push({ atMs: this.#ledger.nowMs(), what });
        }
        resolve();
      });
    });
  }

  /** SIGSTOP. */
  freeze(): void {
    this.#child?.kill("SIGSTOP");
  }

  /** SIGCONT. */
  thaw(): void {
    this.#child?.kill("SIGCONT");
  }

  /** SIGKILL; resolves when the process has ended. */
  async kill(): Promise<void> {
    this.#wasSignalled = true;
    this.isInRotation = false;
    if (this.isRunning) this.#child?.kill("SIGKILL");
    await this.#exited;
  }

  /** SIGTERM, and SIGKILL when it runs on after its time of grace. */
  async stop(): Promise<void> {
    if (!this.isRunning) return;
    this.#wasSignalled = true;
    this.#child?.kill("SIGTERM");
    const timer = setTimeout(() => this.#child?.kill("SIGKILL"), GRACE_MS);
    await this.#exited;
    clearTimeout(timer);
  }

  /** Asks whether it is ready, as the load balancer does once a second. */
  async probe(): Promise<void> {
    const isReady = this.isRunning && await this.#isReady();
    this.#missedProbes = isReady ? 0 : this.#missedProbes + 1;
    if (isReady) this.isInRotation = true;
    else if (this.#missedProbes >= 2) this.isInRotation = false;
  }

  /** Resolves when it is ready; rejects after the time limit. */
  async whenReady(limitMs: number): Promise<void> {
    const deadlineMs = performance.now() + limitMs;
    while (!this.isInRotation) {
      if (performance.now() > deadlineMs) {
        throw new Error(
          `Daemon ${this.options.index} is not ready; see ${this.#path("log")}`,
        );
      }
      await sleep(100);
      await this.probe();
    }
  }

  #isReady(): Promise<boolean> {
    const { ip: host } = this.options;
    const at = {
      host,
      port: PORTS.readiness,
      path: "/api/ready",
      agent: false,
    };
    return new Promise((resolve) => {
      const request = get(at, (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      request.setTimeout(PROBE_TIMEOUT_MS, () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }

  /** A counter of the daemon; undefined if the daemon does not answer. */
  async readCounter(name: string): Promise<number | undefined> {
    const url = `http://${this.options.ip}:${PORTS.metrics}/metrics`;
    const line = new RegExp(`^${name} (\\d+)`, "m");
    try {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      const text = await (await fetch(url, { signal })).text();
      return Number(line.exec(text)?.[1] ?? 0);
    } catch (caught) {
      console.error(`  no counters of ${this.options.ip}: ${caught}`);
      return undefined;
    }
  }

  #path(extension: string): string {
    return join(
      this.options.directory,
      `daemon-${this.options.index}.${extension}`,
    );
  }
}

function settingsOf(options: DaemonOptions): Record<string, unknown> {
  const { ip, domain, index } = options;
  return {
    node: `front-${domain}-${index}`,
    role: "router",
    machine_class: "front",
    serves: ["front", "control"],
    ip,
    zone: domain,
    region: "region",
    zones: Object.fromEntries(options.domains.map((name) => [name, "region"])),
    listen: {
      front: `${ip}:${PORTS.front}`,
      readiness: `${ip}:${PORTS.readiness}`,
      control: `${ip}:${PORTS.control}`,
    },
    port_range: [PORTS.peers, PORTS.peers + 15],
    seeds: options.seedIps.map((seedIp) => `${seedIp}:${PORTS.control}`),
    bootstrap: true,
    in_tolerance: false,
    limits: {
      cpu_share: 0.675,
      cores: 1,
      memory_mb: options.memoryMb,
      max_fds: 4_100,
    },
    data_dir: null,
    discovery: "platform",
    entry: "vip",
    heartbeat_ms: 1_200,
    fault_tolerance: { machines: 2, zones: 1, regions: 0 },
    bounds: BOUNDS,
    provider: { address: options.storeAddress, form: "log", keep_s: 300 },
  };
}
