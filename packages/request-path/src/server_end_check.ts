/**
 * Finds out whether a backend server's process has ended when an answer breaks
 * off. A broken connection alone does not tell: servers also reset single
 * connections, and links fail.
 *
 * @module
 */

import { delay, type Scheduler } from "@endivebend/clock";
import type { BackendServerId } from "@endivebend/types";
import type { DecisionLog, PathMetrics, ServerClient } from "./ports.ts";
import type { ServerRegistry } from "./server_registry.ts";
import type { ListedServer } from "./types.ts";

/** Dependencies of the check. */
export interface ServerEndCheckOptions {
  readonly client: Pick<ServerClient, "checkListening">;
  readonly registry: Pick<ServerRegistry, "get">;
  readonly scheduler: Scheduler;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
}

/**
 * Looks at the server's entry after a check that did not show its end: an
 * engine may be back at its address by then, or not be reachable. Entries lapse
 * after three reports of 1,200 ms.
 */
const ENTRY_CHECKS = 10;
const ENTRY_CHECK_INTERVAL_MS = 500;

/** Checks servers, each of them at most once at a time. */
export class ServerEndCheck {
  readonly #options: ServerEndCheckOptions;
  readonly #running = new Map<BackendServerId, Promise<boolean>>();

  constructor(options: ServerEndCheckOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the server has ended: nothing listens at its address,
   * or its entry was replaced or removed within some seconds.
   *
   * @example
   * ```ts
   * if (await endCheck.hasEnded(listed)) recordCrash(listed);
   * ```
   */
  hasEnded(server: ListedServer): Promise<boolean> {
    const running = this.#running.get(server.id);
    if (running !== undefined) return running;
    const check = this.#check(server)
      .finally(() => this.#running.delete(server.id));
    this.#running.set(server.id, check);
    return check;
  }

  async #check(server: ListedServer): Promise<boolean> {
    const { client, log, metrics } = this.#options;
    const { id, address, startedAtMs } = server;
    const state = await client.checkListening(address);
    metrics.count("end_checks", { state });
    const hasEnded = state === "closed" || await this.#isReplaced(server);
    if (!hasEnded) return false;
    log.decision("server_ended", { server: id, address, startedAtMs, state });
    return true;
  }

  async #isReplaced({ id, startedAtMs }: ListedServer): Promise<boolean> {
    const { registry, scheduler } = this.#options;
    for (let checks = 0; checks < ENTRY_CHECKS; checks++) {
      const known = registry.get(id);
      const isSame = known?.listed.startedAtMs === startedAtMs &&
        known.removedAtMs === undefined;
      if (!isSame) return true;
      await delay(scheduler, ENTRY_CHECK_INTERVAL_MS);
    }
    return false;
  }
}
