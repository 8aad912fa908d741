/**
 * State derived from the records of the `rights` stream.
 *
 * @module
 */

import {
  type FailureDomainId,
  TEAM_GROUP_COUNT,
  type TeamGroup,
  type VmId,
} from "@endivebend/types";
import { decodeGroups, encodeGroups } from "./groups.ts";

/** A set of failure domains that share every limit equally. */
export interface DomainSplit {
  readonly revision: number;
  readonly domains: readonly FailureDomainId[];
}

/** Records about a VM that holds groups. */
export interface HolderVm {
  /** Offset of its newest claim or of the newest transfer to it. */
  lastClaimOffset: number;
  /** Wall-clock time in milliseconds at which the log appended that record. */
  lastClaimWallMs: number;
  /** Oldest revision of the set of domains that this VM may still use. */
  confirmedRevision: number;
}

/** How a group lost its holder; decides how the next holder's bucket starts. */
export type FreedBy = "never_held" | "released" | "vm_ended";

/** The groups of one failure domain, indexed by group. */
export interface DomainGroups {
  readonly holders: (VmId | undefined)[];
  readonly freedBy: FreedBy[];
}

/** State after applying the records below `nextOffset`. */
export interface RightsState {
  /** Offset of the next record to apply. */
  nextOffset: number;
  /** Splits from the oldest that a holder may still use to the current one. */
  splits: DomainSplit[];
  readonly domains: Map<FailureDomainId, DomainGroups>;
  readonly vms: Map<VmId, HolderVm>;
  lastSnapshotOffset: number;
  lastSnapshotWallMs: number;
}

/** Creates the state before any record. */
export function createRightsState(): RightsState {
  return {
    nextOffset: 0,
    splits: [],
    domains: new Map(),
    vms: new Map(),
    lastSnapshotOffset: 0,
    lastSnapshotWallMs: 0,
  };
}

/** The newest split; undefined before the first `domains_set`. */
export function currentSplit(state: RightsState): DomainSplit | undefined {
  return state.splits.at(-1);
}

/** The groups of a domain; adds an entry for a domain without one. */
export function groupsOfDomain(
  state: RightsState,
  domain: FailureDomainId,
): DomainGroups {
  const known = state.domains.get(domain);
  if (known !== undefined) return known;
  const created: DomainGroups = {
    holders: new Array(TEAM_GROUP_COUNT).fill(undefined),
    freedBy: new Array(TEAM_GROUP_COUNT).fill("never_held"),
  };
  state.domains.set(domain, created);
  return created;
}

/**
 * The VM that holds a group in a domain; undefined if the group is free.
 *
 * @example
 * ```ts
 * holderOf(state, { domain, group: groupOfTeam(team) });
 * ```
 */
export function holderOf(
  state: RightsState,
  place: { readonly domain: FailureDomainId; readonly group: TeamGroup },
): VmId | undefined {
  return state.domains.get(place.domain)?.holders[place.group];
}

function encodeDomain(domain: DomainGroups): unknown {
  const byVm = new Map<VmId, number[]>();
  domain.holders.forEach((vmId, group) => {
    if (vmId === undefined) return;
    const groups = byVm.get(vmId) ?? [];
    groups.push(group);
    byVm.set(vmId, groups);
  });
  const freed = (by: FreedBy) =>
    encodeGroups(
      domain.freedBy.flatMap((value, group) => value === by ? [group] : []),
    );
  return {
    holders: [...byVm].map(([vmId, groups]) => [vmId, encodeGroups(groups)]),
    neverHeld: freed("never_held"),
    released: freed("released"),
  };
}

/** Encodes a state as JSON that is small enough for one record. */
export function encodeRightsState(state: RightsState): string {
  return JSON.stringify({
    nextOffset: state.nextOffset,
    splits: state.splits,
    domains: [...state.domains].map(([id, domain]) => [
      id,
      encodeDomain(domain),
    ]),
    vms: [...state.vms],
  });
}

interface EncodedDomain {
  readonly holders: readonly (readonly [VmId, string])[];
  readonly neverHeld: string;
  readonly released: string;
}

function decodeDomain(encoded: EncodedDomain): DomainGroups {
  const holders = new Array<VmId | undefined>(TEAM_GROUP_COUNT).fill(undefined);
  const freedBy = new Array<FreedBy>(TEAM_GROUP_COUNT).fill("vm_ended");
  for (const [vmId, groups] of encoded.holders) {
    for (const group of decodeGroups(groups)) holders[group] = vmId;
  }
  for (const group of decodeGroups(encoded.neverHeld)) {
    freedBy[group] = "never_held";
  }
  for (const group of decodeGroups(encoded.released)) {
    freedBy[group] = "released";
  }
  return { holders, freedBy };
}

/** Decodes the output of {@link encodeRightsState}; throws on other text. */
export function decodeRightsState(json: string): RightsState {
  const value = JSON.parse(json) as {
    readonly nextOffset: number;
    readonly splits: DomainSplit[];
    readonly domains: readonly (readonly [FailureDomainId, EncodedDomain])[];
    readonly vms: readonly (readonly [VmId, HolderVm])[];
  };
  return {
    nextOffset: value.nextOffset,
    splits: [...value.splits],
    domains: new Map(
      value.domains.map(([id, domain]) => [id, decodeDomain(domain)]),
    ),
    vms: new Map(value.vms.map(([vmId, vm]) => [vmId, { ...vm }])),
    lastSnapshotOffset: value.nextOffset,
    lastSnapshotWallMs: 0,
  };
}
