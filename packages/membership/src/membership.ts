/**
 * The membership view of one daemon. It does no I/O and reads no clock: methods
 * that depend on the time take it as a parameter, in milliseconds.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  IncarnationId,
  ServiceName,
  VmEntry,
  VmId,
  VmList,
  WeightsVersion,
} from "@endivebend/types";

/** A peer that has not answered for this long is owner of no soft state. */
export const PEER_SILENCE_TIMEOUT_MS = 5000;
/** A silent peer that is not listed is removed after this time. */
const PEER_RETENTION_MS = 10 * 60_000;
/**
 * Daemons that watch a server read its load every 250 ms, and daemons exchange
 * their views every 500 ms.
 */
const SERVER_STALE_AFTER_MS = 3000;
/**
 * How long a backend server gets no new work after a first failure. The time
 * doubles with each further failure.
 */
export const FIRST_SUSPICION_MS = 250;
/** Upper bound of the doubled time. */
const MAX_SUSPICION_MS = 4000;
/** Largest age of the platform's VM list when it is read. */
const MAX_LIST_AGE_MS = 30_000;

/** What the view contains at the start. */
export interface MembershipOptions {
  readonly self: VmEntry;
  /** Entry VMs named in the settings; the VM list adds more. */
  readonly seeds: readonly VmEntry[];
}

/** What a peer states about itself. */
export interface PeerDescriptor {
  readonly vmId: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
  readonly draining: boolean;
  /** IP and port where the peer listens for other daemons. */
  readonly address: string;
}

/** What an answer of a backend server states about the server. */
export interface ServerObservation {
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion | undefined;
  /** Time of the answer, on the clock that this module's caller uses. */
  readonly asOfMs: number;
}

/** State of a backend server at the time of the query. */
export interface ServerView {
  readonly id: BackendServerId;
  readonly entry: VmEntry;
  readonly incarnation: string | undefined;
  readonly weightsVersion: WeightsVersion | undefined;
  readonly takesNewWork: boolean;
  /** The VM list or the server itself states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * No answer of the server has been recorded for a while, though there were
   * some before. It may be behind a network partition.
   */
  readonly isStale: boolean;
}

interface PeerState {
  descriptor: PeerDescriptor;
  lastAnswerMs: number;
}

interface ServerState {
  incarnation: string | undefined;
  weightsVersion: WeightsVersion | undefined;
  asOfMs: number;
  isLeaving: boolean;
  suspectUntilMs: number;
  suspicionMs: number;
}

