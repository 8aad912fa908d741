/**
 * A process that the harness started, signals by its id, and ends.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";

/** What to start. */
export interface ProcessOptions {
  readonly name: string;
  /** Arguments of the Node program; the first is the script. */
  readonly args: readonly string[];
  /** Directory that gets a log file per process. */
  readonly logDirectory: string | undefined;
}

const TAIL_LINES = 30;
const running = new Set<ChildProcess>();

// Ends what is still running when the harness itself ends early.
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** One process; it may be started again with the same options. */
export class ManagedProcess {
  readonly name: string;
  readonly #options: ProcessOptions;
  readonly #tail: string[] = [];
  readonly #lineListeners = new Set<(line: string) => void>();
  #child: ChildProcess | undefined;
  #exited: Promise<number | null> = Promise.resolve(null);

  constructor(options: ProcessOptions) {
    this.name = options.name;
    this.#options = options;
  }

  get isRunning(): boolean {
    return this.#child !== undefined && running.has(this.#child);
  }

  /** The newest lines of output, for reports. */
  tail(): readonly string[] {
    return this.#tail;
  }

  start(): void {
    const child = spawn(process.execPath, this.#nodeArguments(), {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    running.add(child);
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream! }).on(
        "line",
        (line) => this.#takeLine(line),
      );
    }
    this.#exited = new Promise((resolve) => {
      child.once("exit", (code) => {
        running.delete(child);
        resolve(code);
      });
    });
  }

  /** Resolves with the first output line that the reader accepts. */
  waitForLine<Value>(
    read: (line: string) => Value | undefined,
    timeoutMs: number,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const finish = (settle: () => void) => {
        clearTimeout(timer);
        this.#lineListeners.delete(listener);
        settle();
      };
      const listener = (line: string) => {
        const value = read(line);
        if (value !== undefined) finish(() => resolve(value));
      };
      const fail = () => finish(() => reject(this.#notReady()));
      const timer = setTimeout(fail, timeoutMs);
      void this.#exited.then(fail);
      this.#lineListeners.add(listener);
    });
  }

  /** Resolves with the exit code, or `running` after the time limit. */
  async whenEnded(timeoutMs: number): Promise<number | null | "running"> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<"running">((resolve) => {
      timer = setTimeout(() => resolve("running"), timeoutMs);
    });
    const code = await Promise.race([this.#exited, limit]);
    clearTimeout(timer);
    return code;
  }

  /** SIGSTOP: the process stays but does nothing. */
  pause(): void {
    this.#child?.kill("SIGSTOP");
  }

  /** SIGCONT: a paused process goes on. */
  resume(): void {
    this.#child?.kill("SIGCONT");
  }

  /** SIGKILL; resolves when the process has ended. */
  async kill(): Promise<void> {
    if (this.isRunning) this.#child?.kill("SIGKILL");
    await this.#exited;
  }

  /** SIGTERM; resolves with the exit code, or `killed` after the time limit. */
  async stop(timeoutMs: number): Promise<number | null | "killed"> {
    if (!this.isRunning) return await this.#exited;
    this.#child?.kill("SIGTERM");
    this.#child?.kill("SIGCONT");
    let isLate = false;
    const timer = setTimeout(() => {
      isLate = true;
      this.#child?.kill("SIGKILL");
    }, timeoutMs);
    const code = await this.#exited;
    clearTimeout(timer);
    return isLate ? "killed" : code;
  }

  #nodeArguments(): string[] {
    return ["--import=tsx", ...this.#options.args];
  }

  #takeLine(line: string): void {
    this.#tail.push(line);
    if (this.#tail.length > TAIL_LINES) this.#tail.shift();
    const { logDirectory, name } = this.#options;
    if (logDirectory !== undefined) {
      appendFileSync(join(logDirectory, `${name}.log`), `${line}\n`);
    }
    for (const listener of [...this.#lineListeners]) listener(line);
  }

  #notReady(): Error {
    const output = this.#tail.join("\n  ");
    return new Error(`${this.name} did not become ready:\n  ${output}`);
  }
}
