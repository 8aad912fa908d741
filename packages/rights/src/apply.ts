/**
 * Applies records of the `rights` stream, with the same result on every VM.
 *
 * @module
 */

import type {
  FailureDomainId,
  LogRecord,
  TeamGroup,
  VmId,
} from "@endivebend/types";
import { decodeGroups } from "./groups.ts";
import {
  parseRightsRecord,
  type RightsRecord,
  type RightsRecordOf,
} from "./records.ts";
import {
  createRightsState,
  currentSplit,
  decodeRightsState,
  type FreedBy,
  groupsOfDomain,
  type HolderVm,
  type RightsState,
} from "./state.ts";
import { dropConfirmedSplits } from "./shares.ts";

/** A change of a group's holder. */
export interface HolderChange {
  readonly domain: FailureDomainId;
  readonly group: TeamGroup;
  readonly from: VmId | undefined;
  readonly to: VmId | undefined;
  /** For a claim, how the group had become free; otherwise undefined. */
  readonly freedBy: FreedBy | undefined;
  /** For a claim, the incarnation of the claiming VM; otherwise undefined. */
  readonly incarnation: string | undefined;
  /** Revision of the set of domains at this record. */
  readonly revision: number;
}

interface RecordPosition {
  readonly offset: number;
  readonly appendedAtMs: number;
}

type Handler<Kind extends RightsRecord["kind"]> = (
  state: RightsState,
  record: RightsRecordOf<Kind>,
  position: RecordPosition,
) => HolderChange[];

function domainOfVm(
  state: RightsState,
  vmId: VmId,
): FailureDomainId | undefined {
  for (const [domain, groups] of state.domains) {
    if (groups.holders.includes(vmId)) return domain;
  }
  return undefined;
}

function recordClaim(
  state: RightsState,
  vmId: VmId,
  options: RecordPosition & { readonly revision: number },
): void {
  const known = state.vms.get(vmId);
  const vm: HolderVm = {
    lastClaimOffset: options.offset,
    lastClaimWallMs: options.appendedAtMs,
    // A VM that already holds groups may still use an older split for them.
    confirmedRevision: known?.confirmedRevision ?? options.revision,
  };
  state.vms.set(vmId, vm);
}

function removeVmWithoutGroups(state: RightsState, vmId: VmId): void {
  if (domainOfVm(state, vmId) === undefined) state.vms.delete(vmId);
}

function applyDomainsSet(
  state: RightsState,
  record: RightsRecordOf<"domains_set">,
): HolderChange[] {
  const revision = currentSplit(state)?.revision ?? 0;
  if (record.amendsRevision !== revision) return [];
  const domains = [...new Set(record.domains)].sort();
  state.splits.push({ revision: revision + 1, domains });
  dropConfirmedSplits(state);
  return [];
}

function applyDomainsConfirmed(
  state: RightsState,
  record: RightsRecordOf<"domains_confirmed">,
): HolderChange[] {
  const vm = state.vms.get(record.vmId);
  const current = currentSplit(state)?.revision ?? 0;
  if (vm === undefined || record.revision > current) return [];
  vm.confirmedRevision = Math.max(vm.confirmedRevision, record.revision);
  dropConfirmedSplits(state);
  return [];
}

function applyClaimed(
  state: RightsState,
  record: RightsRecordOf<"claimed">,
  position: RecordPosition,
): HolderChange[] {
  const split = currentSplit(state);
  // A VM that has not applied the newest split could spend under an older one.
  if (split === undefined || split.revision !== record.revision) return [];
  if (!split.domains.includes(record.failureDomain)) return [];
  const domain = groupsOfDomain(state, record.failureDomain);
  const free = decodeGroups(record.groups)
    .filter((group) => domain.holders[group] === undefined);
  if (free.length === 0) return [];
  recordClaim(state, record.vmId, { ...position, revision: record.revision });
  return free.map((group) => {
    const freedBy = domain.freedBy[group] ?? "vm_ended";
    domain.holders[group] = record.vmId;
    domain.freedBy[group] = "vm_ended";
    return {
      domain: record.failureDomain,
      group,
      from: undefined,
      to: record.vmId,
      freedBy,
      incarnation: record.incarnation,
      revision: record.revision,
    };
  });
}

function clearHolders(
  state: RightsState,
  options: {
    readonly vmId: VmId;
    readonly groups: readonly TeamGroup[];
    readonly freedBy: FreedBy;
  },
): HolderChange[] {
  const domainId = domainOfVm(state, options.vmId);
  if (domainId === undefined) return [];
  const domain = groupsOfDomain(state, domainId);
  const held = options.groups
    .filter((group) => domain.holders[group] === options.vmId);
  for (const group of held) {
    domain.holders[group] = undefined;
    domain.freedBy[group] = options.freedBy;
  }
  removeVmWithoutGroups(state, options.vmId);
  dropConfirmedSplits(state);
  return held.map((group) => ({
    domain: domainId,
    group,
    from: options.vmId,
    to: undefined,
    freedBy: undefined,
    incarnation: undefined,
    revision: currentSplit(state)?.revision ?? 0,
  }));
}

