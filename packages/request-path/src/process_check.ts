/**
 * Finds out whether the process at a server's address is the one that its entry
 * describes. Another one may have started under the same id, with another
 * software version, and its own entry comes later.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import type { BackendServerId } from "@endivebend/types";
import type { DecisionLog, PathMetrics } from "./ports.ts";
import type { KnownServer } from "./server_registry.ts";
import type { ListedServer } from "./types.ts";

/** What a server's process states of itself. */
export interface StatedProcess {
  /** When it started, in Unix milliseconds; undefined when it does not say. */
  readonly startedAtMs: number | undefined;
}

/** Dependencies of the check. */
export interface ProcessCheckOptions {
  /** Asks the server; undefined when it does not answer. Never rejects. */
  ask(server: ListedServer): Promise<StatedProcess | undefined>;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
}

/** A server that is up answers at once; a stream waits for it. */
const TIMEOUT_MS = 250;
/** A process is not replaced by another one within this time. */
const FRESH_MS = 50;

/** Checks servers, with at most one question to each of them at a time. */
export class ProcessCheck {
  readonly #options: ProcessCheckOptions;
  readonly #asking = new Map<BackendServerId, Promise<boolean>>();

  constructor(options: ProcessCheckOptions) {
    this.#options = options;
  }

  /** Whether the server's process has just stated when it started. */
  isFresh({ stated }: KnownServer, nowMs: number): boolean {
    return stated !== undefined && nowMs - stated.atMs < FRESH_MS;
  }

  /**
   * Asks the server and records what it states. Resolves with whether it has
   * answered.
   *
   * @example
   * ```ts
   * if (await processCheck.check(server)) place(request);
   * ```
   */
  check(server: KnownServer): Promise<boolean> {
    const { id } = server.listed;
    const asking = this.#asking.get(id) ?? this.#ask(server);
    this.#asking.set(id, asking);
    return asking;
  }

  async #ask(server: KnownServer): Promise<boolean> {
    const { ask, clock, log, metrics } = this.#options;
    const { id, startedAtMs } = server.listed;
    const process = await this.#inTime(ask(server.listed));
    this.#asking.delete(id);
    if (process === undefined) {
      metrics.count("process_checks", { outcome: "no_answer" });
      return false;
    }
    server.stated = { ...process, atMs: steadyMs(clock) };
    const isOther = hasOtherProcess(server);
    metrics.count("process_checks", { outcome: isOther ? "other" : "same" });
    if (isOther) {
      const stated = process.startedAtMs;
      log.decision("other_process", { server: id, startedAtMs, stated });
    }
    return true;
  }

  #inTime<T>(answer: Promise<T>): Promise<T | undefined> {
    return new Promise((resolve) => {
      const { scheduler } = this.#options;
      const cancel = scheduler.after(TIMEOUT_MS, () => resolve(undefined));
      void answer.then((value) => {
        cancel();
        resolve(value);
      });
    });
  }
}

/** Whether the process at the address has stated another start than listed. */
export function hasOtherProcess({ listed, stated }: KnownServer): boolean {
  const startedAtMs = stated?.startedAtMs;
  return startedAtMs !== undefined && startedAtMs !== listed.startedAtMs;
}
