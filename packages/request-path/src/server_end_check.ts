/**
 * Finds out whether a backend server's process has ended when an answer breaks
 * off. A broken connection alone does not tell: servers also reset single
 * connections, and links fail.
 *
 * @module
 */

import { delay, type Scheduler } from "@endivebend/clock";
import type { BackendServerId } from "@endivebend/types";
import type {
  DecisionLog,
  ListenState,
  PathMetrics,
  ServerClient,
} from "./ports.ts";
import type { ServerRegistry } from "./server_registry.ts";
import type { ListedServer } from "./types.ts";

/** Dependencies of the check. */
export interface ServerEndCheckOptions {
  readonly client: Pick<ServerClient, "checkListening">;
  readonly registry: Pick<ServerRegistry, "get">;
  /**
   * Whether another server, of whatever service, accepts a connection; if none
   * does, a refused one shows nothing of the server.
   */
  reachesAnother(server: ListedServer): Promise<boolean>;
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
/** Ends that are remembered, so that each is logged once. */
const MAX_LOGGED = 1_024;

/** Checks servers, with at most one connection to each of them at a time. */
export class ServerEndCheck {
  readonly #options: ServerEndCheckOptions;
  readonly #connecting = new Map<BackendServerId, Promise<ListenState>>();
  /** Starts of the processes whose end was logged. */
  readonly #loggedStartMs = new Map<BackendServerId, number>();

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
  async hasEnded(server: ListedServer): Promise<boolean> {
    const state = await this.#connect(server);
    const isClosed = state === "closed" &&
      await this.#options.reachesAnother(server);
    const hasEnded = isClosed || await this.#isReplaced(server);
    if (hasEnded) this.#logEnd(server, state);
    return hasEnded;
  }

  #connect({ id, address }: ListedServer): Promise<ListenState> {
    const connecting = this.#connecting.get(id);
    if (connecting !== undefined) return connecting;
    const { client, metrics } = this.#options;
    const check = client.checkListening(address).then((state) => {
      metrics.count("end_checks", { state });
      this.#connecting.delete(id);
      return state;
    });
    this.#connecting.set(id, check);
    return check;
  }

  #logEnd({ id, address, startedAtMs }: ListedServer, state: ListenState) {
    if (this.#loggedStartMs.get(id) === startedAtMs) return;
    this.#loggedStartMs.set(id, startedAtMs);
    if (this.#loggedStartMs.size > MAX_LOGGED) {
      const [oldest] = this.#loggedStartMs.keys();
      this.#loggedStartMs.delete(oldest!);
    }
    const fields = { server: id, address, startedAtMs, state };
    this.#options.log.decision("server_ended", fields);
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
