/**
 * Starts the demonstration's processes, each by the `endivebend` command.
 *
 * @module
 */

import { execFile } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ManagedProcess, PortFinder } from "@endivebend/faults";
import { request } from "undici";

const COMMAND = fileURLToPath(
  new URL("../../cli/bin/endivebend.js", import.meta.url),
);
const START_TIMEOUT_MS = 60_000;
const STOP_TIMEOUT_MS = 30_000;
const OPERATOR_KEY = "demonstration-operator-key";
const SHARED_KEY = "shared-key-of-the-demonstration-32-characters";
const DOMAINS = ["north", "south"];

/** A process that listens. */
export interface Listening {
  readonly process: ManagedProcess;
  readonly address: string;
  readonly controlAddress: string;
}

/** A router and where it listens. */
export interface RunningRouter {
  readonly vmId: string;
  readonly process: ManagedProcess;
  readonly callers: string;
  readonly operators: string;
}

/** The result of a command. */
export interface CommandResult {
  readonly exitCode: number | null;
  readonly output: Record<string, unknown>;
}

/** The processes of the demonstration. */
export class DemoDeployment {
  readonly routers: RunningRouter[] = [];
  readonly engines: Listening[] = [];
  #platform: Listening | undefined;
  #service: Listening | undefined;
  readonly #directory = mkdtempSync(join(tmpdir(), "endivebend-demo-"));
  readonly #processes: ManagedProcess[] = [];

  get service(): Listening {
    if (this.#service === undefined) throw new Error("Start it first");
    return this.#service;
  }

  /** Starts a platform, two engines, a plain service and two routers. */
  async start(): Promise<void> {
    this.#platform = await this.#startStandIn("platform", {});
    for (const _domain of DOMAINS) {
      const settings = { model: "chime-llm", decodeMsPerToken: 2 };
      this.engines.push(await this.#startStandIn("engine", settings));
    }
    this.#service = await this.#startStandIn("service", {});
    await this.#publishVms();
    await this.#startRouters();
  }

  /** Runs an operator's command at the first router. */
  async operate(args: readonly string[]): Promise<CommandResult> {
    const address = this.routers[0]!.operators;
    const place = ["--operator-address", address, "--operator-key"];
    const all = [...args, "--json", ...place, OPERATOR_KEY];
    return await runCommand(all);
  }

  /** Writes a file for a command and gives its path. */
  writeFile(name: string, content: unknown): string {
    const path = join(this.#directory, name);
    writeFileSync(path, JSON.stringify(content, null, 2));
    return path;
  }

  /** Stops the routers as an operator does, and gives their exit codes. */
  async stopRouters(): Promise<readonly (number | null | "killed")[]> {
    return await Promise.all(
      this.routers.map((router) => router.process.stop(STOP_TIMEOUT_MS)),
    );
  }

  async close(): Promise<void> {
    await Promise.all(this.#processes.map((process) => process.kill()));
    rmSync(this.#directory, { recursive: true });
  }

  async #startStandIn(
    kind: string,
    options: Readonly<Record<string, unknown>>,
  ): Promise<Listening> {
    const settings = Object.entries(options).flatMap(([name, value]) => [
      "--set",
      `${name}=${value}`,
    ]);
    const process = this.#process(kind, ["stand-in", kind, ...settings]);
    process.start();
    const line = await process.waitForLine(parseObject, START_TIMEOUT_MS);
    const { address, controlAddress } = line as Record<string, string>;
    return {
      process,
      address: address ?? "",
      controlAddress: controlAddress ?? "",
    };
  }

  async #publishVms(): Promise<void> {
    const engines = this.engines.map(({ address }, index) => ({
      vmId: `engine-${DOMAINS[index]}`,
      role: "engine",
      state: "live",
      address,
      failureDomain: DOMAINS[index],
      service: "chime-llm",
    }));
    const service = {
      vmId: "bookings-north",
      role: "service",
      state: "live",
      address: this.service.address,
      failureDomain: "north",
      service: "belfry-app",
    };
    const { body } = await request(
      `http://${this.#platform!.controlAddress}/control`,
      {
        method: "POST",
        body: JSON.stringify({ set_vms: [...engines, service] }),
      },
    );
    await body.dump();
  }

  async #startRouters(): Promise<void> {
    const finder = new PortFinder();
    const peerPorts = await Promise.all(DOMAINS.map(() => finder.take()));
    const started = DOMAINS.map((domain, index) =>
      this.#startRouter({ domain, index, peerPorts })
    );
    this.routers.push(...await Promise.all(started));
  }

  async #startRouter(options: {
    readonly domain: string;
    readonly index: number;
    readonly peerPorts: readonly number[];
  }): Promise<RunningRouter> {
    const { domain } = options;
    const vmId = `vm-${domain}`;
    const settings = this.#routerSettings(options);
    const file = this.writeFile(`${vmId}.jsonc`, settings);
    const process = this.#process(vmId, ["serve", "--settings", file]);
    process.start();
    const line = await process.waitForLine(parseAddresses, START_TIMEOUT_MS);
    await whenReady(line.callers);
    return { vmId, process, ...line };
  }

  #routerSettings(options: {
    readonly domain: string;
    readonly index: number;
    readonly peerPorts: readonly number[];
  }) {
    const { domain, index, peerPorts } = options;
    const listener = { host: "127.0.0.1", port: 0 };
    const addresses = DOMAINS.map((other, position) => ({
      vmId: `vm-${other}`,
      address: `127.0.0.1:${peerPorts[position]}`,
      failureDomain: other,
    }));
    const sha256 = createHash("sha256").update(OPERATOR_KEY).digest("hex");
    return {
      vmId: `vm-${domain}`,
      failureDomain: domain,
      fleet: { failureDomains: DOMAINS, region: "loopback" },
      listen: {
        callers: listener,
        operators: listener,
        peers: { host: "127.0.0.1", port: peerPorts[index] },
      },
      platform: { address: this.#platform!.address },
      peers: {
        sharedKey: SHARED_KEY,
        addresses: addresses.filter(({ vmId }) => vmId !== `vm-${domain}`),
      },
      operators: { keys: [{ name: "demonstration", sha256 }] },
      limits: { drainGraceMs: 200, queueWaitMs: 1000 },
      log: { level: "warn" },
    };
  }

  #process(name: string, args: readonly string[]): ManagedProcess {
    const process = new ManagedProcess({
      name,
      args: [COMMAND, ...args],
      logDirectory: undefined,
    });
    this.#processes.push(process);
    return process;
  }
}

function runCommand(args: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [COMMAND, ...args], (error, stdout) => {
      const exitCode = typeof error?.code === "number" ? error.code : null;
      const output = parseObject(stdout) ?? {};
      resolve({ exitCode: error === null ? 0 : exitCode, output });
    });
  });
}

function parseObject(line: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(line);
    const isObject = typeof value === "object" && value !== null;
    return isObject ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
}

function parseAddresses(line: string) {
  const { callers, operators } = parseObject(line) ?? {};
  if (typeof callers !== "string" || typeof operators !== "string") {
    return undefined;
  }
  return { callers, operators };
}

async function whenReady(address: string): Promise<void> {
  const deadlineMs = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    const { statusCode, body } = await request(`http://${address}/readyz`);
    await body.dump();
    if (statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`The router at ${address} did not become ready`);
}