/** The peers and backend servers that one daemon knows, and their state. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #peers = new Map<VmId, PeerState>();
  readonly #servers = new Map<BackendServerId, ServerState>();
  #entries = new Map<VmId, VmEntry>();
  #list: VmList | undefined;
  readonly #everListed = new Set<VmId>();

  constructor(options: MembershipOptions) {
    this.#options = options;
    for (const seed of options.seeds) this.#entries.set(seed.vmId, seed);
  }

  /** Applies a VM list; one that is older than the last is ignored. */
  applyList(list: VmList): void {
    if (this.#list !== undefined && list.asOfMs < this.#list.asOfMs) return;
    this.#list = list;
    const entries = new Map<VmId, VmEntry>();
    for (const seed of this.#options.seeds) entries.set(seed.vmId, seed);
    for (const entry of list.vms) {
      entries.set(entry.vmId, entry);
      this.#everListed.add(entry.vmId);
    }
    this.#entries = entries;
  }

  /** The list applied last; undefined before the first. */
  get list(): VmList | undefined {
    return this.#list;
  }

  /** Records that a peer answered at `nowMs`. */
  recordPeer(descriptor: PeerDescriptor, nowMs: number): void {
    this.#peers.set(descriptor.vmId, {
      descriptor: descriptor,
      lastAnswerMs: nowMs,
    });
    this.#evictSilentPeers(nowMs);
  }

  /**
   * Entry VMs other than this one, whether they answer or not. They are known
   * from the settings, from the VM list, or because they called before the list
   * had them.
   */
  knownPeers(): readonly VmEntry[] {
    const known = new Map<VmId, VmEntry>();
    for (const { descriptor: descriptor } of this.#peers.values()) {
      known.set(descriptor.vmId, entryOfPeer(descriptor));
    }
    for (const entry of this.#entries.values()) {
      if (entry.role === "entry") known.set(entry.vmId, entry);
    }
    known.delete(this.#options.self.vmId);
    return [...known.values()];
  }

  /** Entry VMs that answer and aren't draining, with this one, sorted by id. */
  entryVms(nowMs: number): readonly VmEntry[] {
    const present = this.knownPeers().filter((entry) =>
      this.#isPeerPresent(entry.vmId, nowMs)
    );
    return [this.#options.self, ...present].sort(byVmId);
  }

  entryVm(vmId: VmId): VmEntry | undefined {
    if (vmId === this.#options.self.vmId) return this.#options.self;
    const entry = this.#entries.get(vmId);
    if (entry?.role === "entry") return entry;
    const peer = this.#peers.get(vmId);
    return peer === undefined ? undefined : entryOfPeer(peer.descriptor);
  }

  incarnationOf(vmId: VmId): IncarnationId | undefined {
    return this.#peers.get(vmId)?.descriptor.incarnation;
  }

  /** Time of a peer's last answer; undefined when it never answered. */
  lastAnswerMs(vmId: VmId): number | undefined {
    return this.#peers.get(vmId)?.lastAnswerMs;
  }

  /**
   * Returns whether a VM has ended: it was listed before, and a list as of
   * later than `sinceWallMs` plus the largest age of a list no longer has it.
   */
  hasEnded(vmId: VmId, sinceWallMs: number): boolean {
    if (!this.#everListed.has(vmId) || this.#entries.has(vmId)) return false;
    const asOfMs = this.#list?.asOfMs;
    return asOfMs !== undefined && asOfMs > sinceWallMs + MAX_LIST_AGE_MS;
  }

  /** Records an answer; one that is older than the last is ignored. */
  recordServerAnswer(id: BackendServerId, answer: ServerObservation): void {
    const state = this.#server(id);
    if (answer.asOfMs < state.asOfMs) return;
    state.asOfMs = answer.asOfMs;
    state.incarnation = answer.incarnation;
    state.weightsVersion = answer.weightsVersion ?? state.weightsVersion;
    state.suspicionMs = FIRST_SUSPICION_MS;
    state.suspectUntilMs = 0;
  }

  /**
   * Records a failed connection or attempt. The server gets no new work for a
   * while.
   */
  recordServerFailure(id: BackendServerId, nowMs: number): void {
    const state = this.#server(id);
    if (state.suspectUntilMs > nowMs) return;
    state.suspectUntilMs = nowMs + state.suspicionMs;
    state.suspicionMs = Math.min(state.suspicionMs * 2, MAX_SUSPICION_MS);
  }

  /** Records that a server announced that it is leaving, ahead of the list. */
  recordServerLeaving(id: BackendServerId): void {
    this.#server(id).isLeaving = true;
  }

  backendServer(id: BackendServerId, nowMs: number): ServerView | undefined {
    const entry = this.#entries.get(id as unknown as VmId);
    if (entry === undefined || entry.role === "entry") return undefined;
    return this.#view(entry, nowMs);
  }

  /** Backend servers of a service, in the order of the VM list. */
  backendServers(service: ServiceName, nowMs: number): readonly ServerView[] {
    const views: ServerView[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.service !== service || entry.role === "entry") continue;
      views.push(this.#view(entry, nowMs));
    }
    return views;
  }

  /** All listed VMs of a role. */
  serversOfRole(role: VmEntry["role"], nowMs: number): readonly ServerView[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.role === role)
      .map((entry) => this.#view(entry, nowMs));
  }

  #view(entry: VmEntry, nowMs: number): ServerView {
    const id = entry.vmId as unknown as BackendServerId;
    const state = this.#servers.get(id);
    const isSuspect = state !== undefined && state.suspectUntilMs > nowMs;
    const isLeaving = entry.state === "leaving" || state?.isLeaving === true;
    return {
      id,
      entry,
      incarnation: state?.incarnation,
      weightsVersion: state?.weightsVersion,
      takesNewWork: !isLeaving && !isSuspect,
      isLeaving,
      isStale: state !== undefined && state.asOfMs > -Infinity &&
        nowMs - state.asOfMs > SERVER_STALE_AFTER_MS,
    };
  }

  #server(id: BackendServerId): ServerState {
    const known = this.#servers.get(id);
    if (known !== undefined) return known;
    const state: ServerState = {
      incarnation: undefined,
      weightsVersion: undefined,
      asOfMs: -Infinity,
      isLeaving: false,
      suspectUntilMs: 0,
      suspicionMs: FIRST_SUSPICION_MS,
    };
    this.#servers.set(id, state);
    return state;
  }

  /**
   * Removes peers that are silent and not listed. VMs get new ids when they are
   * replaced, so the map would grow without bound.
   */
  #evictSilentPeers(nowMs: number): void {
    for (const [vmId, peer] of this.#peers) {
      const isSilent = nowMs - peer.lastAnswerMs > PEER_RETENTION_MS;
      if (isSilent && !this.#entries.has(vmId)) this.#peers.delete(vmId);
    }
  }

  #isPeerPresent(vmId: VmId, nowMs: number): boolean {
    const peer = this.#peers.get(vmId);
    if (peer === undefined || peer.descriptor.draining) return false;
    return nowMs - peer.lastAnswerMs < PEER_SILENCE_TIMEOUT_MS;
  }
}

function entryOfPeer(descriptor: PeerDescriptor): VmEntry {
  const { vmId, failureDomain, address } = descriptor;
  return { vmId, role: "entry", state: "live", address, failureDomain };
}

function byVmId(left: VmEntry, right: VmEntry): number {
  return left.vmId < right.vmId ? -1 : 1;
}
