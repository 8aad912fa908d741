/**
 * Owns the membership view: reads the platform's VM list and swaps views with
 * the other daemons.
 *
 * @module
 */

import { Membership } from "@endivebend/membership";
import type { PeerClients, PeerView } from "@endivebend/peers";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ServiceName,
  type VmEntry,
  type VmId,
  type VmList,
} from "@endivebend/types";
import type {
  BackendServerView,
  Clock,
  Identity,
  Logger,
  MembershipView,
  Metrics,
  Scheduler,
} from "../ports.ts";

/** Peers asked in one round at least; the rest follow in the next rounds. */
const MIN_PEERS_PER_ROUND = 16;
/**
 * Every peer is asked at least once in so many rounds, well before it would
 * count as absent. With a fixed number a round, members of a fleet of more
 * than 161 daemons never settled.
 */
const MAX_ROUNDS_PER_PEER = 4;

/** Settings and neighbours of the task. */
export interface MembershipTaskOptions {
  readonly identity: Identity;
  /** This VM as others reach it: its peer listener's address. */
  readonly self: VmEntry;
  readonly seeds: readonly VmEntry[];
  readonly listVms: () => Promise<VmList>;
  readonly listIntervalMs: number;
  readonly exchangeIntervalMs: number;
  readonly peers: PeerClients;
  /** The view that this daemon gives to others. */
  readonly ownView: () => PeerView;
  /** Called with each view that a peer gave. */
  readonly onPeerView: (view: PeerView) => void;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The task that keeps membership up to date. */
export class MembershipTask implements MembershipView {
  readonly #options: MembershipTaskOptions;
  readonly #membership: Membership;
  readonly #listeners = new Set<() => void>();
  #presentVmIds = "";
  #exchangeRound = 0;
  #listPeerIndex = 0;
  #stopped = false;

  constructor(options: MembershipTaskOptions) {
    this.#options = options;
    const { self, seeds } = options;
    this.#membership = new Membership({ self, seeds });
  }

