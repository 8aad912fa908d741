/**
 * Finds out whether a backend server's process has ended when an answer breaks
 * off. A broken connection alone does not tell: servers also reset single
 * connections, and links fail.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import type { DecisionLog, PathMetrics, ServerClient } from "./ports.ts";
import type { ListedServer } from "./types.ts";

/** Dependencies of the check. */
export interface ServerEndCheckOptions {
  readonly client: Pick<ServerClient, "checkListening">;
  readonly log: DecisionLog;
  readonly metrics: PathMetrics;
}

/** Checks servers, each of them at most once at a time. */
export class ServerEndCheck {
  readonly #options: ServerEndCheckOptions;
  readonly #running = new Map<BackendServerId, Promise<boolean>>();

  constructor(options: ServerEndCheckOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether nothing listens at the server's address any more.
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

  async #check({ id, address, startedAtMs }: ListedServer): Promise<boolean> {
    const { client, log, metrics } = this.#options;
    const state = await client.checkListening(address);
    metrics.count("end_checks", { state });
    if (state !== "closed") return false;
    log.decision("server_ended", { server: id, address, startedAtMs });
    return true;
  }
}
