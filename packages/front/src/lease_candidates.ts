/**
 * Which daemons may claim the rollout lease, and whether this one can use it.
 *
 * @module
 */

import type { VmId } from "@endivebend/types";
import type { DaemonParts } from "./daemon_parts.ts";

/** A listed daemon that runs has been heard by then. */
const FIRST_MESSAGE_TIMEOUT_MS = 3_000;

/**
 * Daemons that may claim the rollout lease. Those that were listed a moment
 * ago count before they are heard, so that daemons that start at the same time
 * agree on who comes first.
 *
 * @example
 * ```ts
 * const first = rank(leaseCandidates(parts))[0];
 * ```
 */
export function leaseCandidates(
  parts: Pick<DaemonParts, "fleet" | "nowMs">,
): VmId[] {
  const nowMs = parts.nowMs();
  const candidates: VmId[] = [];
  for (const { vm, message } of parts.fleet.reachable(nowMs)) {
    const reachesServers = message?.forwarding?.reaches.length !== 0;
    if (message?.reachesStore && reachesServers) candidates.push(vm);
  }
  for (const { vm, message, heardAtMs } of parts.fleet.members()) {
    const isRecent = nowMs - heardAtMs < FIRST_MESSAGE_TIMEOUT_MS;
    if (message === undefined && isRecent) candidates.push(vm);
  }
  return candidates;
}

/**
 * False while this daemon reaches no engine whose weights are named.
 *
 * @example
 * ```ts
 * if (!reachesEngines(parts)) releaseLease();
 * ```
 */
export function reachesEngines(
  parts: Pick<DaemonParts, "registry" | "paths">,
): boolean {
  const services = new Set(
    [...parts.registry.all()]
      .filter(({ listed }) => listed.weights.size > 0)
      .map(({ listed }) => listed.service),
  );
  return services.size === 0 ||
    [...services].some((service) => !parts.paths.isCutOff(service));
}
