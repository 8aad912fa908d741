/**
 * The groups that this VM holds, and how their buckets started.
 *
 * @module
 */

import {
  type HolderChange,
  type RightsState,
  shareOfLimit,
  splitsInUse,
} from "@endivebend/rights";
import { type HoldingStart, lenderWaitMs } from "@endivebend/limits";
import type { TeamGroup } from "@endivebend/types";
import type { Identity } from "../ports.ts";

/** A limit that is large enough to show any change of a domain's part. */
const PROBE_LIMIT = 1_000_000_000;
const FIRST_REVISION = 1;

interface Holding {
  readonly start: HoldingStart;
  /** Share of a probe limit, to notice when the domain's part grows. */
  readonly probeShare: number;
}

/** Keeps the holdings of one VM in step with the folded state. */
export class Holdings {
  readonly #identity: Identity;
  readonly #leaseMs: number;
  readonly #byGroup = new Map<TeamGroup, Holding>();
  #splitKey = "";

  constructor(identity: Identity, leaseMs: number) {
    this.#identity = identity;
    this.#leaseMs = leaseMs;
  }

  /** How the bucket of a group started; undefined when not held. */
  startOf(group: TeamGroup): HoldingStart | undefined {
    return this.#byGroup.get(group)?.start;
  }

  groups(): TeamGroup[] {
    return [...this.#byGroup.keys()];
  }

  /** Takes the changes of a record, or the whole state when it was replaced. */
  update(
    state: RightsState,
    options: {
      readonly changes: readonly HolderChange[];
      readonly nowMs: number;
    },
  ): void {
    if (options.changes.length === 0) this.#compare(state, options.nowMs);
    for (const change of options.changes) {
      if (change.from === this.#identity.vmId) {
        this.#byGroup.delete(change.group);
      }
      if (change.to !== this.#identity.vmId) continue;
      const start = this.#startOfChange(change, options.nowMs);
      this.#add(state, change.group, start);
    }
    this.#restartGrownShares(state, options.nowMs);
  }

  /** A previous holder may have lent and spent everything until just now. */
  #unknownStart(nowMs: number): HoldingStart {
    const quarantineUntilMs = nowMs + lenderWaitMs(this.#leaseMs);
    return { sinceMs: nowMs, quarantineUntilMs, startsFull: false };
  }

  #startOfChange(change: HolderChange, nowMs: number): HoldingStart {
    const isOwnClaim = change.incarnation === this.#identity.incarnation;
    if (!isOwnClaim || change.freedBy === "vm_ended") {
      return this.#unknownStart(nowMs);
    }
    // Under a later revision another domain may have spent this part before.
    const startsFull = change.freedBy === "never_held" &&
      change.revision === FIRST_REVISION;
    return { sinceMs: nowMs, quarantineUntilMs: nowMs, startsFull };
  }

  #compare(state: RightsState, nowMs: number): void {
    const { vmId, failureDomain } = this.#identity;
    const holders = state.domains.get(failureDomain)?.holders ?? [];
    for (const group of this.#byGroup.keys()) {
      if (holders[group] !== vmId) this.#byGroup.delete(group);
    }
    holders.forEach((holder, index) => {
      const group = index as TeamGroup;
      if (holder !== vmId || this.#byGroup.has(group)) return;
      this.#add(state, group, this.#unknownStart(nowMs));
    });
  }

  #add(state: RightsState, group: TeamGroup, start: HoldingStart): void {
    const probeShare = this.#probe(state, group);
    this.#byGroup.set(group, { start, probeShare });
  }

  #probe(state: RightsState, group: TeamGroup): number {
    const splits = splitsInUse(state, group);
    const domain = this.#identity.failureDomain;
    return shareOfLimit(splits, { domain, limit: PROBE_LIMIT });
  }

  /**
   * A domain that gets a larger part must not find it full: the part was
   * another domain's, which may have spent it a moment ago.
   */
  #restartGrownShares(state: RightsState, nowMs: number): void {
    const key = state.splits.map((split) => split.revision).join(" ");
    const isChanging = state.splits.length > 1 || key !== this.#splitKey;
    this.#splitKey = key;
    if (!isChanging) return;
    for (const [group, holding] of this.#byGroup) {
      const probeShare = this.#probe(state, group);
      const hasGrown = probeShare > holding.probeShare;
      const start = hasGrown
        ? { ...holding.start, sinceMs: nowMs, startsFull: false }
        : holding.start;
      this.#byGroup.set(group, { start, probeShare });
    }
  }
}

/** True when this VM must still confirm the newest split. */
export function mustConfirm(state: RightsState, identity: Identity): boolean {
  const current = state.splits.at(-1);
  const vm = state.vms.get(identity.vmId);
  if (current === undefined || vm === undefined) return false;
  return vm.confirmedRevision < current.revision;
}
