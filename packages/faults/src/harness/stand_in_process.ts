/**
 * A stand-in that runs as a process, with its control interface.
 *
 * @module
 */

import { fileURLToPath } from "node:url";
import type { StandInKind } from "@endivebend/stand-ins";
import { request } from "undici";
import { ManagedProcess } from "./managed_process.ts";

const SCRIPT = fileURLToPath(new URL("./stand_in_main.ts", import.meta.url));
const READY_TIMEOUT_MS = 20_000;

/** What to start. */
export interface StandInProcessOptions {
  readonly name: string;
  readonly kind: StandInKind;
  readonly options: Readonly<Record<string, unknown>>;
  readonly logDirectory: string | undefined;
}

interface Addresses {
  readonly address: string;
  readonly controlAddress: string;
}

/** A running stand-in process. */
export class StandInProcess {
  readonly name: string;
  readonly process: ManagedProcess;
  readonly #addresses: Addresses;

  private constructor(process: ManagedProcess, addresses: Addresses) {
    this.name = process.name;
    this.process = process;
    this.#addresses = addresses;
  }

  /** Starts a stand-in and waits until it listens. */
  static async start(options: StandInProcessOptions): Promise<StandInProcess> {
    const { name, kind, logDirectory } = options;
    const args = [SCRIPT, kind, JSON.stringify(options.options)];
    const process = new ManagedProcess({ name, args, logDirectory });
    process.start();
    const addresses = await process.waitForLine(
      readAddresses,
      READY_TIMEOUT_MS,
    );
    return new StandInProcess(process, addresses);
  }

  get address(): string {
    return this.#addresses.address;
  }

  /** Switches faults. */
  async control(fields: Readonly<Record<string, unknown>>): Promise<void> {
    const url = `http://${this.#addresses.controlAddress}/control`;
    const { statusCode, body } = await request(url, {
      method: "POST",
      body: JSON.stringify(fields),
    });
    const text = await body.text();
    if (statusCode !== 200) throw new Error(`${this.name} control: ${text}`);
  }

  /** What the stand-in recorded. */
  async record<Record>(): Promise<Record> {
    const url = `http://${this.#addresses.controlAddress}/record`;
    const { body } = await request(url);
    return await body.json() as Record;
  }
}

function readAddresses(line: string): Addresses | undefined {
  if (!line.startsWith('{"address"')) return undefined;
  return JSON.parse(line) as Addresses;
}
