/**
 * Asks servers for an answer on new connections to find out which of them this
 * VM reaches: when one answers nothing, when several fail at about the same
 * time, and again and again while it is cut off.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import type { BackendServerId, ServiceName } from "@endivebend/types";
import type {
  LinkFailure,
  ReachableServer,
  ServerReach,
} from "./server_reach.ts";

/** What a new connection shows of a server's process. */
export type ListenState = "listening" | "closed" | "unknown";

/** What has come of a question on a new connection. */
export type LinkState = "answered" | LinkFailure;

/** Dependencies of {@link ReachChecks}. */
export interface ReachChecksOptions {
  readonly reach: ServerReach;
  readonly scheduler: Scheduler;
  nowMs(): number;
  usable(service: ServiceName): readonly ReachableServer[];
  /** Servers of all services. */
  listed(): readonly ReachableServer[];
  /** Asks the server for any answer on a new connection. Never rejects. */
  checkAnswering(server: ReachableServer): Promise<LinkState>;
  /** Called with what each question showed. */
  checked(server: ReachableServer, state: LinkState): void;
}

/** Two servers that fail within this time may have the same cause. */
const SUSPICION_MS = 1_500;
/** Pause between two rounds of checks of a service. */
const ROUND_INTERVAL_MS = 400;
/** Servers that are checked in a round; questions cost servers something. */
const CHECKS_A_ROUND = 4;
/** Questions that are asked at a time when a cut has healed. */
const CHECKS_AFTER_HEALING = 64;
const MIN_SUSPECTS = 2;
/** Servers that are asked before a VM takes its own links as being at fault. */
const MAX_ASKED = 8;
/**
 * Time between checks that several suspects, or one server that answers nothing,
 * lead to. Servers that are slow or fail by themselves lead to them all the
 * while; a cut has to be noticed within 3,000 ms.
 */
const DOUBT_INTERVAL_MS = 1_500;

/** Checks servers for one VM. */
export class ReachChecks {
  readonly #options: ReachChecksOptions;
  readonly #suspectedAtMs = new Map<BackendServerId, number>();
  readonly #roundAtMs = new Map<ServiceName, number>();
  readonly #checking = new Set<BackendServerId>();
  readonly #findingAnother = new Map<BackendServerId, Promise<boolean>>();
  /** When a single server of the service may be asked again. */
  readonly #nextDoubtMs = new Map<ServiceName, number>();
  /** Since when checks run to tell a cut from servers that fail. */
  readonly #inDoubtSinceMs = new Map<ServiceName, number>();
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
    for (const service of reach.cutOffServices()) {
      void this.#runRound(service);
    }
    for (const service of this.#roundAtMs.keys()) {
      if (reach.isMostlyLost(service)) void this.#runRound(service);
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
    if (nowMs() - roundAtMs < DOUBT_INTERVAL_MS) return;
    void this.#whileInDoubt(service, () => this.#runRound(service));
  }

  /**
   * Records that nothing has come from the server for a request that was sent
   * at the time. Asks it, and others if it doesn't answer, unless the service
   * has answered on a connection that was opened later.
   *
   * @example
   * ```ts
   * checks.noteUnanswered(server, attempt.startedAtMs);
   * ```
   */
  noteUnanswered(server: ReachableServer, sentAtMs: number): void {
    const { reach, nowMs } = this.#options;
    const { service } = server;
    const nextMs = this.#nextDoubtMs.get(service) ?? Number.NEGATIVE_INFINITY;
    if (nowMs() < nextMs || reach.cutOffSinceMs(service) !== undefined) return;
    if (reach.isLost(server) || reach.answeredAtMs(service) > sentAtMs) return;
    this.#nextDoubtMs.set(service, nowMs() + DOUBT_INTERVAL_MS);
    void this.#whileInDoubt(service, async () => {
      const state = await this.#check(server);
      if (state !== "answered") await this.#runRound(service);
    });
  }

  /** Asks one server of each other service when one was found cut off. */
  checkOthers(service: ServiceName): void {
    const { reach, listed, nowMs } = this.#options;
    for (const other of new Set(listed().map(({ service }) => service))) {
      const [server] = reach.leastRecentlyChecked(other, 1);
      if (other === service || server === undefined) continue;
      this.noteUnanswered(server, nowMs());
    }
  }

  /** Whether checks run to tell a cut from servers that fail. */
  isInDoubt(service: ServiceName): boolean {
    const sinceMs = this.#inDoubtSinceMs.get(service);
    return sinceMs !== undefined &&
      this.#options.reach.answeredAtMs(service) < sinceMs;
  }

  /**
   * Whether another server, of whatever service, answers: if none does, the
   * links of this VM may be at fault and not the server.
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
    const likeliest = reach.byLastAnswer(others).slice(0, MAX_ASKED);
    for (const other of likeliest) {
      if (await this.#check(other) === "answered") return true;
    }
    return false;
  }

  async #whileInDoubt(
    service: ServiceName,
    check: () => Promise<void>,
  ): Promise<void> {
    const sinceMs = this.#options.nowMs();
    this.#inDoubtSinceMs.set(service, sinceMs);
    await check();
    if (this.#inDoubtSinceMs.get(service) === sinceMs) {
      this.#inDoubtSinceMs.delete(service);
    }
  }

  async #runRound(service: ServiceName): Promise<void> {
    const { reach, nowMs } = this.#options;
    this.#roundAtMs.set(service, nowMs());
    const servers = reach.leastRecentlyChecked(service, CHECKS_A_ROUND);
    await this.#checkAll(servers);
  }

  /** Records failures once all checks have ended; one may yet be answered. */
  async #checkAll(servers: readonly ReachableServer[]): Promise<void> {
    const { reach, nowMs } = this.#options;
    const openedAtMs = nowMs();
    const idle = servers.filter(({ id }) => !this.#checking.has(id));
    const states = await Promise.all(idle.map(async (server) => {
      const wasCutOff = reach.cutOffSinceMs(server.service) !== undefined;
      const state = await this.#ask(server);
      if (state === "answered" && wasCutOff) this.#checkLost(server.service);
      return { server, state };
    }));
    for (const { server, state } of states) {
      if (state !== "answered") reach.recordLoss(server, state, openedAtMs);
    }
  }

  /** A cut may have healed for some servers only. */
  #checkLost(service: ServiceName): void {
    const lost = this.#options.reach.lost(service);
    void this.#checkAll(lost.slice(0, CHECKS_AFTER_HEALING));
  }

  async #check(server: ReachableServer): Promise<LinkState> {
    const { reach, nowMs } = this.#options;
    const openedAtMs = nowMs();
    const state = await this.#ask(server);
    if (state !== "answered") reach.recordLoss(server, state, openedAtMs);
    return state;
  }

  async #ask(server: ReachableServer): Promise<LinkState> {
    const { reach, nowMs, checkAnswering, checked } = this.#options;
    const openedAtMs = nowMs();
    this.#checking.add(server.id);
    try {
      const state = await checkAnswering(server);
      if (state === "answered") reach.recordAnswer(server, openedAtMs);
      checked(server, state);
      return state;
    } finally {
      this.#checking.delete(server.id);
    }
  }
}
