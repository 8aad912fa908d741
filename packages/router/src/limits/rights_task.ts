/**
 * Manages the team groups that this VM holds: claims, hands over and releases
 * groups, declares VMs as ended, and keeps the stream's snapshot recent.
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
import { steadyNowMs } from "./steady_clock.ts";

/** Interval at which the task checks for records to append. */
const MAINTENANCE_INTERVAL_MS = 500;
const APPEND_TIMEOUT_MS = 3000;
/** Interval between two handovers of groups. */
const HANDOVER_INTERVAL_MS = 10_000;
/** Delay after a failed append. */
const FAILED_APPEND_DELAY_MS = 1000;
/**
 * A state that was read only from peers is used for charges after this delay.
 * By then the views of all VMs of the domain have arrived, and one of them may
 * show that a group has another holder.
 */
const PEER_STATE_DELAY_MS = 2000;

/**
 * A VM that starts waits this long for the other VMs of its domain before it
 * claims groups, so that VMs that start together need no handovers.
 */
const CLAIM_DELAY_MS = 2000;
/** A VM of the domain that has not answered for this time counts as down. */
const PEER_SILENCE_TIMEOUT_MS = 10_000;

/** The rights as the limits task reads them. */
export interface RightsView {
  /** True once the stream, or a peer's copy of it, has been read. */
  isReady(): boolean;
  /**
   * Returns the initial state of the buckets of a group, or undefined when this
   * VM does not hold the group.
   */
  holdingStart(group: TeamGroup): HoldingStart | undefined;
  holder(domain: FailureDomainId, group: TeamGroup): VmId | undefined;
  splits(group: TeamGroup): readonly DomainSplit[];
  version(): number;
  heldGroups(): readonly TeamGroup[];
  onChange(listener: () => void): () => void;
}

/** Dependencies of {@link RightsTask}. */
export interface RightsTaskOptions {
  readonly identity: Identity;
  readonly fold: RightsFold;
  readonly stream: FollowedStream;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Domains to propose when the stream has none; from `fleet.failureDomains`. */
  readonly failureDomains: readonly FailureDomainId[];
  readonly loanLeaseMs: number;
  /**
   * Interval in milliseconds at which snapshots are written; at most half of
   * the log's retention.
   */
  readonly snapshotEveryMs?: number;
}

/** Stops and resumes the lending of groups that are to be given up. */
export interface GroupReleaser {
  /** Stops lending from the groups; resolves when no loan is outstanding. */
  prepareRelease(groups: readonly TeamGroup[]): Promise<void>;
  /** Lets the groups lend again, when the release failed or has ended. */
  resumeLending(groups: readonly TeamGroup[]): void;
}

const NOOP_GROUP_RELEASER: GroupReleaser = {
  prepareRelease: () => Promise.resolve(),
  resumeLending: () => {},
};

/** The rights task; create it with {@link createRightsTask}. */
export class RightsTask implements RightsView {
  readonly #options: RightsTaskOptions;
  readonly #holdings: Holdings;
  readonly #listeners = new Set<() => void>();
  /** Groups given up by a record that may not be in the log yet. */
  readonly #givenUpGroups = new Set<TeamGroup>();
  readonly #createdAtMs: number;
  /** Groups whose record may be in the log or may still be appended. */
  readonly #uncertainGroups = new Set<TeamGroup>();
  #groupReleaser: GroupReleaser = NOOP_GROUP_RELEASER;
  #splitAppliedAtMs = 0;
  #appliedRevision = 0;
  #nextHandoverAtMs: number;
  #isDraining = false;
  #stopped = false;
  #peerStateUsableAtMs: number | undefined;
  #recordCount = 0;

  constructor(options: RightsTaskOptions) {
    this.#options = options;
    this.#holdings = new Holdings(options.identity, options.loanLeaseMs);
    this.#createdAtMs = options.clock.elapsedMs();
    this.#nextHandoverAtMs = this.#createdAtMs;
    options.fold.listen((changes) => {
      const nowMs = steadyNowMs(options.clock);
      const isLive = this.#peerStateUsableAtMs !== undefined;
      this.#holdings.update(options.fold.state, { changes, nowMs, isLive });
      this.#recordAppliedSplit(nowMs);
      this.#clearReleasedGroups();
      this.#notify();
    });
  }

