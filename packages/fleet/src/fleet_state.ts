/**
 * State of the other daemons as known from their gossip messages. It reads no
 * clock: callers pass the time as `nowMs` on the steady clock.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  IncarnationId,
  TeamId,
  VmId,
} from "@endivebend/types";
import {
  gossipRoundMs,
  type PeerAddresses,
  RELAYED_ROUND_MS,
} from "./gossip_channel.ts";
import type { GossipMessage, RelayedMessage } from "./gossip_message.ts";
import { LimitSharers } from "./limit_sharers.ts";
import {
  planRelays,
  type RelayCandidate,
  type RelayPlan,
} from "./relay_plan.ts";

/** A daemon from which no message came for this long is unreachable. */
const MIN_SILENCE_TIMEOUT_MS = 1_200;
/** The silence timeout of a large fleet, in gossip rounds. */
const SILENCE_TIMEOUT_ROUNDS = 2.5;
/** The same with relays: two datagrams, each of which may be lost. */
const RELAYED_SILENCE_TIMEOUT_ROUNDS = 4;
/** Work from a message older than this has likely ended. */
const MIN_WORK_TTL_MS = 1_000;
/** In a large fleet, work counts until the next message can be expected. */
const WORK_TTL_ROUNDS = 1.5;
/**
 * An unreachable daemon keeps its share of the limits for this long; network
 * partitions at the users' sites last up to 12 s.
 */
const MEMBER_TTL_MS = 30_000;

/**
 * Without a bundle of its failure domain for this long, a daemon sends to all
 * others in turn; 2 bundles may be lost.
 */
const BUNDLE_TIMEOUT_MS = 2_000;
/** A relay that is not heard for this long is replaced by another daemon. */
const RELAY_SILENCE_TIMEOUT_MS = 2_000;
/**
 * Share of the listed daemons that must have been heard once. With a smaller
 * view a daemon might take itself for a relay and hear nobody.
 */
const MIN_HEARD_SHARE = 0.9;
/** How long a plan for relays is used before it is made anew. */
const RELAY_PLAN_TTL_MS = 200;
/**
 * Time after which the shorter rounds of relays are expected. Until then many
 * daemons were last heard in the longer rounds without relays.
 */
const RELAY_WARM_UP_MS = 3_000;

/** What is looked up in the newest message of another daemon. */
export type HeldState = Pick<
  GossipMessage,
  | "incarnation"
  | "failureDomain"
  | "sequence"
  | "reachesStore"
  | "duty"
  | "spent"
  | "work"
  | "records"
  | "readAgesMs"
  | "forwarding"
  | "demandPerS"
  | "rollouts"
>;

/** Another daemon. */
export interface FleetMember {
  readonly vm: VmId;
  readonly address: string;
  /** Its newest state; undefined until a message has arrived. */
  message: HeldState | undefined;
  /** The whole message, which only those of the own failure domain need. */
  readonly toRelay?: GossipMessage | undefined;
  /** When the newest message arrived or, without one, the daemon was listed. */
  heardAtMs: number;
}

/** A team's spending at a peer since the peer's previous message. */
export interface PeerSpending {
  readonly team: TeamId;
  readonly units: number;
}

/** Changes that a message brought. */
export interface AppliedMessage {
  readonly spent: readonly PeerSpending[];
}

/** A failure domain whose messages don't come. */
export interface OverdueDomain {
  readonly failureDomain: FailureDomainId;
  /** The age of what is known of its daemons, the median of them. */
  readonly ageMs: number;
}

/** The state of all other daemons. */
export class FleetState {
  readonly #self: VmId;
  readonly #failureDomain: FailureDomainId;
  readonly #members = new Map<VmId, FleetMember>();
  /**
   * Daemons with work at each backend server; undefined after a change. A
   * placement asks for every server, and few daemons have work at one of them.
   */
  #workersByServer: ReadonlyMap<string, readonly FleetMember[]> | undefined;
  /**
   * Daemons that have ended or fallen silent; a list may still have them. One
   * that has ended is held with its process, whose messages may still come.
   */
  readonly #ended = new Map<VmId, IncarnationId | undefined>();
  /** When relays last brought the messages of each failure domain. */
  readonly #bundleAtMs = new Map<FailureDomainId, number>();
  /** Since when relays carry the messages; infinite while they don't. */
  #relayedSinceMs = Number.POSITIVE_INFINITY;
  #relayedUntilMs = Number.NEGATIVE_INFINITY;
  #hasRelayRounds = false;
  /** Whether what is known of others may still have come through relays. */
  #wasRelayed = false;
  #relayPlan: RelayPlan | undefined;
  #relayPlanUntilMs = Number.NEGATIVE_INFINITY;
  readonly #sharers: LimitSharers;

