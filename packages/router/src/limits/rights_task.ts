/**
 * Owns which groups this VM holds: claims, hands over, releases, declares
 * ended VMs, and keeps the stream's snapshot fresh.
 *
 * @module
 */

import {
  currentSplit,
  type DomainSplit,
  encodeGroups,
  holderOf,
  planHandovers,
  splitsInUse,
  type VmLocation,
} from "@endivebend/rights";
import {
  Holdings,
  type HoldingStart,
  type MaintenanceRecord,
  planMaintenance,
} from "@endivebend/limits";
import type { FailureDomainId, TeamGroup, VmId } from "@endivebend/types";
import type {
  Clock,
  FollowedStream,
  Identity,
  Logger,
  MembershipView,
  Metrics,
  Scheduler,
} from "../ports.ts";
import type { RightsFold } from "./rights_fold.ts";
import { steadyNowMs } from "./steady.ts";

/** How often the task looks for records to append. */
const UPKEEP_INTERVAL_MS = 500;
const APPEND_TIMEOUT_MS = 3000;
/** Time between two batches of groups that are handed over. */
const HANDOVER_INTERVAL_MS = 10_000;
/** Pause after an append that failed. */
const FAILURE_PAUSE_MS = 1000;
/**
 * A state that came from peers only is used for charges after this time: by
 * then the views of all VMs of the domain have arrived, one of which may know
 * that a group has changed hands.
 */
const PEER_STATE_SETTLE_MS = 2000;

/**
 * A VM that starts waits this long for the others of its domain before it
 * claims, so that VMs that start together need no handovers.
 */
const CLAIM_SETTLE_MS = 2000;
/** A VM of the domain that is silent for so long is taken to be down. */
const SILENT_PEER_MS = 10_000;

/** What the limits task reads of the rights. */
export interface RightsView {
  /** True once the stream, or a peer's copy of it, was read. */
  isReady(): boolean;
  /** How the bucket of a group started; undefined when not held here. */
  holding(group: TeamGroup): HoldingStart | undefined;
  holder(domain: FailureDomainId, group: TeamGroup): VmId | undefined;
  splits(group: TeamGroup): readonly DomainSplit[];
  version(): number;
  heldGroups(): readonly TeamGroup[];
  onChange(listener: () => void): () => void;
}

/** Settings and neighbours of the task. */
export interface RightsTaskOptions {
  readonly identity: Identity;
  readonly fold: RightsFold;
  readonly stream: FollowedStream;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Domains to propose when the stream has none: `fleet.failureDomains`. */
  readonly failureDomains: readonly FailureDomainId[];
  readonly loanLeaseMs: number;
  /** How often a snapshot is written; at most half of the log's retention. */
  readonly snapshotEveryMs?: number;
}

/** Makes groups safe to give up. */
export interface Releaser {
  /** Stops lending of the groups; resolves when nothing of them is lent. */
  prepare(groups: readonly TeamGroup[]): Promise<void>;
  /** The groups stay here after all. */
  resume(groups: readonly TeamGroup[]): void;
}

const NO_RELEASER: Releaser = {
  prepare: () => Promise.resolve(),
  resume: () => {},
};

/** The task; make it with {@link createRightsTask}. */
export class RightsTask implements RightsView {
  readonly #options: RightsTaskOptions;
  readonly #holdings: Holdings;
  readonly #listeners = new Set<() => void>();
  /** Groups given up by a record that may not be in the log yet. */
  readonly #givenUp = new Set<TeamGroup>();
  readonly #createdMs: number;
  /** Groups whose record may be in the log or still land there. */
  readonly #uncertain = new Set<TeamGroup>();
  #releaser: Releaser = NO_RELEASER;
  #appliedSplitMs = 0;
  #appliedRevision = 0;
  #nextHandoverMs: number;
  #isDraining = false;
  #stopped = false;
  #settledMs: number | undefined;
  #recordCount = 0;

  constructor(options: RightsTaskOptions) {
    this.#options = options;
    this.#holdings = new Holdings(options.identity, options.loanLeaseMs);
    this.#createdMs = options.clock.elapsedMs();
    this.#nextHandoverMs = this.#createdMs;
    options.fold.listen((changes) => {
      const nowMs = steadyNowMs(options.clock);
      const isLive = this.#settledMs !== undefined;
      this.#holdings.update(options.fold.state, { changes, nowMs, isLive });
      this.#noteSplit(nowMs);
      this.#forgetGivenUp();
      this.#notify();
    });
  }

