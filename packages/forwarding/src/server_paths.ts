/**
 * The ways from this VM to servers: its own connections, or another VM that
 * forwards while this one is cut off.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import type { FailureDomainId, ServiceName, VmId } from "@endivebend/types";
import {
  chooseForwarder,
  type Forwarder,
  type ForwarderCandidate,
  Forwarders,
} from "./choose_forwarder.ts";
import { type LinkState, ReachChecks } from "./reach_checks.ts";
import {
  type LinkFailureCounts,
  type ReachableServer,
  ServerReach,
} from "./server_reach.ts";

/** Why a VM takes itself as cut off from a service. */
export interface CutEvidence {
  /** Servers that have failed lately, by how they did. */
  readonly failures: LinkFailureCounts;
  /** Other VMs that say that they reach the service. */
  readonly peersReaching: number;
}

/** Dependencies of {@link ServerPaths}. */
export interface ServerPathsOptions {
  readonly failureDomain: FailureDomainId;
  readonly scheduler: Scheduler;
  nowMs(): number;
  /** Servers of the service that may get requests. */
  usable(service: ServiceName): readonly ReachableServer[];
  /** Servers of all services. */
  listed(): readonly ReachableServer[];
  /** Asks the server for any answer on a new connection. Never rejects. */
  checkAnswering(server: ReachableServer): Promise<LinkState>;
  /** Called with what each such question showed. */
  checked(server: ReachableServer, state: LinkState): void;
  /** Other VMs that answer. */
  peers(): readonly ForwarderCandidate[];
  /** Called when this VM has lost its links to all servers of a service. */
  cutOff(
    service: ServiceName,
    servers: readonly ReachableServer[],
    evidence: CutEvidence,
  ): void;
  /** Called when a server of the service answers again. */
  restored(service: ServiceName): void;
}

/** Finds the way to each server. */
export class ServerPaths {
  readonly #options: ServerPathsOptions;
  readonly #reach: ServerReach;
  readonly #checks: ReachChecks;
  readonly #forwarders = new Forwarders();

  constructor(options: ServerPathsOptions) {
    this.#options = options;
    const { nowMs, usable, scheduler } = options;
    this.#reach = new ServerReach({
      nowMs,
      usable,
      cutOff: (service) => this.#noteCut(service),
      restored: (service) => options.restored(service),
    });
    this.#checks = new ReachChecks({
      reach: this.#reach,
      scheduler,
      nowMs,
      usable,
      listed: () => options.listed(),
      checkAnswering: (server) => options.checkAnswering(server),
      checked: (server, state) => options.checked(server, state),
    });
  }

  start(): void {
    this.#checks.start();
  }

  stop(): void {
    this.#checks.stop();
  }

  /**
   * The VM to send a request through; undefined to connect to the server
   * itself, also where no VM is known that reaches the service.
   *
   * @example
   * ```ts
   * const forwarder = paths.forwarderFor(server.listed, new Set());
   * ```
   */
  forwarderFor(
    server: ReachableServer,
    excluded: ReadonlySet<VmId>,
  ): Forwarder | undefined {
    const { service } = server;
    if (!this.#reach.needsForwarder(server)) return undefined;
    return this.#chooseForwarder(service, excluded);
  }

  /**
   * The same for a request that has not begun anywhere. While it is not known
   * whether this VM is cut off, another one is the safer way.
   *
   * @example
   * ```ts
   * const forwarder = paths.forwarderForNewRequest(server.listed, new Set());
   * ```
   */
  forwarderForNewRequest(
    server: ReachableServer,
    excluded: ReadonlySet<VmId>,
  ): Forwarder | undefined {
    const { service } = server;
    return this.#checks.isInDoubt(service)
      ? this.#chooseForwarder(service, excluded)
      : this.forwarderFor(server, excluded);
  }

  #chooseForwarder(
    service: ServiceName,
    excluded: ReadonlySet<VmId>,
  ): Forwarder | undefined {
    const { failureDomain, nowMs } = this.#options;
    const candidates = this.#peersReaching(service).filter(({ vm }) =>
      !excluded.has(vm)
    );
    const sound = candidates.filter(({ vm }) =>
      !this.#forwarders.isAvoided(vm, nowMs())
    );
    return chooseForwarder(sound.length > 0 ? sound : candidates, {
      failureDomain,
      ownAt: (vm) => this.#forwarders.openAt(vm),
      random: Math.random,
    });
  }

  /** Records that a request goes through the VM; call the result at its end. */
  take({ vm }: Forwarder): () => void {
    return this.#forwarders.take(vm);
  }

  recordForwarderFailure({ vm }: Forwarder): void {
    this.#forwarders.recordFailure(vm, this.#options.nowMs());
  }

  /**
   * Records that a byte of an answer has come from the server on a connection
   * that was opened at the time.
   */
  recordAnswer(server: ReachableServer, openedAtMs: number): void {
    this.#reach.recordAnswer(server, openedAtMs);
  }

  /**
   * Records that the server has not accepted a connection that was opened at the
   * time.
   */
  recordNoConnection(server: ReachableServer, openedAtMs: number): void {
    this.#reach.recordLoss(server, "no_connection", openedAtMs);
    this.#checks.suspect(server);
  }

  /**
   * Records that nothing has come from the server for a request that was sent at
   * the time; the connection may have been lost since.
   */
  noteUnanswered(server: ReachableServer, sentAtMs: number): void {
    this.#checks.noteUnanswered(server, sentAtMs);
  }

  /** Records that the server is silent or has broken off an answer. */
  suspect(server: ReachableServer): void {
    this.#checks.suspect(server);
  }

  /**
   * Whether this VM has lost its links to all servers of the service. It is
   * taken as cut off from the second server that fails until one answers, so
   * that no server is blamed for a cut.
   */
  isCutOff(service: ServiceName): boolean {
    return this.#reach.cutOffSinceMs(service) !== undefined;
  }

  /** Whether this VM should forward requests of its peers to the service. */
  mayForward(service: ServiceName): boolean {
    return !this.isCutOff(service) && !this.#reach.isMostlyLost(service);
  }

  /** Whether another server, of whatever service, answers. */
  reachesAnother(server: ReachableServer): Promise<boolean> {
    return this.#checks.reachesAnother(server);
  }

  #noteCut(service: ServiceName): void {
    const { usable, cutOff } = this.#options;
    cutOff(service, usable(service), {
      failures: this.#reach.failures(service),
      peersReaching: this.#peersReaching(service).length,
    });
    this.#checks.checkOthers(service);
  }

  #peersReaching(service: ServiceName): ForwarderCandidate[] {
    return this.#options.peers().filter(({ reaches }) =>
      reaches.includes(service)
    );
  }
}
