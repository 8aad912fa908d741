/**
 * Tracks the groups that this VM holds and the initial state of their buckets.
 *
 * @module
 */

import {
  type HolderChange,
  type RightsState,
  shareOfLimit,
  splitsInUse,
} from "@endivebend/rights";
import type { FailureDomainId, TeamGroup, VmId } from "@endivebend/types";
import { lenderWaitMs } from "./fixed_point.ts";
import type { HoldingStart } from "./state.ts";

/** A limit large enough to show any change of a domain's share. */
const PROBE_LIMIT = 1_000_000_000;
const FIRST_REVISION = 1;
/**
 * Delay before a group that moved between two running VMs is used. The previous
 * holder may have restarted without the log, with an older copy of the rights;
 * within this time it learns of the change from the VMs of its own domain.
 */
const HOLDER_CHANGE_PAUSE_MS = 2000;

/** Identifies a holder by VM, incarnation and failure domain. */
export interface HolderIdentity {
  readonly vmId: VmId;
  readonly incarnation: string;
  readonly failureDomain: FailureDomainId;
}

interface Holding {
  readonly start: HoldingStart;
  /** Share of `PROBE_LIMIT`, to detect when the domain's share grows. */
  readonly probeShare: number;
}

/** Keeps the groups of one VM up to date with the rights state. */
export class Holdings {
  readonly #identity: HolderIdentity;
  readonly #leaseMs: number;
  readonly #byGroup = new Map<TeamGroup, Holding>();
  #splitKey = "";

  constructor(identity: HolderIdentity, leaseMs: number) {
    this.#identity = identity;
    this.#leaseMs = leaseMs;
  }

  /**
   * The initial state of a group's bucket; undefined if the group is not held.
   * A start in the future means that the group may not be used yet.
   */
  startOf(group: TeamGroup): HoldingStart | undefined {
    return this.#byGroup.get(group)?.start;
  }

  groups(): TeamGroup[] {
    return [...this.#byGroup.keys()];
  }

  /**
   * Starts groups again with empty buckets after giving them up has failed. By
   * then their teams' states are discarded and nothing of theirs is lent.
   */
  restart(groups: Iterable<TeamGroup>, nowMs: number): void {
    const start = {
      sinceMs: nowMs,
      quarantineUntilMs: nowMs,
      startsFull: false,
    };
    for (const group of groups) {
      const holding = this.#byGroup.get(group);
      if (holding !== undefined) {
        this.#byGroup.set(group, { ...holding, start });
      }
    }
  }

  /**
   * Applies the changes of a record; without changes, compares all groups with
   * the state, which may have been replaced.
   */
  update(
    state: RightsState,
    options: {
      readonly changes: readonly HolderChange[];
      readonly nowMs: number;
      /** False while records from before this incarnation are read. */
      readonly isLive: boolean;
    },
  ): void {
    if (options.changes.length === 0) this.#reconcile(state, options.nowMs);
    for (const change of options.changes) {
      if (change.from === this.#identity.vmId) {
        this.#byGroup.delete(change.group);
      }
      if (change.to !== this.#identity.vmId) continue;
      const start = this.#startAfterChange(change, options);
      this.#add(state, change.group, start);
    }
    this.#restartGrownShares(state, options.nowMs);
  }

  /** A previous holder may have lent and spent everything up to `nowMs`. */
  #quarantinedStart(nowMs: number): HoldingStart {
    const quarantineUntilMs = nowMs + lenderWaitMs(this.#leaseMs);
    return { sinceMs: nowMs, quarantineUntilMs, startsFull: false };
  }

  #startAfterChange(
    change: HolderChange,
    options: { readonly nowMs: number; readonly isLive: boolean },
  ): HoldingStart {
    const { nowMs } = options;
    const isTransfer = change.from !== undefined;
    const hasHolderChanged = isTransfer || change.freedBy === "released";
    if (hasHolderChanged && options.isLive) {
      return this.#quarantinedStart(nowMs + HOLDER_CHANGE_PAUSE_MS);
    }
    const isOwnClaim = change.incarnation === this.#identity.incarnation;
    if (!isOwnClaim || change.freedBy !== "never_held") {
      return this.#quarantinedStart(nowMs);
    }
    // Under a later revision another domain may have spent this share already.
    const startsFull = change.revision === FIRST_REVISION;
    return { sinceMs: nowMs, quarantineUntilMs: nowMs, startsFull };
  }

  #reconcile(state: RightsState, nowMs: number): void {
    const { vmId, failureDomain } = this.#identity;
    const holders = state.domains.get(failureDomain)?.holders ?? [];
    for (const group of this.#byGroup.keys()) {
      if (holders[group] !== vmId) this.#byGroup.delete(group);
    }
    holders.forEach((holder, index) => {
      const group = index as TeamGroup;
      if (holder !== vmId || this.#byGroup.has(group)) return;
      this.#add(state, group, this.#quarantinedStart(nowMs));
    });
  }

  #add(state: RightsState, group: TeamGroup, start: HoldingStart): void {
    const probeShare = this.#computeProbeShare(state, group);
    this.#byGroup.set(group, { start, probeShare });
  }

  #computeProbeShare(state: RightsState, group: TeamGroup): number {
    const splits = splitsInUse(state, group);
    const domain = this.#identity.failureDomain;
    return shareOfLimit(splits, { domain, limit: PROBE_LIMIT });
  }

  /**
   * Buckets of a domain whose share has grown must not start full: the added
   * share belonged to another domain, which may have just spent it.
   */
  #restartGrownShares(state: RightsState, nowMs: number): void {
    const key = state.splits.map((split) => split.revision).join(" ");
    const isChanging = state.splits.length > 1 || key !== this.#splitKey;
    this.#splitKey = key;
    if (!isChanging) return;
    for (const [group, holding] of this.#byGroup) {
      const probeShare = this.#computeProbeShare(state, group);
      const hasGrown = probeShare > holding.probeShare;
      const start = hasGrown
        ? {
          ...holding.start,
          sinceMs: Math.max(nowMs, holding.start.sinceMs),
          startsFull: false,
        }
        : holding.start;
      this.#byGroup.set(group, { start, probeShare });
    }
  }
}

/** True when this VM must still confirm the newest split. */
export function mustConfirmSplit(
  state: RightsState,
  identity: HolderIdentity,
): boolean {
  const current = state.splits.at(-1);
  const vm = state.vms.get(identity.vmId);
  if (current === undefined || vm === undefined) return false;
  return vm.confirmedRevision < current.revision;
}
