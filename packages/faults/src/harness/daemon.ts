/**
 * An endivebend daemon as a process.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { VmEntry } from "@endivebend/types";
import { request } from "undici";
import { ManagedProcess } from "./managed_process.ts";

const SCRIPT = fileURLToPath(
  new URL("../../../cli/bin/endivebend.js", import.meta.url),
);
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
/** A stop may wait 30 s for outcomes to be in the log, and 5 s for loans. */
const STOP_TIMEOUT_MS = 60_000;

/** The ports of a daemon's listeners. */
export interface DaemonPorts {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

/** What a daemon is started with. */
export interface DaemonOptions {
  readonly vm: VmEntry;
  readonly ports: DaemonPorts;
  readonly settings: Readonly<Record<string, unknown>>;
  readonly workDirectory: string;
  readonly logDirectory: string | undefined;
}

/** One daemon; it can be killed, paused, stopped and started again. */
export class Daemon {
  readonly vmId: string;
  readonly domain: string;
  readonly callersAddress: string;
  readonly operatorsAddress: string;
  readonly process: ManagedProcess;
  #isWanted = false;
  /** When the harness last broke its connections on purpose. */
  brokenAtMs = -Infinity;

  constructor(options: DaemonOptions) {
    const { vm, ports, workDirectory, logDirectory } = options;
    this.vmId = vm.vmId;
    this.domain = vm.failureDomain;
    this.callersAddress = `127.0.0.1:${ports.callers}`;
    this.operatorsAddress = `127.0.0.1:${ports.operators}`;
    const file = join(workDirectory, `${vm.vmId}.json`);
    writeFileSync(file, JSON.stringify(options.settings, null, 2));
    const args = [SCRIPT, "serve", "--settings", file];
    this.process = new ManagedProcess({ name: vm.vmId, args, logDirectory });
  }

  /** True when the process ended and the harness had not asked for it. */
  get hasFailed(): boolean {
    return this.#isWanted && !this.process.isRunning;
  }

  start(): void {
    this.#isWanted = true;
    this.process.start();
  }

  /** Resolves when `/readyz` answers 200. */
  async whenReady(timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (!await this.isReady()) {
      if (performance.now() > deadlineMs || !this.process.isRunning) {
        const output = this.process.tail().join("\n  ");
        throw new Error(`${this.vmId} did not become ready:\n  ${output}`);
      }
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
  }

  async isReady(): Promise<boolean> {
    try {
      const { statusCode, body } = await request(
        `http://${this.callersAddress}/readyz`,
        { signal: AbortSignal.timeout(1000) },
      );
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Resolves with the exit code of an end that an operator asked for. */
  async whenEnded(timeoutMs: number): Promise<number | null | "running"> {
    this.#isWanted = false;
    return await this.process.whenEnded(timeoutMs);
  }

  async kill(): Promise<void> {
    this.#isWanted = false;
    this.brokenAtMs = performance.now();
    await this.process.kill();
  }

  /** SIGTERM; resolves with the exit code, or `killed` when it took too long. */
  async stop(): Promise<number | null | "killed"> {
    this.#isWanted = false;
    return await this.process.stop(STOP_TIMEOUT_MS);
  }
}
