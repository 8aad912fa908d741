/**
 * Maintains the membership view: reads the platform's VM list and exchanges
 * views with the other daemons.
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

/** Minimum number of peers per exchange round; later rounds take the others. */
const MIN_PEERS_PER_ROUND = 16;
/**
 * Every peer is contacted at least once in this number of rounds, well before
 * it would count as absent. With a fixed number of peers per round, the
 * membership of a fleet of more than 161 daemons never stabilized.
 */
const MAX_ROUNDS_PER_PEER = 4;

/** Dependencies of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  readonly identity: Identity;
  /** This VM's entry, with the address of its peer listener. */
  readonly self: VmEntry;
  readonly seeds: readonly VmEntry[];
  readonly listVms: () => Promise<VmList>;
  readonly listIntervalMs: number;
  readonly exchangeIntervalMs: number;
  readonly peers: PeerClients;
  /** Returns the view that this daemon sends to others. */
  readonly ownView: () => PeerView;
  /** Called with each view that a peer has sent. */
  readonly onPeerView: (view: PeerView) => void;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Keeps the membership up to date. */
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

  /**
   * Reads the list and exchanges views once, then starts the timers. Resolves
   * when this first round has ended, with or without success.
   */
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

  /** Other entry VMs that the settings or the VM list name. */
  knownPeers(): readonly VmEntry[] {
    return this.#membership.knownPeers();
  }

  /** Records the state that a backend server's answer reported. */
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

  /** Milliseconds since a VM last answered; Infinity when it never has. */
  silenceMs(vmId: VmId): number {
    const lastAnswerMs = this.#membership.lastAnswerMs(vmId);
    return lastAnswerMs === undefined ? Infinity : this.#nowMs() - lastAnswerMs;
  }

  /** The VM list in force. */
  list(): VmList | undefined {
    return this.#membership.list;
  }

  /** Applies a VM list; ignores one that is older than the list in force. */
  applyList(list: VmList): void {
    this.#membership.applyList(list);
    this.#notify();
  }

  /** Applies a view from a peer's request or answer. */
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

  /**
   * Reads the VM list from a peer. Without this, a daemon that starts while the
   * platform is unavailable would know no backend servers.
   */
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
    this.#options.logger.info(
      { present },
      "The set of entry VMs that answer has changed",
    );
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
