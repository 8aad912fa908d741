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
import { type ListenState, ReachChecks } from "./reach_checks.ts";
import { type ReachableServer, ServerReach } from "./server_reach.ts";

/** Dependencies of {@link ServerPaths}. */
export interface ServerPathsOptions {
  readonly failureDomain: FailureDomainId;
  readonly scheduler: Scheduler;
  nowMs(): number;
  /** Servers of the service that may get requests. */
  usable(service: ServiceName): readonly ReachableServer[];
  /** Servers of all services. */
  listed(): readonly ReachableServer[];
  checkListening(address: string): Promise<ListenState>;
  /** Other VMs that answer. */
  peers(): readonly ForwarderCandidate[];
  /** Called when this VM has lost its links to all servers of a service. */
  cutOff(service: ServiceName, servers: readonly ReachableServer[]): void;
  /** Called when a server of the service accepts connections again. */
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
    const { nowMs, usable, scheduler, checkListening } = options;
    this.#reach = new ServerReach({
      nowMs,
      usable,
      cutOff: (service) => options.cutOff(service, usable(service)),
      restored: (service) => options.restored(service),
    });
    this.#checks = new ReachChecks({
      reach: this.#reach,
      scheduler,
      nowMs,
      usable,
      listed: () => options.listed(),
      checkListening,
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
    if (!this.#reach.needsForwarder(server)) return undefined;
    const { failureDomain, peers, nowMs } = this.#options;
    const candidates = peers().filter(({ vm, reaches }) =>
      reaches.includes(server.service) && !excluded.has(vm)
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

  /** Records that the server has accepted a new connection. */
  recordConnected(server: ReachableServer): void {
    this.#reach.recordConnected(server);
  }

  /** Records that the server has not accepted a new connection. */
  recordNoConnection(server: ReachableServer): void {
    this.#reach.recordNoConnection(server);
    this.#checks.suspect(server);
  }

  /** Records that the server is silent or has broken off an answer. */
  suspect(server: ReachableServer): void {
    this.#checks.suspect(server);
  }

  /**
   * Whether this VM has lost its links to all servers of the service. It is
   * taken as cut off from the second server that accepts no connection until
   * one accepts one, so that no server is blamed for a cut.
   */
  isCutOff(service: ServiceName): boolean {
    return this.#reach.cutOffSinceMs(service) !== undefined;
  }

  /** Whether this VM should forward requests of its peers to the service. */
  mayForward(service: ServiceName): boolean {
    return !this.isCutOff(service) && !this.#reach.isMostlyLost(service);
  }

  /** Whether another server, of whatever service, accepts a connection. */
  reachesAnother(server: ReachableServer): Promise<boolean> {
    return this.#checks.reachesAnother(server);
  }
}