  /** `limitWindowMs` is the longest window of a limit that the fleet shares. */
  constructor(
    self: VmId,
    failureDomain: FailureDomainId,
    { limitWindowMs }: { readonly limitWindowMs: number },
  ) {
    this.#self = self;
    this.#failureDomain = failureDomain;
    this.#sharers = new LimitSharers(limitWindowMs);
  }

  /** Adds a daemon of the platform's list that was not heard of before. */
  list(vm: VmId, address: string, nowMs: number): void {
    if (vm === this.#self || this.#ended.has(vm)) return;
    const known = this.#members.get(vm);
    if (known !== undefined) return;
    this.#sharers.add(vm, nowMs);
    this.#members.set(vm, {
      vm,
      address,
      message: undefined,
      heardAtMs: nowMs,
    });
  }

  /**
   * Applies a message, which a relay may have received `ageMs` ago. Returns
   * undefined for a message of this daemon itself, of a process that has ended,
   * or one that is not newer than the last one of its sender.
   */
  applyMessage(
    message: GossipMessage,
    nowMs: number,
    ageMs = 0,
  ): AppliedMessage | undefined {
    if (message.vm === this.#self) return undefined;
    const known = this.#members.get(message.vm);
    const previous = known?.message;
    const isSameIncarnation = previous?.incarnation === message.incarnation;
    if (isSameIncarnation && previous.sequence >= message.sequence) {
      return undefined;
    }
    if (this.#ended.get(message.vm) === message.incarnation) return undefined;
    this.#workersByServer = undefined;
    if (message.isLeaving) {
      this.#members.delete(message.vm);
      this.#ended.set(message.vm, message.incarnation);
      this.#sharers.release(message.vm, nowMs);
    } else {
      this.#ended.delete(message.vm);
      this.#sharers.add(message.vm, nowMs);
      const mayRelay = message.failureDomain === this.#failureDomain;
      this.#members.set(message.vm, {
        vm: message.vm,
        address: message.address,
        message: mayRelay ? message : heldStateOf(message),
        toRelay: mayRelay ? message : undefined,
        heardAtMs: nowMs - ageMs,
      });
    }
    return { spent: isSameIncarnation ? spendingSince(previous, message) : [] };
  }

  /** Records that a relay has sent the messages of a failure domain. */
  recordBundle(failureDomain: FailureDomainId, nowMs: number): void {
    this.#bundleAtMs.set(failureDomain, nowMs);
  }

  /**
   * Whom this daemon sends to through relays. Undefined in a small fleet, and
   * while a daemon that is no relay gets no bundles.
   */
  relayPlan(selfAddress: string, nowMs: number): RelayPlan | undefined {
    if (nowMs < this.#relayPlanUntilMs) return this.#relayPlan;
    this.#relayPlanUntilMs = nowMs + RELAY_PLAN_TTL_MS;
    this.#hasRelayRounds = nowMs - this.#relayedSinceMs > RELAY_WARM_UP_MS;
    const plan = planRelays({
      vm: this.#self,
      failureDomain: this.#failureDomain,
      address: selfAddress,
    }, this.#relayCandidates(nowMs));
    const isServed = plan !== undefined && this.#hasHeardMost() &&
      (plan.isRelay || this.#hasBundles(this.#failureDomain, nowMs));
    if (isServed) this.#relayedUntilMs = nowMs;
    this.#wasRelayed = nowMs - this.#relayedUntilMs <= RELAY_WARM_UP_MS;
    this.#relayedSinceMs = isServed
      ? Math.min(this.#relayedSinceMs, nowMs)
      : Number.POSITIVE_INFINITY;
    this.#relayPlan = isServed ? plan : undefined;
    return this.#relayPlan;
  }

  /** Newest messages of the reachable daemons of this failure domain. */
  domainMessages(nowMs: number): RelayedMessage[] {
    return this.reachable(nowMs).flatMap(({ toRelay, heardAtMs }) =>
      toRelay !== undefined
        ? [{ message: toRelay, ageMs: nowMs - heardAtMs }]
        : []
    );
  }

  /**
   * Failure domains of whose daemons this one has heard nothing newer than
   * `limitMs`, by the median: a single announced message is not enough.
   */
  overdueDomains(nowMs: number, limitMs: number): OverdueDomain[] {
    const agesMs = new Map<FailureDomainId, number[]>();
    for (const { message, heardAtMs } of this.#members.values()) {
      if (message === undefined) continue;
      const ages = agesMs.get(message.failureDomain);
      if (ages === undefined) {
        agesMs.set(message.failureDomain, [nowMs - heardAtMs]);
      } else ages.push(nowMs - heardAtMs);
    }
    return [...agesMs].flatMap(([failureDomain, ages]) => {
      const ageMs = ages.sort((a, b) => a - b)[ages.length >> 1]!;
      return ageMs > limitMs ? [{ failureDomain, ageMs }] : [];
    });
  }

  /** Addresses of the daemons of a failure domain that were heard once. */
  addressesOf(failureDomain: FailureDomainId): string[] {
    return this.members().flatMap(({ address, message }) =>
      message?.failureDomain === failureDomain ? [address] : []
    );
  }

  /** All daemons that may be alive, whether or not they are reachable. */
  members(): readonly FleetMember[] {
    return [...this.#members.values()];
  }

  /** Daemons whose newest message is within the silence timeout. */
  reachable(nowMs: number): FleetMember[] {
    const timeoutsMs = this.#silenceTimeoutsMs();
    const reachable: FleetMember[] = [];
    // Called dozens of times a second, so that lists in between would cost.
    for (const member of this.#members.values()) {
      if (member.message === undefined) continue;
      const timeoutMs = this.#isSameDomain(member)
        ? timeoutsMs.sameDomain
        : timeoutsMs.otherDomains;
      if (nowMs - member.heardAtMs < timeoutMs) reachable.push(member);
    }
    return reachable;
  }

  /** Milliseconds in which every daemon has sent to every other one. */
  get gossipRoundMs(): number {
    const { sameDomain, otherDomains } = this.#roundDurations();
    return Math.max(sameDomain, otherDomains);
  }

  /** Addresses of all daemons that may be alive. */
  addresses(): PeerAddresses {
    const sameDomain: string[] = [];
    const otherDomains: string[] = [];
    for (const member of this.#members.values()) {
      (this.#isSameDomain(member) ? sameDomain : otherDomains).push(
        member.address,
      );
    }
    return { sameDomain, otherDomains };
  }

  /** Share of the fleet that is reachable, this daemon included. */
  reachableShare(nowMs: number): number {
    this.#removeSilent(nowMs);
    return (this.reachable(nowMs).length + 1) / (this.#members.size + 1);
  }

  /** Number of daemons in the fleet, this one included. */
  get size(): number {
    return this.#members.size + 1;
  }

  /**
   * Number of daemons among which limits of the whole fleet are shared, this one
   * included. Unlike {@link size} it counts daemons that are silent, and those
   * that have left within the limits' window.
   */
  sharerCount(nowMs: number): number {
    return this.#sharers.others(nowMs).length + 1;
  }

  /** Work of all other daemons at a backend server. */
  workAt(
    server: BackendServerId,
    nowMs: number,
  ): { readonly running: number; readonly prefillTokens: number } {
    let running = 0;
    let prefillTokens = 0;
    const ttlMs = Math.max(
      MIN_WORK_TTL_MS,
      WORK_TTL_ROUNDS * this.gossipRoundMs,
    );
    this.#workersByServer ??= groupByServer(this.#members.values());
    for (const member of this.#workersByServer.get(server) ?? []) {
      const { message, heardAtMs } = member;
      if (nowMs - heardAtMs > ttlMs) continue;
      const work = message?.work[server];
      running += work?.[0] ?? 0;
      prefillTokens += work?.[1] ?? 0;
    }
    return { running, prefillTokens };
  }

  /** False for daemons without a message, whose failure domain is unknown. */
  #isSameDomain({ message }: FleetMember): boolean {
    return message?.failureDomain === this.#failureDomain;
  }

  #roundDurations() {
    if (this.#hasRelayRounds) {
      return { sameDomain: RELAYED_ROUND_MS, otherDomains: RELAYED_ROUND_MS };
    }
    let sameDomain = 0;
    for (const member of this.#members.values()) {
      if (this.#isSameDomain(member)) sameDomain += 1;
    }
    return gossipRoundMs({
      sameDomain,
      otherDomains: this.#members.size - sameDomain,
    });
  }

  /** Time after which a daemon that sent no message is unreachable. */
  #silenceTimeoutsMs() {
    const { sameDomain, otherDomains } = this.#roundDurations();
    const rounds = this.#hasRelayRounds
      ? RELAYED_SILENCE_TIMEOUT_ROUNDS
      : SILENCE_TIMEOUT_ROUNDS;
    const minMs = this.#wasRelayed
      ? RELAYED_SILENCE_TIMEOUT_ROUNDS * RELAYED_ROUND_MS
      : MIN_SILENCE_TIMEOUT_MS;
    return {
      sameDomain: Math.max(minMs, rounds * sameDomain),
      otherDomains: Math.max(minMs, rounds * otherDomains),
    };
  }

  #hasHeardMost(): boolean {
    let heard = 0;
    for (const { message } of this.#members.values()) {
      if (message !== undefined) heard += 1;
    }
    return heard >= MIN_HEARD_SHARE * this.#members.size;
  }

  #hasBundles(failureDomain: FailureDomainId, nowMs: number): boolean {
    const atMs = this.#bundleAtMs.get(failureDomain);
    return atMs !== undefined && nowMs - atMs < BUNDLE_TIMEOUT_MS;
  }

  /**
   * Daemons that may be relays. Bundles of a failure domain show which of its
   * daemons are heard. Without them, as at the start or while the domain is cut
   * off, all that were heard once count: a part of them would name other relays
   * than the domain's own, and no bundles would come.
   */
  #relayCandidates(nowMs: number): RelayCandidate[] {
    const candidates: RelayCandidate[] = [];
    for (const member of this.#members.values()) {
      const { vm, address, message, heardAtMs } = member;
      if (message === undefined) continue;
      const { failureDomain } = message;
      const isSilent = nowMs - heardAtMs > RELAY_SILENCE_TIMEOUT_MS &&
        (this.#isSameDomain(member) || this.#hasBundles(failureDomain, nowMs));
      if (!isSilent) candidates.push({ vm, address, failureDomain });
    }
    return candidates;
  }

  #removeSilent(nowMs: number): void {
    for (const [vm, { heardAtMs }] of this.#members) {
      if (nowMs - heardAtMs <= MEMBER_TTL_MS) continue;
      this.#workersByServer = undefined;
      this.#members.delete(vm);
      this.#ended.set(vm, undefined);
    }
  }
}

