/**
 * Logs the state of a daemon at regular intervals.
 *
 * @module
 */

import { SERVED_OVERDUE_MS } from "@endivebend/fleet";
import type { FailureDomainId } from "@endivebend/types";
import type { DaemonParts } from "./daemon_parts.ts";

const PRUNE_INTERVAL_MS = 5_000;

/**
 * Logs the state, and forgets servers that have ended, until the process ends.
 *
 * @example
 * ```ts
 * scheduleStatusLog(parts);
 * ```
 */
export function scheduleStatusLog(parts: DaemonParts): void {
  const { scheduler, log, store } = parts.ports;
  scheduler.after(PRUNE_INTERVAL_MS, () => {
    parts.registry.prune(parts.nowMs());
    log.stateChange("status", {
      members: parts.fleet.size,
      reachable: parts.fleet.reachable(parts.nowMs()).length + 1,
      silentDomainsMs: silentDomainsMs(parts),
      relayed: { ...parts.relayed },
      ...parts.registry.contactCounts(parts.nowMs()),
      ...parts.weightsWatch.summary(),
      storeCalls: store.callCounts,
    });
    scheduleStatusLog(parts);
  });
}

/** Time for which nothing was heard of most of a failure domain. */
function silentDomainsMs(parts: DaemonParts): Record<FailureDomainId, number> {
  const overdue = parts.fleet.overdueDomains(
    parts.nowMs(),
    SERVED_OVERDUE_MS,
  );
  return Object.fromEntries(overdue.map(
    ({ failureDomain, ageMs }) => [failureDomain, Math.round(ageMs)],
  ));
}
