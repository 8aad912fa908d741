/**
 * Plans what a VM should append to the `rights` stream.
 *
 * @module
 */

import type { FailureDomainId, TeamGroup, VmId } from "@endivebend/types";
import { TEAM_GROUP_COUNT } from "@endivebend/types";
import { hashText, mixBits } from "./groups.ts";
import { currentSplit, type RightsState } from "./state.ts";

/** Groups handed over at once, so that few buckets start empty at a time. */
export const HANDOVER_BATCH_GROUPS = 32;

/** A VM and its failure domain. */
export interface VmLocation {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomainId;
}

/** The VM that plans, and all VMs that accept new work, including itself. */
export interface PlanInput {
  readonly self: VmLocation;
  readonly liveVms: readonly VmLocation[];
}

/**
 * The owner of a key by rendezvous hashing: the VM with the highest hash. VMs
 * with the same list choose the same owner, and few owners change when the list
 * changes.
 */
export function rendezvousOwner(
  vms: readonly VmLocation[],
  key: number,
): VmId | undefined {
  let owner: VmId | undefined;
  let highest = -1;
  for (const { vmId } of vms) {
    const weight = mixBits(hashText(vmId) ^ mixBits(key));
    if (weight > highest) [owner, highest] = [vmId, weight];
  }
  return owner;
}

function ownersByGroup(input: PlanInput): (VmId | undefined)[] {
  const vms = input.liveVms
    .filter((vm) => vm.failureDomain === input.self.failureDomain)
    .toSorted((a, b) => a.vmId < b.vmId ? -1 : 1);
  const hashes = vms.map((vm) => hashText(vm.vmId));
  return Array.from({ length: TEAM_GROUP_COUNT }, (_, group) => {
    const groupHash = mixBits(group);
    let highest = -1;
    let owner: VmId | undefined;
    for (let index = 0; index < vms.length; index++) {
      const weight = mixBits((hashes[index] ?? 0) ^ groupHash);
      if (weight > highest) [owner, highest] = [vms[index]?.vmId, weight];
    }
    return owner;
  });
}

/**
 * The free groups of its own domain that a VM should claim.
 *
 * @example
 * ```ts
 * const groups = planClaims(state, { self, liveVms });
 * ```
 */
export function planClaims(
  state: RightsState,
  input: PlanInput,
): TeamGroup[] {
  const split = currentSplit(state);
  if (split === undefined) return [];
  if (!split.domains.includes(input.self.failureDomain)) return [];
  const holders = state.domains.get(input.self.failureDomain)?.holders;
  const owners = ownersByGroup(input);
  return owners.flatMap((owner, group) =>
    owner === input.self.vmId && holders?.[group] === undefined
      ? [group as TeamGroup]
      : []
  );
}

/** Groups to hand over, by the VM that should hold them; at most one batch. */
export function planHandovers(
  state: RightsState,
  input: PlanInput,
): ReadonlyMap<VmId, TeamGroup[]> {
  const plan = new Map<VmId, TeamGroup[]>();
  const holders = state.domains.get(input.self.failureDomain)?.holders ?? [];
  const owners = ownersByGroup(input);
  let planned = 0;
  for (let group = 0; group < holders.length; group++) {
    const owner = owners[group];
    if (holders[group] !== input.self.vmId) continue;
    if (owner === undefined || owner === input.self.vmId) continue;
    if (planned === HANDOVER_BATCH_GROUPS) break;
    const groups = plan.get(owner) ?? [];
    groups.push(group as TeamGroup);
    plan.set(owner, groups);
    planned++;
  }
  return plan;
}

/** A VM to declare ended, with the fields of the `vm_ended` record. */
export interface EndedVm {
  readonly vmId: VmId;
  readonly claimedBefore: number;
}

/**
 * The VMs that this VM should declare ended. For each ended VM one writer is
 * chosen by rendezvous hashing among the live VMs.
 */
export function planEndedVms(
  state: RightsState,
  input: PlanInput & {
    readonly hasEnded: (vmId: VmId, sinceWallMs: number) => boolean;
  },
): EndedVm[] {
  return [...state.vms].flatMap(([vmId, vm]) => {
    if (vmId === input.self.vmId) return [];
    // Checked first: few VMs have ended, and choosing the writer costs one
    // hash for each live VM.
    if (!input.hasEnded(vmId, vm.lastClaimWallMs)) return [];
    const writer = rendezvousOwner(input.liveVms, hashText(vmId));
    if (writer !== input.self.vmId) return [];
    return [{ vmId, claimedBefore: vm.lastClaimOffset }];
  });
}

/** True if this VM should write a snapshot. */
export function shouldWriteSnapshot(
  state: RightsState,
  input: PlanInput & {
    readonly nowWallMs: number;
    /** Interval between snapshots; at most half of the log's retention. */
    readonly everyMs: number;
  },
): boolean {
  if (state.nextOffset === 0 || currentSplit(state) === undefined) return false;
  const age = input.nowWallMs - state.lastSnapshotWallMs;
  if (age < input.everyMs) return false;
  return rendezvousOwner(input.liveVms, state.lastSnapshotOffset) ===
    input.self.vmId;
}