/**
 * Leaves out what is applied once. The garbage collector passes over all that is
 * held several times before the next message replaces it.
 */
function heldStateOf(message: GossipMessage): HeldState {
  const { incarnation, failureDomain, sequence, reachesStore } = message;
  const { duty, spent, work, records, readAgesMs } = message;
  const { forwarding, demandPerS, rollouts } = message;
  return {
    incarnation,
    failureDomain,
    sequence,
    reachesStore,
    duty,
    spent,
    work,
    records,
    readAgesMs,
    ...(forwarding === undefined ? {} : { forwarding }),
    ...(demandPerS === undefined ? {} : { demandPerS }),
    ...(rollouts === undefined ? {} : { rollouts }),
  };
}

function groupByServer(
  members: Iterable<FleetMember>,
): Map<string, FleetMember[]> {
  const workers = new Map<string, FleetMember[]>();
  for (const member of members) {
    for (const server in member.message?.work) {
      const known = workers.get(server);
      if (known === undefined) workers.set(server, [member]);
      else known.push(member);
    }
  }
  return workers;
}

function spendingSince(
  previous: HeldState,
  message: GossipMessage,
): PeerSpending[] {
  const changes: PeerSpending[] = [];
  for (const name in message.spent) {
    const team = name as TeamId;
    const units = (message.spent[team] ?? 0) - (previous.spent[team] ?? 0);
    if (units !== 0) changes.push({ team, units });
  }
  return changes;
}
