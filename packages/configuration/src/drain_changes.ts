/**
 * Applies requests to drain a VM and their cancellation.
 *
 * @module
 */

import type { ChangeOf } from "./records.ts";
import type { ConfigurationState } from "./state.ts";
import { accept, refuse, type Verdict } from "./verdicts.ts";

/** Applies `vm_drain_requested`; a repeated request is accepted. */
export function requestDrain(
  state: ConfigurationState,
  change: ChangeOf<"vm_drain_requested">,
): Verdict {
  const revision = (state.drainRevisions.get(change.vmId) ?? 0) + 1;
  state.drainRevisions.set(change.vmId, revision);
  return accept(revision);
}

/** Applies `vm_drain_cancelled`. */
export function cancelDrain(
  state: ConfigurationState,
  change: ChangeOf<"vm_drain_cancelled">,
): Verdict {
  const revision = state.drainRevisions.get(change.vmId);
  if (revision === undefined) {
    return refuse("vmId", "No drain of this VM is requested", {
      remedy: "Name a VM whose drain endivebend vm list shows",
    });
  }
  state.drainRevisions.delete(change.vmId);
  return accept(revision + 1);
}
