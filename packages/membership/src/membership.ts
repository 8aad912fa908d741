/**
 * The membership view. Pure: every method takes the time it happens at.
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

/** A peer that did not answer for this long owns no soft state. */
export const PEER_SILENCE_TIMEOUT_MS = 5000;
/** A silent peer that is not listed is forgotten after this time. */
const PEER_RETENTION_MS = 10 * 60_000;
/** Watchers read loads every 250 ms, and views are swapped every 500 ms. */
const SERVER_STALE_AFTER_MS = 3000;
/** How long a failed backend server is left out before it is tried again. */
export const FIRST_SUSPICION_MS = 250;
const MAX_SUSPICION_MS = 4000;
/** How old the platform's list may be, at the most, when it is read. */
const MAX_LIST_AGE_MS = 30_000;

/** Where the view starts from. */
export interface MembershipOptions {
  readonly self: VmEntry;
  /** Entry VMs that the settings name; the list adds more. */
  readonly seeds: readonly VmEntry[];
}

/** What a peer said of itself. */
export interface PeerDescriptor {
  readonly vmId: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
  readonly draining: boolean;
  /** Where the peer listens for other daemons. */
  readonly address: string;
}

/** What a backend server's answer showed. */
export interface ServerObservation {
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion | undefined;
  /** When the server said so, on the clock of the caller of this module. */
  readonly asOfMs: number;
}

/** A backend server as it is seen now. */
export interface ServerView {
  readonly id: BackendServerId;
  readonly entry: VmEntry;
  readonly incarnation: string | undefined;
  readonly weightsVersion: WeightsVersion | undefined;
  readonly takesNewWork: boolean;
  /** It ends soon, by the list's or its own word. */
  readonly isLeaving: boolean;
  /**
   * Nobody has told anything of the server for a while, though it was heard of
   * before: it may lie behind a partition.
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

/** The view of one daemon. */
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

  /** Takes a list; an older one than the last is ignored. */
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

  /** The list in force; undefined before the first. */
  get list(): VmList | undefined {
    return this.#list;
  }

  /** Notes that a peer answered. */
  recordPeer(descriptor: PeerDescriptor, nowMs: number): void {
    this.#peers.set(descriptor.vmId, {
      descriptor: descriptor,
      lastAnswerMs: nowMs,
    });
    this.#evictSilentPeers(nowMs);
  }

  /**
   * Entry VMs known from settings, from the list, or because they called while
   * the list lagged, whether they answer or not.
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

  /** Entry VMs that answer and don't drain, this one included, sorted by id. */
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

  /** When a peer answered last, or undefined. */
  lastAnswerMs(vmId: VmId): number | undefined {
    return this.#peers.get(vmId)?.lastAnswerMs;
  }

  /**
   * Tells whether a VM has ended: it was listed, and a list taken later than
   * `sinceWallMs` plus the list's lag bound no longer has it.
   */
  hasEnded(vmId: VmId, sinceWallMs: number): boolean {
    if (!this.#everListed.has(vmId) || this.#entries.has(vmId)) return false;
    const asOfMs = this.#list?.asOfMs;
    return asOfMs !== undefined && asOfMs > sinceWallMs + MAX_LIST_AGE_MS;
  }

  /** Notes an answer; one older than what is known changes nothing. */
  recordServerAnswer(id: BackendServerId, answer: ServerObservation): void {
    const state = this.#server(id);
    if (answer.asOfMs < state.asOfMs) return;
    state.asOfMs = answer.asOfMs;
    state.incarnation = answer.incarnation;
    state.weightsVersion = answer.weightsVersion ?? state.weightsVersion;
    state.suspicionMs = FIRST_SUSPICION_MS;
    state.suspectUntilMs = 0;
  }

  /** Notes a failed connection or attempt; the server is left out for a while. */
  recordServerFailure(id: BackendServerId, nowMs: number): void {
    const state = this.#server(id);
    if (state.suspectUntilMs > nowMs) return;
    state.suspectUntilMs = nowMs + state.suspicionMs;
    state.suspicionMs = Math.min(state.suspicionMs * 2, MAX_SUSPICION_MS);
  }

  /** Notes that a server said that it is leaving, ahead of the list. */
  recordServerLeaving(id: BackendServerId): void {
    this.#server(id).isLeaving = true;
  }

  backendServer(id: BackendServerId, nowMs: number): ServerView | undefined {
    const entry = this.#entries.get(id as unknown as VmId);
    if (entry === undefined || entry.role === "entry") return undefined;
    return this.#view(entry, nowMs);
  }

  /** Servers of a service, in the list's order. */
  backendServers(service: ServiceName, nowMs: number): readonly ServerView[] {
    const views: ServerView[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.service !== service || entry.role === "entry") continue;
      views.push(this.#view(entry, nowMs));
    }
    return views;
  }

  /** All listed servers of a role. */
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

  /** VMs get new ids when they are replaced, so silent ones would pile up. */
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
