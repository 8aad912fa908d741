/**
 * Opens connections to servers to find out which of them this VM reaches: when
 * several fail at about the same time, and again and again while it is cut off.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import type { BackendServerId, ServiceName } from "@endivebend/types";
import type { ReachableServer, ServerReach } from "./server_reach.ts";

/** What a new connection shows of a server's process. */
export type ListenState = "listening" | "closed" | "unknown";

/** Dependencies of {@link ReachChecks}. */
export interface ReachChecksOptions {
  readonly reach: ServerReach;
  readonly scheduler: Scheduler;
  nowMs(): number;
  usable(service: ServiceName): readonly ReachableServer[];
  /** Servers of all services. */
  listed(): readonly ReachableServer[];
  checkListening(address: string): Promise<ListenState>;
}

/** Two servers that fail within this time may have the same cause. */
const SUSPICION_MS = 1_500;
/** Pause between two rounds of checks of a service. */
const ROUND_INTERVAL_MS = 400;
/** Servers that are checked in a round; connections cost servers something. */
const CHECKS_A_ROUND = 4;
/** Connections that are opened at a time when a cut has healed. */
const CHECKS_AFTER_HEALING = 64;
const MIN_SUSPECTS = 2;
/** Servers that are asked before a VM takes its own links as being at fault. */
const MAX_ASKED = 8;

/** Checks servers for one VM. */
export class ReachChecks {
  readonly #options: ReachChecksOptions;
  readonly #suspectedAtMs = new Map<BackendServerId, number>();
  readonly #roundAtMs = new Map<ServiceName, number>();
  readonly #checking = new Set<BackendServerId>();
  readonly #findingAnother = new Map<BackendServerId, Promise<boolean>>();
  #cancel = () => {};

  constructor(options: ReachChecksOptions) {
    this.#options = options;
  }

  start(): void {
    this.#cancel = this.#options.scheduler.after(
      ROUND_INTERVAL_MS,
      () => this.start(),
    );
    const { reach } = this.#options;
    for (const service of reach.cutOffServices()) this.#runRound(service);
    for (const service of this.#roundAtMs.keys()) {
      if (reach.isMostlyLost(service)) this.#runRound(service);
    }
  }

  stop(): void {
    this.#cancel();
  }

  /** Records that the server is silent or has broken off an answer. */
  suspect({ id, service }: ReachableServer): void {
    const { nowMs, usable } = this.#options;
    this.#suspectedAtMs.set(id, nowMs());
    for (const [other, atMs] of this.#suspectedAtMs) {
      if (nowMs() - atMs > SUSPICION_MS) this.#suspectedAtMs.delete(other);
    }
    const servers = usable(service);
    const suspects = servers.filter((server) =>
      this.#suspectedAtMs.has(server.id)
    );
    if (suspects.length < Math.min(MIN_SUSPECTS, servers.length)) return;
    const roundAtMs = this.#roundAtMs.get(service) ?? Number.NEGATIVE_INFINITY;
    if (nowMs() - roundAtMs >= ROUND_INTERVAL_MS) this.#runRound(service);
  }

  /**
   * Whether another server, of whatever service, accepts a connection: if none
   * does, the links of this VM may be at fault and not the server.
   *
   * @example
   * ```ts
   * const isServersFault = await checks.reachesAnother(server);
   * ```
   */
  reachesAnother(server: ReachableServer): Promise<boolean> {
    // All answers of a server that ends are lost at once.
    const running = this.#findingAnother.get(server.id);
    if (running !== undefined) return running;
    const finding = this.#findAnother(server).finally(() =>
      this.#findingAnother.delete(server.id)
    );
    this.#findingAnother.set(server.id, finding);
    return finding;
  }

  async #findAnother({ id }: ReachableServer): Promise<boolean> {
    const { reach, listed } = this.#options;
    const others = listed().filter((other) => other.id !== id);
    // Many servers may end together; one that was there lately likely still is.
    const likeliest = reach.byLastConnection(others).slice(0, MAX_ASKED);
    for (const other of likeliest) {
      if (await this.#check(other) === "listening") return true;
    }
    return false;
  }

  #runRound(service: ServiceName): void {
    const { reach, nowMs } = this.#options;
    this.#roundAtMs.set(service, nowMs());
    const servers = reach.leastRecentlyChecked(service, CHECKS_A_ROUND);
    for (const server of servers) void this.#checkOnce(server);
  }

  async #checkOnce(server: ReachableServer): Promise<void> {
    if (this.#checking.has(server.id)) return;
    const { reach } = this.#options;
    const wasCutOff = reach.cutOffSinceMs(server.service) !== undefined;
    const state = await this.#check(server);
    if (!wasCutOff || state !== "listening") return;
    // The cut may have healed for some servers only.
    const lost = reach.lost(server.service).slice(0, CHECKS_AFTER_HEALING);
    for (const other of lost) void this.#checkOnce(other);
  }

  async #check(server: ReachableServer): Promise<ListenState> {
    const { reach, checkListening } = this.#options;
    this.#checking.add(server.id);
    try {
      const state = await checkListening(server.address);
      if (state === "listening") reach.recordConnected(server);
      else reach.recordNoConnection(server);
      return state;
    } finally {
      this.#checking.delete(server.id);
    }
  }
}
