/**
 * Simulates a VM: its clock, its copy of the rights and its restarts.
 *
 * @module
 */

import {
  applyRightsRecord,
  createRightsState,
  decodeRightsState,
  encodeGroups,
  encodeRightsState,
  groupOfTeam,
  type RightsState,
} from "@endivebend/rights";
import {
  brandId,
  type FailureDomainId,
  type LogRecord,
  type TeamGroup,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import { type HolderIdentity, Holdings } from "../holdings.ts";
import { planMaintenance } from "../rights_maintenance.ts";
import type { HoldingStart } from "../state.ts";
import type { NetworkNode } from "./network.ts";
import { SimulatedHolder } from "./holder.ts";
import type { World } from "./world.ts";

const READ_INTERVAL_MS = 100;
const MAINTENANCE_INTERVAL_MS = 300;
const GIVE_UP_RETRY_MS = 50;
const PARTS_PER_MILLION = 1_000_000;
/** Probability that a peer answers with a snapshot instead of records. */
const SNAPSHOT_PROBABILITY = 0.3;

/** Parameters of a VM. */
export interface VmOptions {
  readonly name: string;
  readonly domain: string;
  /** Drift of its clock against true time; positive if it runs fast. */
  readonly driftPpm: number;
  readonly clockOffsetMs: number;
}

/** A VM of the simulated fleet; it can be paused, stopped and restarted. */
export class SimulatedVm implements NetworkNode {
  readonly name: string;
  readonly domain: string;
  readonly vmId: VmId;
  readonly #world: World;
  readonly #options: VmOptions;
  incarnation = 0;
  isUp = false;
  #pausedUntilUs = 0;
  #state: RightsState = createRightsState();
  #identity: HolderIdentity;
  #holdings: Holdings;
  holder: SimulatedHolder;
  #hasReadLog = false;
  #hasReadState = false;
  readonly #answeredPeers = new Set<string>();
  #appliedSplitMs = 0;
  #appliedRevision = 0;
  #isAppending = false;
  #isGivingUp = false;
  #hasGivenUp = false;
  #isGiveUpUncertain = false;

  constructor(world: World, options: VmOptions) {
    this.#world = world;
    this.#options = options;
    this.name = options.name;
    this.domain = options.domain;
    this.vmId = brandId<VmId>(options.name);
    this.#identity = this.#newIdentity();
    this.#holdings = new Holdings(this.#identity, world.lending.loanLeaseMs);
    this.holder = new SimulatedHolder(world, this);
  }

  /** Current time of this VM's clock, in whole milliseconds. */
  nowMs(): number {
    const ppm = PARTS_PER_MILLION + this.#options.driftPpm;
    const localUs = this.#world.queue.nowUs * ppm / PARTS_PER_MILLION;
    return Math.floor(localUs / 1000 + this.#options.clockOffsetMs);
  }

  /** Runs a task after a delay on this VM's clock, once it is not paused. */
  afterLocal(delayMs: number, task: () => void): void {
    const ppm = PARTS_PER_MILLION + this.#options.driftPpm;
    const delayUs = delayMs * 1000 * PARTS_PER_MILLION / ppm;
    const { incarnation } = this;
    this.#world.queue.after(delayUs, () => {
      if (this.incarnation === incarnation) this.whenNotPaused(task);
    });
  }

  whenNotPaused(task: () => void): void {
    if (!this.isUp) return;
    const waitUs = this.#pausedUntilUs - this.#world.queue.nowUs;
    if (waitUs <= 0) return task();
    const { incarnation } = this;
    this.#world.queue.after(waitUs, () => {
      if (this.incarnation === incarnation) this.whenNotPaused(task);
    });
  }

  get isPaused(): boolean {
    return this.#pausedUntilUs > this.#world.queue.nowUs;
  }

  pause(durationUs: number): void {
    const untilUs = this.#world.queue.nowUs + durationUs;
    this.#pausedUntilUs = Math.max(this.#pausedUntilUs, untilUs);
  }

  /** Ends the process; its memory is lost. */
  stop(): void {
    this.isUp = false;
    this.incarnation++;
    this.#pausedUntilUs = 0;
  }

  /** Starts a new incarnation with nothing in memory. */
  start(): void {
    this.incarnation++;
    this.isUp = true;
    this.#identity = this.#newIdentity();
    this.#state = createRightsState();
    this.#appliedRevision = 0;
    this.#holdings = new Holdings(
      this.#identity,
      this.#world.lending.loanLeaseMs,
    );
    this.holder = new SimulatedHolder(this.#world, this);
    this.#hasReadLog = false;
    this.#hasReadState = false;
    this.#answeredPeers.clear();
    this.#isAppending = false;
    this.#isGivingUp = false;
    this.#hasGivenUp = false;
    this.#isGiveUpUncertain = false;
    this.#readRepeatedly();
    this.#maintainRepeatedly();
  }

  get state(): RightsState {
    return this.#state;
  }

  get isGivingUp(): boolean {
    return this.#isGivingUp;
  }

  /** Initial state of a group's bucket; undefined if it may not be used. */
  holdingStart(group: TeamGroup): HoldingStart | undefined {
    if (this.#hasGivenUp || !this.#hasCompleteState()) return undefined;
    const start = this.#holdings.startOf(group);
    if (start === undefined || start.sinceMs > this.nowMs()) return undefined;
    return start;
  }

  /**
   * Stops lending, waits until nothing is lent, then transfers all groups to
   * another VM, or releases them without one.
   */
  giveUpGroups(to: VmId | undefined): void {
    if (this.#isGivingUp || !this.isUp) return;
    this.#isGivingUp = true;
    this.holder.setDraining(true);
    this.#giveUpWhenNothingIsLent(to);
  }

  #newIdentity(): HolderIdentity {
    return {
      vmId: this.vmId,
      incarnation: `${this.name}-${this.incarnation}`,
      failureDomain: brandId<FailureDomainId>(this.domain),
    };
  }

  #hasCompleteState(): boolean {
    if (!this.#hasReadState) return false;
    if (this.#hasReadLog) return true;
    return [...this.#world.vms.values()].every((vm) =>
      vm === this || vm.domain !== this.domain || !vm.isUp ||
      this.#answeredPeers.has(vm.name)
    );
  }

  #readRepeatedly(): void {
    this.#read();
    this.afterLocal(READ_INTERVAL_MS, () => this.#readRepeatedly());
  }

  #read(): void {
    const { log, network } = this.#world;
    if (!log.isDown && !network.isIsolated(this.domain)) {
      this.#hasReadLog = true;
      this.#applyUntil(log.records.length);
      this.#hasReadState = true;
      return;
    }
    const peers = [...this.#world.vms.values()].filter((vm) =>
      vm !== this && vm.isUp && !vm.isPaused && network.reaches(this, vm)
    );
    for (const peer of peers) this.#readFromPeer(peer);
  }

  #readFromPeer(peer: SimulatedVm): void {
    if (!peer.#hasReadState) return;
    this.#answeredPeers.add(peer.name);
    if (peer.#state.nextOffset <= this.#state.nextOffset) {
      this.#hasReadState = true;
      return;
    }
    if (this.#world.random.chance(SNAPSHOT_PROBABILITY)) {
      this.#state = decodeRightsState(encodeRightsState(peer.#state));
      this.#onStateChange([]);
    } else this.#applyUntil(peer.#state.nextOffset);
    this.#hasReadState = true;
  }

  #applyUntil(offset: number): void {
    const { records } = this.#world.log;
    const missing = records.slice(this.#state.nextOffset, offset);
    for (const record of missing) this.#apply(record);
  }

  #apply(record: LogRecord): void {
    this.#onStateChange(applyRightsRecord(this.#state, record));
  }

  #onStateChange(changes: Parameters<Holdings["update"]>[1]["changes"]): void {
    const nowMs = this.nowMs();
    const before = this.#appliedRevision;
    const isLive = this.#hasReadState;
    this.#holdings.update(this.#state, { changes, nowMs, isLive });
    this.#appliedRevision = this.#state.splits.at(-1)?.revision ?? 0;
    if (this.#appliedRevision !== before) this.#appliedSplitMs = nowMs;
    const hasNothing = this.#holdings.groups().length === 0;
    if (hasNothing && this.#hasGivenUp) this.#endGivingUp();
    this.holder.applyRightsChange();
  }

  #endGivingUp(): void {
    this.#isGiveUpUncertain = false;
    this.#isGivingUp = false;
    this.#hasGivenUp = false;
    this.holder.setDraining(false);
  }

  #maintainRepeatedly(): void {
    if (!this.#isAppending && !this.#isGivingUp) this.#maintain();
    this.afterLocal(MAINTENANCE_INTERVAL_MS, () => this.#maintainRepeatedly());
  }

  #canAppend(): boolean {
    const { log, network } = this.#world;
    return this.#hasReadLog && !log.isDown && !network.isIsolated(this.domain);
  }

  #maintain(): void {
    if (!this.#canAppend()) return;
    const liveVms = [...this.#world.vms.values()]
      .filter((vm) =>
        vm === this ||
        (vm.isUp && !vm.isPaused && !vm.isGivingUp &&
          this.#world.network.reaches(this, vm))
      )
      .map((vm) => vm.#identity);
    const record = planMaintenance(this.#state, {
      self: this.#identity,
      liveVms,
      isDraining: false,
      proposedDomains: this.#world.domains
        .map((domain) => brandId<FailureDomainId>(domain)),
      hasEnded: (vmId) => this.#world.ended.has(vmId),
      nowWallMs: 1,
      nowMs: this.nowMs(),
      appliedSplitMs: this.#appliedSplitMs,
      loanLeaseMs: this.#world.lending.loanLeaseMs,
      snapshotEveryMs: 3_600_000,
    });
    if (record === undefined) return;
    this.#isAppending = true;
    this.append(record, () => {
      this.#isAppending = false;
    });
  }

  /**
   * Appends a record. `done` is called once this VM is not paused, and never
   * after a restart.
   */
  append(
    record: unknown,
    done: (outcome: "appended" | "not_appended" | "unknown") => void,
  ): void {
    const { incarnation } = this;
    if (this.#world.network.isIsolated(this.domain)) {
      this.afterLocal(GIVE_UP_RETRY_MS, () => done("not_appended"));
      return;
    }
    this.#world.log.append(record, (outcome) => {
      if (this.incarnation !== incarnation) return;
      this.whenNotPaused(() => done(outcome));
    });
  }

  #giveUpWhenNothingIsLent(to: VmId | undefined): void {
    const groups = this.#holdings.groups();
    const quarantineEndMs = Math.max(
      0,
      ...groups.map((group) =>
        this.#holdings.startOf(group)?.quarantineUntilMs ?? 0
      ),
    );
    const isReady = this.nowMs() >= quarantineEndMs &&
      this.holder.hasNothingLent() && this.#hasCompleteState();
    if (!isReady) {
      const retry = () => this.#giveUpWhenNothingIsLent(to);
      this.afterLocal(GIVE_UP_RETRY_MS, retry);
      return;
    }
    this.#hasGivenUp = true;
    this.holder.applyRightsChange();
    this.#appendGiveUp(to);
  }

  #appendGiveUp(to: VmId | undefined): void {
    if (!this.#hasGivenUp) return;
    const vm = this.#state.vms.get(this.vmId);
    const common = {
      groups: encodeGroups(this.#holdings.groups()),
      claimOffset: vm?.lastClaimOffset ?? 0,
    };
    const record = to === undefined
      ? { kind: "released", vmId: this.vmId, ...common }
      : {
        kind: "transferred",
        fromVmId: this.vmId,
        toVmId: to,
        ...common,
      };
    this.append(record, (outcome) => {
      if (outcome === "appended") return;
      // After a lost answer the record may still be appended.
      if (outcome === "unknown") this.#isGiveUpUncertain = true;
      if (!this.#isGiveUpUncertain) return this.#resumeHolding();
      this.afterLocal(GIVE_UP_RETRY_MS, () => this.#appendGiveUp(to));
    });
  }

  #resumeHolding(): void {
    this.#holdings.restart(this.#holdings.groups(), this.nowMs());
    this.#endGivingUp();
  }
}

/** Returns the group of the team with this name. */
export function groupOf(team: string): TeamGroup {
  return groupOfTeam(brandId<TeamId>(team));
}