  /** Starts the periodic maintenance; {@link stop} ends it. */
  start(): void {
    this.#options.membership.onChange(() => this.#notify());
    void this.#maintain();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Sets what stops and resumes lending; called by the limits task. */
  setGroupReleaser(releaser: GroupReleaser): void {
    this.#groupReleaser = releaser;
  }

  isReady(): boolean {
    return this.#options.fold.isComplete() &&
      this.#options.stream.isCaughtUp() &&
      currentSplit(this.#options.fold.state) !== undefined;
  }

  holdingStart(group: TeamGroup): HoldingStart | undefined {
    if (!this.#hasCompleteState() || this.#givenUpGroups.has(group)) {
      return undefined;
    }
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

  /** Groups that this VM holds, for status pages. */
  heldGroups(): readonly TeamGroup[] {
    return this.#holdings.groups();
  }

  /**
   * Transfers groups to the VM `to` of the same domain, or releases them for
   * any VM of the domain to claim when `to` is undefined. Resolves with the
   * groups whose record is in the log.
   */
  async giveUpGroups(
    groups: readonly TeamGroup[],
    to?: VmId,
  ): Promise<readonly TeamGroup[]> {
    const held = groups.filter((group) =>
      this.#holdings.startOf(group) !== undefined
    );
    if (held.length === 0) return [];
    await this.#groupReleaser.prepareRelease(held);
    for (const group of held) this.#givenUpGroups.add(group);
    this.#notify();
    const outcome = await this.#append(this.#createGiveUpRecord(held, to));
    if (outcome === "appended") return held;
    // After a lost answer the record may still be appended, so the groups stay
    // unused until the maintenance has appended a release.
    if (outcome === "unknown") {
      for (const group of held) this.#uncertainGroups.add(group);
    } else this.#resumeHolding(held);
    return [];
  }

  /**
   * Releases all groups permanently. Use it only when no daemon will start
   * again under this VM id; a VM that restarts keeps its groups.
   */
  async releaseAll(): Promise<void> {
    this.#isDraining = true;
    await this.giveUpGroups(this.#holdings.groups());
  }

  /**
   * Starts the transfer of the requested groups that this VM holds, if the VM
   * `to` is live and in the same domain. Returns the accepted groups.
   */
  acceptHandover(
    groups: readonly TeamGroup[],
    to: VmId,
  ): readonly TeamGroup[] {
    const isLive = this.#liveVms().some((vm) =>
      vm.vmId === to &&
      vm.failureDomain === this.#options.identity.failureDomain
    );
    if (!isLive || this.#isDraining) return [];
    const accepted = groups.filter((group) => this.holdingStart(group));
    if (accepted.length > 0) void this.giveUpGroups(accepted, to);
    return accepted;
  }

  #resumeHolding(groups: readonly TeamGroup[]): void {
    const kept = groups.filter((group) => !this.#uncertainGroups.has(group));
    // The states of the groups' teams were dropped, and with them what their
    // buckets held, so the holdings restart.
    this.#holdings.restart(kept, steadyNowMs(this.#options.clock));
    for (const group of kept) this.#givenUpGroups.delete(group);
    this.#groupReleaser.resumeLending(kept);
    this.#notify();
  }

  #createGiveUpRecord(
    groups: readonly TeamGroup[],
    to?: VmId,
  ): MaintenanceRecord {
    const { vmId } = this.#options.identity;
    const vm = this.#options.fold.state.vms.get(vmId);
    const commonFields = {
      groups: encodeGroups(groups),
      claimOffset: vm?.lastClaimOffset ?? 0,
    };
    return to === undefined
      ? { kind: "released", vmId, ...commonFields }
      : { kind: "transferred", fromVmId: vmId, toVmId: to, ...commonFields };
  }

  #hasCompleteState(): boolean {
    if (!this.isReady()) return false;
    const nowMs = this.#options.clock.elapsedMs();
    this.#peerStateUsableAtMs ??= nowMs + PEER_STATE_DELAY_MS;
    const elapsedSinceCreationMs = nowMs - this.#createdAtMs;
    const hasPlatformAnswered =
      this.#options.stream.silenceMs() < elapsedSinceCreationMs;
    if (hasPlatformAnswered) return true;
    return nowMs >= this.#peerStateUsableAtMs &&
      this.#haveDomainPeersAnswered(nowMs);
  }

  #haveDomainPeersAnswered(nowMs: number): boolean {
    const { membership, identity } = this.#options;
    if (nowMs - this.#createdAtMs >= PEER_SILENCE_TIMEOUT_MS) return true;
    const known = membership.knownPeers?.() ?? [];
    return known.every((peer) =>
      peer.failureDomain !== identity.failureDomain ||
      membership.incarnationOf(peer.vmId) !== undefined
    );
  }

  #recordAppliedSplit(nowMs: number): void {
    const revision = currentSplit(this.#options.fold.state)?.revision ?? 0;
    if (revision === this.#appliedRevision) return;
    this.#appliedRevision = revision;
    this.#splitAppliedAtMs = nowMs;
  }

  #clearReleasedGroups(): void {
    for (const group of this.#givenUpGroups) {
      if (this.#holdings.startOf(group) !== undefined) continue;
      this.#givenUpGroups.delete(group);
      this.#uncertainGroups.delete(group);
      this.#groupReleaser.resumeLending([group]);
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

  async #maintain(): Promise<void> {
    if (this.#stopped) return;
    let delayMs = MAINTENANCE_INTERVAL_MS;
    try {
      delayMs = await this.#maintainOnce();
    } catch (caught) {
      this.#options.logger.error(
        { cause: String(caught) },
        "Maintenance of the rights failed; trying again at the next interval",
      );
    }
    this.#options.scheduler.after(delayMs, () => void this.#maintain());
  }

  async #maintainOnce(): Promise<number> {
    const { stream, fold } = this.#options;
    if (!fold.isComplete() || !stream.isCaughtUp()) {
      return MAINTENANCE_INTERVAL_MS;
    }
    const record = this.#planRecord();
    if (record === undefined) return await this.#handOverGroups();
    const outcome = await this.#append(record);
    if (outcome !== "appended") return FAILED_APPEND_DELAY_MS;
    // More may be due at once, such as claims after the first domains_set.
    return 0;
  }

  #planRecord(): MaintenanceRecord | undefined {
    if (this.#uncertainGroups.size > 0) {
      return this.#createGiveUpRecord([...this.#uncertainGroups]);
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
      appliedSplitMs: this.#splitAppliedAtMs,
      loanLeaseMs: this.#options.loanLeaseMs,
      snapshotEveryMs: this.#options.snapshotEveryMs,
    });
  }

  #mayClaim(): boolean {
    const { clock, identity, membership } = this.#options;
    if (clock.elapsedMs() - this.#createdAtMs >= CLAIM_DELAY_MS) return true;
    const present = new Set(membership.entryVms().map((vm) => vm.vmId));
    const known = membership.knownPeers?.() ?? [];
    return known.every((peer) =>
      peer.failureDomain !== identity.failureDomain || present.has(peer.vmId)
    );
  }

  async #handOverGroups(): Promise<number> {
    const { clock, fold, identity } = this.#options;
    if (this.#isDraining || clock.elapsedMs() < this.#nextHandoverAtMs) {
      return MAINTENANCE_INTERVAL_MS;
    }
    const input = { self: identity, liveVms: this.#liveVms() };
    const [first] = planHandovers(fold.state, input);
    this.#nextHandoverAtMs = clock.elapsedMs() + HANDOVER_INTERVAL_MS;
    if (first === undefined) return MAINTENANCE_INTERVAL_MS;
    const [to, groups] = first;
    await this.giveUpGroups(groups, to);
    return MAINTENANCE_INTERVAL_MS;
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

/** Creates the task; call `start` once the stream is being followed. */
export function createRightsTask(options: RightsTaskOptions): RightsTask {
  return new RightsTask(options);
}