  /** Starts the upkeep; `stop` ends it. */
  start(): void {
    this.#options.membership.onChange(() => this.#notify());
    void this.#upkeep();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Sets what makes groups safe to give up; the limits task does. */
  setReleaser(releaser: Releaser): void {
    this.#releaser = releaser;
  }

  isReady(): boolean {
    return this.#options.fold.isComplete() &&
      this.#options.stream.isCaughtUp() &&
      currentSplit(this.#options.fold.state) !== undefined;
  }

  holding(group: TeamGroup): HoldingStart | undefined {
    if (!this.#isSettled() || this.#givenUp.has(group)) return undefined;
    const start = this.#holdings.startOf(group);
    if (start === undefined) return undefined;
    const isUsable = start.sinceMs <= steadyNowMs(this.#options.clock);
    return isUsable ? start : undefined;
  }

  holder(domain: FailureDomainId, group: TeamGroup): VmId | undefined {
    return holderOf(this.#options.fold.state, { domain, group });
  }

  splits(group: TeamGroup): readonly DomainSplit[] {
    return splitsInUse(this.#options.fold.state, group);
  }

  version(): number {
    return this.#options.fold.version;
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Groups held here, for status pages. */
  heldGroups(): readonly TeamGroup[] {
    return this.#holdings.groups();
  }

  /**
   * Gives groups to another VM of the domain, or to any claimer when `to` is
   * undefined. Resolves with the groups whose record is in the log.
   */
  async giveUp(
    groups: readonly TeamGroup[],
    to?: VmId,
  ): Promise<readonly TeamGroup[]> {
    const held = groups.filter((group) =>
      this.#holdings.startOf(group) !== undefined
    );
    if (held.length === 0) return [];
    await this.#releaser.prepare(held);
    for (const group of held) this.#givenUp.add(group);
    this.#notify();
    const outcome = await this.#append(this.#giveUpRecord(held, to));
    if (outcome === "appended") return held;
    // After a lost answer the record may still land: the groups stay unused
    // until the upkeep has released them for certain.
    if (outcome === "unknown") {
      for (const group of held) this.#uncertain.add(group);
    } else this.#stayHolder(held);
    return [];
  }

  /**
   * Releases all groups for good. Use it only when this VM will not come back
   * under its id; a VM that restarts keeps its groups.
   */
  async releaseAll(): Promise<void> {
    this.#isDraining = true;
    await this.giveUp(this.#holdings.groups());
  }

  /** Hands groups over when this VM holds them and the other takes work. */
  acceptHandover(
    groups: readonly TeamGroup[],
    to: VmId,
  ): readonly TeamGroup[] {
    const isLive = this.#liveVms().some((vm) =>
      vm.vmId === to &&
      vm.failureDomain === this.#options.identity.failureDomain
    );
    if (!isLive || this.#isDraining) return [];
    const accepted = groups.filter((group) => this.holding(group));
    if (accepted.length > 0) void this.giveUp(accepted, to);
    return accepted;
  }

  #stayHolder(groups: readonly TeamGroup[]): void {
    const kept = groups.filter((group) => !this.#uncertain.has(group));
    // The states of their teams were dropped, so what they held is forgotten.
    this.#holdings.restart(kept, steadyNowMs(this.#options.clock));
    for (const group of kept) this.#givenUp.delete(group);
    this.#releaser.resume(kept);
    this.#notify();
  }

  #giveUpRecord(groups: readonly TeamGroup[], to?: VmId): MaintenanceRecord {
    const { vmId } = this.#options.identity;
    const vm = this.#options.fold.state.vms.get(vmId);
    const common = {
      groups: encodeGroups(groups),
      claimOffset: vm?.lastClaimOffset ?? 0,
    };
    return to === undefined
      ? { kind: "released", vmId, ...common }
      : { kind: "transferred", fromVmId: vmId, toVmId: to, ...common };
  }

  #isSettled(): boolean {
    if (!this.isReady()) return false;
    const nowMs = this.#options.clock.elapsedMs();
    this.#settledMs ??= nowMs + PEER_STATE_SETTLE_MS;
    const age = nowMs - this.#createdMs;
    const hasPlatformAnswered = this.#options.stream.silenceMs() < age;
    if (hasPlatformAnswered) return true;
    return nowMs >= this.#settledMs && this.#haveDomainPeersAnswered(nowMs);
  }

  #haveDomainPeersAnswered(nowMs: number): boolean {
    const { membership, identity } = this.#options;
    if (nowMs - this.#createdMs >= SILENT_PEER_MS) return true;
    const known = membership.knownPeers?.() ?? [];
    return known.every((peer) =>
      peer.failureDomain !== identity.failureDomain ||
      membership.incarnationOf(peer.vmId) !== undefined
    );
  }

  #noteSplit(nowMs: number): void {
    const revision = currentSplit(this.#options.fold.state)?.revision ?? 0;
    if (revision === this.#appliedRevision) return;
    this.#appliedRevision = revision;
    this.#appliedSplitMs = nowMs;
  }

  #forgetGivenUp(): void {
    for (const group of this.#givenUp) {
      if (this.#holdings.startOf(group) !== undefined) continue;
      this.#givenUp.delete(group);
      this.#uncertain.delete(group);
      this.#releaser.resume([group]);
    }
  }

  #liveVms(): readonly VmLocation[] {
    const { identity, membership } = this.#options;
    const others = membership.entryVms()
      .filter((vm) => vm.state === "live" && vm.vmId !== identity.vmId);
    return [...others, identity];
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  async #upkeep(): Promise<void> {
    if (this.#stopped) return;
    let pauseMs = UPKEEP_INTERVAL_MS;
    try {
      pauseMs = await this.#upkeepOnce();
    } catch (caught) {
      this.#options.logger.error(
        { cause: String(caught) },
        "The upkeep of the rights failed; it is tried again",
      );
    }
    this.#options.scheduler.after(pauseMs, () => void this.#upkeep());
  }

  async #upkeepOnce(): Promise<number> {
    const { stream, fold } = this.#options;
    if (!fold.isComplete() || !stream.isCaughtUp()) return UPKEEP_INTERVAL_MS;
    const record = this.#planRecord();
    if (record === undefined) return await this.#handOver();
    const outcome = await this.#append(record);
    if (outcome !== "appended") return FAILURE_PAUSE_MS;
    // More may be due at once, such as claims after the first domains_set.
    return 0;
  }

  #planRecord(): MaintenanceRecord | undefined {
    if (this.#uncertain.size > 0) {
      return this.#giveUpRecord([...this.#uncertain]);
    }
    const { identity, membership, clock } = this.#options;
    const liveVms = this.#liveVms();
    return planMaintenance(this.#options.fold.state, {
      self: identity,
      liveVms,
      isDraining: this.#isDraining || !this.#mayClaim(),
      proposedDomains: this.#options.failureDomains,
      hasEnded: (vmId, sinceWallMs) => membership.hasEnded(vmId, sinceWallMs),
      nowWallMs: clock.wallMs(),
      nowMs: steadyNowMs(clock),
      appliedSplitMs: this.#appliedSplitMs,
      loanLeaseMs: this.#options.loanLeaseMs,
      snapshotEveryMs: this.#options.snapshotEveryMs,
    });
  }

  #mayClaim(): boolean {
    const { clock, identity, membership } = this.#options;
    if (clock.elapsedMs() - this.#createdMs >= CLAIM_SETTLE_MS) return true;
    const present = new Set(membership.entryVms().map((vm) => vm.vmId));
    const known = membership.knownPeers?.() ?? [];
    return known.every((peer) =>
      peer.failureDomain !== identity.failureDomain || present.has(peer.vmId)
    );
  }

  async #handOver(): Promise<number> {
    const { clock, fold, identity } = this.#options;
    if (this.#isDraining || clock.elapsedMs() < this.#nextHandoverMs) {
      return UPKEEP_INTERVAL_MS;
    }
    const input = { self: identity, liveVms: this.#liveVms() };
    const [first] = planHandovers(fold.state, input);
    this.#nextHandoverMs = clock.elapsedMs() + HANDOVER_INTERVAL_MS;
    if (first === undefined) return UPKEEP_INTERVAL_MS;
    const [to, groups] = first;
    await this.giveUp(groups, to);
    return UPKEEP_INTERVAL_MS;
  }

  async #append(
    record: MaintenanceRecord,
  ): Promise<"appended" | "not_appended" | "unknown"> {
    const { identity, clock, stream, metrics } = this.#options;
    const recordId = `${identity.incarnation}-rights-${this.#recordCount++}`;
    const deadlineElapsedMs = clock.elapsedMs() + APPEND_TIMEOUT_MS;
    const result = await stream.append(
      { recordId, ...record },
      { deadlineElapsedMs },
    );
    metrics.increment("rights.appends", {
      kind: record.kind,
      result: result.kind,
    });
    if (result.kind !== "appended") return result.kind;
    await stream.whenApplied(result.offset, { deadlineElapsedMs });
    return "appended";
  }
}

/** Makes the task; call `start` when the stream is followed. */
export function createRightsTask(options: RightsTaskOptions): RightsTask {
  return new RightsTask(options);
}
