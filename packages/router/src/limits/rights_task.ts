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
const MAINTENANCE_INTERVAL_MS = 500;
const APPEND_TIMEOUT_MS = 3000;
/** Time between two batches of groups that are handed over. */
const HANDOVER_INTERVAL_MS = 10_000;
/** Pause after an append that failed. */
const FAILED_APPEND_DELAY_MS = 1000;
/**
 * A state that came from peers only is used for charges after this time: by
 * then the views of all VMs of the domain have arrived, one of which may know
 * that a group has changed hands.
 */
const PEER_STATE_DELAY_MS = 2000;

/**
 * A VM that starts waits this long for the others of its domain before it
 * claims, so that VMs that start together need no handovers.
 */
const CLAIM_DELAY_MS = 2000;
/** A VM of the domain that is silent for so long is taken to be down. */
const PEER_SILENCE_TIMEOUT_MS = 10_000;

/** What the limits task reads of the rights. */
export interface RightsView {
  /** True once the stream, or a peer's copy of it, was read. */
  isReady(): boolean;
  /** How the bucket of a group started; undefined when not held here. */
  holdingStart(group: TeamGroup): HoldingStart | undefined;
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
export interface GroupReleaser {
  /** Stops lending of the groups; resolves when nothing of them is lent. */
  prepareRelease(groups: readonly TeamGroup[]): Promise<void>;
  /** The groups stay here after all. */
  resumeLending(groups: readonly TeamGroup[]): void;
}

const NOOP_GROUP_RELEASER: GroupReleaser = {
  prepareRelease: () => Promise.resolve(),
  resumeLending: () => {},
};

/** The task; make it with {@link createRightsTask}. */
export class RightsTask implements RightsView {
  readonly #options: RightsTaskOptions;
  readonly #holdings: Holdings;
  readonly #listeners = new Set<() => void>();
  /** Groups given up by a record that may not be in the log yet. */
  readonly #givenUpGroups = new Set<TeamGroup>();
  readonly #createdAtMs: number;
  /** Groups whose record may be in the log or still land there. */
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

  /** Starts the upkeep; `stop` ends it. */
  start(): void {
    this.#options.membership.onChange(() => this.#notify());
    void this.#maintain();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Sets what makes groups safe to give up; the limits task does. */
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

  /** Groups held here, for status pages. */
  heldGroups(): readonly TeamGroup[] {
    return this.#holdings.groups();
  }

  /**
   * Gives groups to another VM of the domain, or to any claimer when `to` is
   * undefined. Resolves with the groups whose record is in the log.
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
    // After a lost answer the record may still land: the groups stay unused
    // until the upkeep has released them for certain.
    if (outcome === "unknown") {
      for (const group of held) this.#uncertainGroups.add(group);
    } else this.#resumeHolding(held);
    return [];
  }

  /**
   * Releases all groups for good. Use it only when this VM will not come back
   * under its id; a VM that restarts keeps its groups.
   */
  async releaseAll(): Promise<void> {
    this.#isDraining = true;
    await this.giveUpGroups(this.#holdings.groups());
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
    const accepted = groups.filter((group) => this.holdingStart(group));
    if (accepted.length > 0) void this.giveUpGroups(accepted, to);
    return accepted;
  }

  #resumeHolding(groups: readonly TeamGroup[]): void {
    const kept = groups.filter((group) => !this.#uncertainGroups.has(group));
    // The states of their teams were dropped, so what they held is forgotten.
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
        "The upkeep of the rights failed; it is tried again",
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

/** Makes the task; call `start` when the stream is followed. */
export function createRightsTask(options: RightsTaskOptions): RightsTask {
  return new RightsTask(options);
}