function isNewestClaim(
  state: RightsState,
  vmId: VmId,
  claimOffset: number,
): boolean {
  return state.vms.get(vmId)?.lastClaimOffset === claimOffset;
}

function applyReleased(
  state: RightsState,
  record: RightsRecordOf<"released">,
): HolderChange[] {
  if (!isNewestClaim(state, record.vmId, record.claimOffset)) return [];
  return clearHolders(state, {
    vmId: record.vmId,
    groups: decodeGroups(record.groups),
    freedBy: "released",
  });
}

function applyTransferred(
  state: RightsState,
  record: RightsRecordOf<"transferred">,
  position: RecordPosition,
): HolderChange[] {
  const domainId = domainOfVm(state, record.fromVmId);
  const otherDomain = domainOfVm(state, record.toVmId);
  if (domainId === undefined) return [];
  if (!isNewestClaim(state, record.fromVmId, record.claimOffset)) return [];
  if (otherDomain !== undefined && otherDomain !== domainId) return [];
  const domain = groupsOfDomain(state, domainId);
  const held = decodeGroups(record.groups)
    .filter((group) => domain.holders[group] === record.fromVmId);
  if (held.length === 0) return [];
  const revision = state.vms.get(record.fromVmId)?.confirmedRevision ?? 0;
  recordClaim(state, record.toVmId, { ...position, revision });
  for (const group of held) domain.holders[group] = record.toVmId;
  removeVmWithoutGroups(state, record.fromVmId);
  return held.map((group) => ({
    domain: domainId,
    group,
    from: record.fromVmId,
    to: record.toVmId,
    freedBy: undefined,
    incarnation: undefined,
    revision: currentSplit(state)?.revision ?? 0,
  }));
}

function applyVmEnded(
  state: RightsState,
  record: RightsRecordOf<"vm_ended">,
): HolderChange[] {
  const vm = state.vms.get(record.vmId);
  // Evidence from before the VM's newest claim is void: the VM has returned.
  if (vm === undefined || vm.lastClaimOffset > record.claimedBefore) return [];
  const domainId = domainOfVm(state, record.vmId);
  if (domainId === undefined) return [];
  const groups = groupsOfDomain(state, domainId).holders
    .flatMap((holder, group) => holder === record.vmId ? [group] : []);
  return clearHolders(state, {
    vmId: record.vmId,
    groups: groups as TeamGroup[],
    freedBy: "vm_ended",
  });
}

function applySnapshot(
  state: RightsState,
  record: RightsRecordOf<"snapshot">,
  position: RecordPosition,
): HolderChange[] {
  state.lastSnapshotOffset = record.asOfOffset;
  state.lastSnapshotWallMs = position.appendedAtMs;
  return [];
}

const HANDLERS: { [Kind in RightsRecord["kind"]]: Handler<Kind> } = {
  domains_set: applyDomainsSet,
  domains_confirmed: applyDomainsConfirmed,
  claimed: applyClaimed,
  released: applyReleased,
  transferred: applyTransferred,
  vm_ended: applyVmEnded,
  snapshot: applySnapshot,
};

/**
 * Applies one record and returns the changes of holders. Invalid records,
 * groups that the VM named in the record does not hold, and offsets that were
 * applied already change nothing.
 *
 * @example
 * ```ts
 * const state = createRightsState();
 * for (const record of records) applyRightsRecord(state, record);
 * ```
 */
export function applyRightsRecord(
  state: RightsState,
  record: LogRecord,
): HolderChange[] {
  if (record.offset < state.nextOffset) return [];
  state.nextOffset = record.offset + 1;
  const parsed = parseRightsRecord(record.value);
  if (parsed === undefined) return [];
  const handler = HANDLERS[parsed.kind] as Handler<typeof parsed.kind>;
  return handler(state, parsed, record);
}

/**
 * Rebuilds the state after the log has discarded its oldest records. Returns
 * undefined if no snapshot among the records covers the discarded ones.
 */
export function rebuildFromSnapshot(
  records: readonly LogRecord[],
): RightsState | undefined {
  const first = records[0]?.offset ?? 0;
  for (const record of [...records].reverse()) {
    const parsed = parseRightsRecord(record.value);
    if (parsed?.kind !== "snapshot" || parsed.asOfOffset < first) continue;
    const state = decodeRightsState(parsed.stateJson);
    for (const later of records) applyRightsRecord(state, later);
    return state;
  }
  return first === 0 ? replay(records) : undefined;
}

function replay(records: readonly LogRecord[]): RightsState {
  const state = createRightsState();
  for (const record of records) applyRightsRecord(state, record);
  return state;
}
