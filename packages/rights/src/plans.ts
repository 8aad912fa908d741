/**
 * What a VM should append to the `rights` stream, as plans.
 *
 * @module
 */

import type { FailureDomainId, TeamGroup, VmId } from "@endivebend/types";
import { TEAM_GROUP_COUNT } from "@endivebend/types";
import { hashText, mixBits } from "./groups.ts";
import { currentSplit, type RightsState } from "./state.ts";

/** Groups offered at once, so that few buckets start empty at a time. */
export const HANDOVER_BATCH_GROUPS = 32;

/** A VM and its failure domain. */
export interface VmLocation {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomainId;
}

/** Who plans, and which VMs take new work, the planner included. */
export interface PlanInput {
  readonly self: VmLocation;
  readonly liveVms: readonly VmLocation[];
}

/**
 * The VM with the highest hash for a number: the same choice on every VM with
 * the same view, and few choices change when the view does.
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

/** Groups to hand over, with the VM that should hold them, at most one batch. */
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

/** A VM to declare ended, as the record names it. */
export interface EndedVm {
  readonly vmId: VmId;
  readonly claimedBefore: number;
}

/**
 * The VMs that this VM should declare ended: each is named by one VM, chosen
 * by hash over those that answer.
 */
export function planEndedVms(
  state: RightsState,
  input: PlanInput & {
    readonly hasEnded: (vmId: VmId, sinceWallMs: number) => boolean;
  },
): EndedVm[] {
  return [...state.vms].flatMap(([vmId, vm]) => {
    if (vmId === input.self.vmId) return [];
    // Few VMs have ended, and the choice of the writer costs a hash per VM.
    if (!input.hasEnded(vmId, vm.lastClaimWallMs)) return [];
    const writer = rendezvousOwner(input.liveVms, hashText(vmId));
    if (writer !== input.self.vmId) return [];
    return [{ vmId, claimedBefore: vm.lastClaimOffset }];
  });
}

/** True when this VM should write a snapshot. */
export function shouldWriteSnapshot(
  state: RightsState,
  input: PlanInput & {
    readonly nowWallMs: number;
    /** At most half of the log's retention. */
    readonly everyMs: number;
  },
): boolean {
  if (state.nextOffset === 0 || currentSplit(state) === undefined) return false;
  const age = input.nowWallMs - state.lastSnapshotWallMs;
  if (age < input.everyMs) return false;
  return rendezvousOwner(input.liveVms, state.lastSnapshotOffset) ===
    input.self.vmId;
}
