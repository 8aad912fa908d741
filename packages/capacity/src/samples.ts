/**
 * Ids, blocks and VM lists of realistic length for the measurements.
 *
 * @module
 */

import {
  type BackendServerId,
  type BlockHash,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ServiceName,
  type TeamId,
  type VmEntry,
  type VmId,
  type WeightsVersion,
} from "@endivebend/types";

export const DOMAINS = 13;
export const ENTRY_VMS = 410;
export const MODELS = 9;

/** Multiplier of a permutation of 32 bits: well spread and repeatable. */
const SPREAD = 2_654_435_761;

/** Spreads an index over 32 bits; the same index gives the same number. */
export function spread(index: number): number {
  return Math.imul(index + 1, SPREAD) >>> 0;
}

function hex(value: number, digits: number): string {
  return value.toString(16).padStart(digits, "0");
}

/** A block hash of 16 digits; chains of 8 blocks share the first three. */
export function blockAt(index: number): BlockHash {
  const chain = hex(spread(index >>> 3) >>> 20, 3);
  const rest = hex(spread(index), 8) + hex(index, 8);
  // Copied through a buffer, so that the text is one flat string of its own.
  const text = Buffer.from(chain + rest.slice(3)).toString("latin1");
  return brandId<BlockHash>(text);
}

export function blocksAt(start: number, count: number): BlockHash[] {
  return Array.from({ length: count }, (_, index) => blockAt(start + index));
}

export function incarnationAt(index: number): IncarnationId {
  const text = `${hex(spread(index), 8)}-5c1e-4b7a-9f20-${hex(index, 12)}`;
  return brandId<IncarnationId>(text);
}

export const WEIGHTS = brandId<WeightsVersion>("2026-11-14.2");

export function engineId(index: number): BackendServerId {
  return brandId<BackendServerId>(`engine-${String(index).padStart(5, "0")}`);
}

export function entryVmId(index: number): VmId {
  return brandId<VmId>(`entry-${String(index).padStart(4, "0")}`);
}

export function teamId(index: number): TeamId {
  return brandId<TeamId>(`team-${String(index).padStart(6, "0")}`);
}

export function domainId(index: number): FailureDomainId {
  return brandId<FailureDomainId>(`domain-${String(index % DOMAINS)}`);
}

export function entryVm(index: number): VmEntry {
  return {
    vmId: entryVmId(index),
    role: "entry",
    state: "live",
    address: `10.4.${index >>> 8}.${index & 255}:7003`,
    failureDomain: domainId(index),
  };
}

export function engineVm(index: number): VmEntry {
  return {
    vmId: brandId<VmId>(engineId(index)),
    role: "engine",
    state: "live",
    address: `10.8.${index >>> 8}.${index & 255}:8000`,
    failureDomain: domainId(index),
    service: brandId<ServiceName>(`model-${index % MODELS}`),
  };
}

/** A platform list of entry VMs and engines. */
export function vmList(entryVms: number, engines: number): VmEntry[] {
  return [
    ...Array.from({ length: entryVms }, (_, index) => entryVm(index)),
    ...Array.from({ length: engines }, (_, index) => engineVm(index)),
  ];
}
