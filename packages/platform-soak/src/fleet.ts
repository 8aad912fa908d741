/**
 * A small deployment on loopback: the store's stand-in, backend servers and
 * daemons.
 *
 * @module
 */

import { mkdirSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { startStore, type StoreStandIn } from "@endivebend/platform";
import { NO_FAULTS, type ServerFaults } from "./answer_plan.ts";
import { BackendServer } from "./backend_server.ts";
import { HOST, SERVICE_BY_KIND } from "./callers.ts";
import { BOUNDS, DaemonProcess } from "./daemon_process.ts";
import type { Ledger, RolloutEntry } from "./ledger.ts";
import type { LinkCut } from "./links.ts";

/** What a fleet consists of. */
export interface FleetShape {
  readonly daemons: number;
  /** Servers of each service. */
  readonly servers: number;
  readonly domains: number;
  /** Most servers that one request of a safe or unsafe route is sent to. */
  readonly attempts: number;
  /** Memory that the settings of each daemon name, 350 MB by default. */
  readonly memoryMb?: number;
}

const DEFAULT_MEMORY_MB = 350;
const HEARTBEAT_MS = 1_200;
const PROBE_INTERVAL_MS = 1_000;
const READY_TIMEOUT_MS = 60_000;
const STOP_TIMEOUT_MS = 5_000;
/** Interval at which the status of a rollout is looked at. */
const STATUS_INTERVAL_MS = 5;
/** Time after the time limit in which a status is still waited for. */
const ROLLOUT_SETTLE_MS = 2_000;
/** Time after which servers of a version that was rolled back drain. */
const ROLLBACK_DRAIN_MS = 3_000;
/** Addresses are those of this process, so that plays may run side by side. */
const NETWORK = `127.${60 + process.pid % 150}.${(process.pid >> 8) % 250}`;
const SERVER_HOST = `${NETWORK}.254`;

function daemonHost(index: number): string {
  return `${NETWORK}.${index + 1}`;
}

function linkHost(index: number): string {
  return `${NETWORK}.${index + 101}`;
}

/** Links that are cut at the same time and in the same form. */
export interface CutLinks {
  readonly daemons: ReadonlySet<number>;
  readonly cut: LinkCut;
  includes(server: BackendServer): boolean;
}

/** A running deployment. */
export class Fleet {
  readonly ledger: Ledger;
  readonly shape: FleetShape;
  readonly daemons: DaemonProcess[] = [];
  readonly servers: BackendServer[] = [];
  readonly #seed: number;
  readonly #directory: string;
  readonly #timers: NodeJS.Timeout[] = [];
  #store: StoreStandIn | undefined;
  #startedServers = 0;
  #isClosed = false;
  readonly #cuts = new Map<CutLinks, (() => Promise<void>)[]>();

  constructor(
    ledger: Ledger,
    shape: FleetShape,
    { seed, directory }: { readonly seed: number; readonly directory: string },
  ) {
    this.ledger = ledger;
    this.shape = shape;
    this.#seed = seed;
    this.#directory = directory;
    mkdirSync(directory, { recursive: true });
  }

  /** Starts all of it; resolves when every daemon is ready. */
  async start(): Promise<void> {
    const store = await startStore();
    this.#store = store;
    store.put("keyed.op", "config", configurationOf(this.shape));
    for (const service of new Set(Object.values(SERVICE_BY_KIND))) {
      for (let index = 0; index < this.shape.servers; index++) {
        await this.addServer(service, "v1");
      }
    }
    const domains = this.#domains();
    const ips = Array.from(
      { length: this.shape.daemons },
      (_, index) => daemonHost(index),
    );
    for (const [index, ip] of ips.entries()) {
      const daemon = new DaemonProcess(this.ledger, {
        index,
        ip,
        domain: domains[index % domains.length]!,
        domains,
        seedIps: ips.slice(0, 3),
        storeAddress: store.address,
        serverHost: SERVER_HOST,
        linkHost: linkHost(index),
        memoryMb: this.shape.memoryMb ?? DEFAULT_MEMORY_MB,
        directory: this.#directory,
      });
      this.daemons.push(daemon);
      daemon.start();
    }
    await Promise.all(
      this.daemons.map((daemon) => daemon.whenReady(READY_TIMEOUT_MS)),
    );
    this.#timers.push(
      setInterval(() => this.#reportAll(), HEARTBEAT_MS),
      setInterval(() => this.#probeAll(), PROBE_INTERVAL_MS),
    );
  }

  /** Starts a server and lists it. */
  async addServer(
    service: string,
    version: string,
    faults: ServerFaults = NO_FAULTS,
  ): Promise<BackendServer> {
    const domains = this.#domains();
    this.#startedServers += 1;
    const server = new BackendServer(this.ledger, {
      id: `i-${this.#startedServers}`,
      service,
      domain: domains[this.#startedServers % domains.length]!,
      version,
      seed: this.#seed,
      host: SERVER_HOST,
      linkHosts: Array.from(
        { length: this.shape.daemons },
        (_, index) => linkHost(index),
      ),
    }, faults);
    await server.start();
    for (const [links, mends] of this.#cuts) {
      if (links.includes(server)) {
        mends.push(server.cutLinks(links.daemons, links.cut));
      }
    }
    this.servers.push(server);
    this.#report(server);
    return server;
  }

  /** The server says that it leaves, serves on for a while, and ends. */
  async removeServer(server: BackendServer, forMs: number): Promise<void> {
    server.leavingSinceMs = this.ledger.nowMs();
    this.#report(server);
    await sleep(BOUNDS.drain_ms + forMs);
    this.servers.splice(this.servers.indexOf(server), 1);
    this.#store?.remove("keyed.servers", server.options.id);
    server.crash();
  }

  /** Crashes a server and starts it again under the id that it had. */
  async restartServer(server: BackendServer, downMs: number): Promise<void> {
    server.crash();
    await sleep(downMs);
    if (this.#isClosed || !this.servers.includes(server)) return;
    await server.start();
    this.#report(server);
  }

  /**
   * Orders a version beside the present one, and stops the servers that the
   * status lets go.
   */
  async rollOut(
    service: string,
    to: string,
    { durationMs, faults }: {
      readonly durationMs: number;
      readonly faults: ServerFaults;
    },
  ): Promise<void> {
    const old = this.serving(service);
    const added: BackendServer[] = [];
    for (const _ of old) added.push(await this.addServer(service, to, faults));
    const key = `rollout/${service}`;
    const entry: RolloutEntry = {
      service,
      to,
      orderedAtMs: this.ledger.nowMs(),
      durationMs,
      isBad: faults !== NO_FAULTS,
      newServers: new Set(added.map(({ options }) => options.id)),
      phases: [],
    };
    this.ledger.rollouts.push(entry);
    const duration_s = durationMs / 1_000;
    this.#store?.put("keyed.op", key, { service, to, duration_s });
    const untilMs = entry.orderedAtMs + durationMs + ROLLOUT_SETTLE_MS;
    while (!this.#isClosed && this.ledger.nowMs() < untilMs) {
      const text = this.#store?.valueOf("keyed.status", key) ?? "{}";
      const { phase } = JSON.parse(text) as { readonly phase?: string };
      if (phase !== undefined && entry.phases.at(-1)?.phase !== phase) {
        entry.phases.push({ phase, atMs: this.ledger.nowMs() });
      }
      if (phase === "succeeded") return this.#stopAtOnce(old);
      if (phase === "rolled_back") {
        await sleep(ROLLBACK_DRAIN_MS);
        await Promise.all(added.map((server) => this.removeServer(server, 0)));
        return;
      }
      await sleep(STATUS_INTERVAL_MS);
    }
  }

  /** Ends servers without notice. */
  #stopAtOnce(servers: readonly BackendServer[]): void {
    for (const server of servers) {
      this.servers.splice(this.servers.indexOf(server), 1);
      this.#store?.remove("keyed.servers", server.options.id);
      server.crash();
    }
  }

  /** Cuts links, also those to servers that are added meanwhile. */
  cutLinks(links: CutLinks): void {
    const servers = this.servers.filter((server) => links.includes(server));
    this.#cuts.set(
      links,
      servers.map((server) => server.cutLinks(links.daemons, links.cut)),
    );
  }

  async mendLinks(links: CutLinks): Promise<void> {
    const mends = this.#cuts.get(links) ?? [];
    this.#cuts.delete(links);
    await Promise.all(mends.map((mend) => mend()));
  }

  /** Starts a daemon that has ended, unless the play is over. */
  startAgain(daemon: DaemonProcess): void {
    if (!this.#isClosed && !daemon.isRunning) daemon.start();
  }

  /** Servers of a service that are up and do not leave. */
  serving(service: string): BackendServer[] {
    return this.servers.filter((server) =>
      server.options.service === service && server.isUp &&
      server.leavingSinceMs === undefined
    );
  }

  /** Software versions of which two servers or more serve streams. */
  servedVersions(): string[] {
    const counts = new Map<string, number>();
    for (const { options } of this.serving(SERVICE_BY_KIND.stream)) {
      counts.set(options.version, (counts.get(options.version) ?? 0) + 1);
    }
    return [...counts].filter(([, count]) => count >= 2).map(([name]) => name);
  }

  /** Ends all processes and servers. */
  async close(): Promise<void> {
    this.#isClosed = true;
    for (const links of [...this.#cuts.keys()]) await this.mendLinks(links);
    for (const timer of this.#timers) clearInterval(timer);
    const killed = Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.race([killed, sleep(STOP_TIMEOUT_MS)]);
    for (const server of this.servers) server.crash();
    this.#store?.close();
  }

  #domains(): string[] {
    return Array.from(
      { length: this.shape.domains },
      (_, index) => `domain-${index + 1}`,
    );
  }

  #reportAll(): void {
    for (const server of this.servers) if (server.isUp) this.#report(server);
  }

  #report(server: BackendServer): void {
    const { id, service, domain, version } = server.options;
    server.reportCount += 1;
    this.#store?.put("keyed.servers", id, {
      service,
      address: server.address,
      zone: domain,
      version,
      slots: 128,
      phase: server.leavingSinceMs === undefined ? "ready" : "draining",
      cold_left_ms: 0,
      models: [],
      seq: server.reportCount,
      born: server.bornAtMs,
    });
  }

  #probeAll(): void {
    for (const daemon of this.daemons) void daemon.probe();
  }
}

function configurationOf({ attempts }: FleetShape): Record<string, unknown> {
  const route = (name: string, fields: Record<string, unknown>) => ({
    name,
    hostname: HOST,
    path_prefix: `/${name}/`,
    timeout_ms: 9_000,
    target_latency_ms: 500,
    priority: 1,
    attempts,
    anonymous: true,
    ...fields,
  });
  return {
    version: 3,
    routes: [
      route("safe", { type: "safe", service: SERVICE_BY_KIND.safe }),
      route("unsafe", { type: "unsafe", service: SERVICE_BY_KIND.unsafe }),
      route("stream", {
        type: "stream",
        service: SERVICE_BY_KIND.stream,
        resumable: true,
        gap_target_ms: 400,
      }),
    ],
    services: [...new Set(Object.values(SERVICE_BY_KIND))].map((name) => ({
      name,
      health_path: "/health",
      max_conns: 2_000,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [],
  };
}