  /** Starts the timers. Resolves after the first list and exchange ended. */
  async start(): Promise<void> {
    await Promise.all([this.#readList(), this.#exchange()]);
    this.#runPeriodically(this.#options.listIntervalMs, () => this.#readList());
    this.#runPeriodically(
      this.#options.exchangeIntervalMs,
      () => this.#exchange(),
    );
  }

  stop(): void {
    this.#stopped = true;
  }

  entryVms(): readonly VmEntry[] {
    return this.#membership.entryVms(this.#nowMs());
  }

  entryVm(vmId: VmId): VmEntry | undefined {
    return this.#membership.entryVm(vmId);
  }

  incarnationOf(vmId: VmId): IncarnationId | undefined {
    return this.#membership.incarnationOf(vmId);
  }

  hasEnded(vmId: VmId, sinceWallMs: number): boolean {
    return this.#membership.hasEnded(vmId, sinceWallMs);
  }

  backendServers(service: ServiceName): readonly BackendServerView[] {
    return this.#membership.backendServers(service, this.#nowMs());
  }

  backendServer(id: BackendServerId): BackendServerView | undefined {
    return this.#membership.backendServer(id, this.#nowMs());
  }

  serversOfRole(role: VmEntry["role"]): readonly BackendServerView[] {
    return this.#membership.serversOfRole(role, this.#nowMs());
  }

  /** Entry VMs that the settings or the list name, this one left out. */
  knownPeers(): readonly VmEntry[] {
    return this.#membership.knownPeers();
  }

  /** Notes what a backend server's answer showed. */
  recordServerAnswer(
    id: BackendServerId,
    answer: Parameters<Membership["recordServerAnswer"]>[1],
  ): void {
    this.#membership.recordServerAnswer(id, answer);
  }

  recordServerFailure(id: BackendServerId): void {
    this.#options.metrics.increment("backend_server.failures", { server: id });
    this.#membership.recordServerFailure(id, this.#nowMs());
  }

  recordServerLeaving(id: BackendServerId): void {
    this.#membership.recordServerLeaving(id);
    this.#notify();
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** How long a VM has not answered; Infinity when it never did. */
  silenceMs(vmId: VmId): number {
    const lastAnswerMs = this.#membership.lastAnswerMs(vmId);
    return lastAnswerMs === undefined ? Infinity : this.#nowMs() - lastAnswerMs;
  }

  /** The VM list in force. */
  list(): VmList | undefined {
    return this.#membership.list;
  }

  /** Takes a VM list; an older one than that in force changes nothing. */
  applyList(list: VmList): void {
    this.#membership.applyList(list);
    this.#notify();
  }

  /** Takes a view that a peer sent or answered with. */
  applyPeerView(view: PeerView): void {
    if (view.vmId === this.#options.identity.vmId) return;
    this.#membership.recordPeer({
      vmId: brandId<VmId>(view.vmId),
      incarnation: brandId<IncarnationId>(view.incarnation),
      failureDomain: brandId<FailureDomainId>(view.failureDomain),
      draining: view.draining,
      address: view.address,
    }, this.#nowMs());
    this.#options.onPeerView(view);
    this.#notifyIfPeersChanged();
  }

  #nowMs(): number {
    return this.#options.clock.elapsedMs();
  }

  async #readList(): Promise<void> {
    try {
      this.applyList(await this.#options.listVms());
    } catch {
      this.#options.metrics.increment("vm_list.failures");
      await this.#readListFromPeer();
    }
  }

  /** A daemon that starts while the platform is away knows no servers. */
  async #readListFromPeer(): Promise<void> {
    const peers = this.entryVms().filter(({ vmId }) =>
      vmId !== this.#options.identity.vmId
    );
    const peer = peers[this.#listPeerIndex++ % Math.max(1, peers.length)];
    if (peer === undefined) return;
    try {
      const newerThanMs = BigInt(this.#membership.list?.asOfMs ?? 0);
      const client = this.#options.peers.at(peer.address);
      const { listJson } = await client.fetchVmList({ newerThanMs });
      if (listJson !== "") this.applyList(JSON.parse(listJson) as VmList);
    } catch {
      this.#options.metrics.increment("vm_list.failures", { from: "peer" });
    }
  }

  async #exchange(): Promise<void> {
    const peers = this.#peersOfRound();
    await Promise.all(peers.map((peer) => this.#exchangeWith(peer)));
    this.#notifyIfPeersChanged();
  }

  #peersOfRound(): readonly VmEntry[] {
    const peers = this.#membership.knownPeers();
    const peersPerRound = Math.ceil(peers.length / MAX_ROUNDS_PER_PEER);
    const count = Math.max(MIN_PEERS_PER_ROUND, peersPerRound);
    if (peers.length <= count) return peers;
    const start = (this.#exchangeRound++ * count) % peers.length;
    return [...peers, ...peers].slice(start, start + count);
  }

  async #exchangeWith(peer: VmEntry): Promise<void> {
    try {
      const client = this.#options.peers.at(peer.address);
      const answer = await client.exchange({ view: this.#options.ownView() });
      if (answer.view !== undefined) this.applyPeerView(answer.view);
    } catch {
      this.#options.metrics.increment("peer.exchange_failures");
    }
  }

  #notifyIfPeersChanged(): void {
    const present = this.entryVms().map((entry) => entry.vmId).join(" ");
    if (present === this.#presentVmIds) return;
    this.#presentVmIds = present;
    this.#options.logger.info({ present }, "The entry VMs that answer changed");
    this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #runPeriodically(intervalMs: number, task: () => Promise<void>): void {
    this.#options.scheduler.after(intervalMs, async () => {
      if (this.#stopped) return;
      await task();
      this.#runPeriodically(intervalMs, task);
    });
  }
}
