/**
 * Assigns engines and prefix index entries to their owner VMs.
 *
 * @module
 */

import { firstByRendezvous, ownerKeyOf } from "@endivebend/routing";
import type { BlockHash, VmEntry, VmId } from "@endivebend/types";

/**
 * Returns the VM that watches an engine: the first in rendezvous order among
 * the entry VMs of the engine's failure domain, or among all entry VMs when
 * none of that failure domain answers.
 */
export function watcherOf(
  engine: VmEntry,
  entryVms: readonly VmEntry[],
): VmEntry | undefined {
  const local = entryVms.filter((entry) =>
    entry.failureDomain === engine.failureDomain
  );
  const candidates = local.length > 0 ? local : entryVms;
  return pickByRendezvous(engine.vmId, candidates);
}

/** Returns the VM that indexes which engines hold the chain of a block. */
export function ownerOf(
  block: BlockHash,
  entryVms: readonly VmEntry[],
): VmEntry | undefined {
  return pickByRendezvous(ownerKeyOf(block), entryVms);
}

function pickByRendezvous(
  key: string,
  candidates: readonly VmEntry[],
): VmEntry | undefined {
  const ids = candidates.map((entry): VmId => entry.vmId);
  const chosen = firstByRendezvous(key, ids);
  return candidates.find((entry) => entry.vmId === chosen);
}
