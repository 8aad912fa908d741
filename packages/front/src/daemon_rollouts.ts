/**
 * Connects version rollouts to the components of a daemon.
 *
 * @module
 */

import { VersionRolloutTask } from "@endivebend/orders";
import type { DaemonParts } from "./daemon_parts.ts";
import { VersionRollouts } from "./version_rollouts.ts";

/**
 * Keeps the orders to move services to other software versions.
 *
 * @example
 * ```ts
 * const orders = createVersionRollouts(parts).open();
 * ```
 */
export function createVersionRollouts(parts: DaemonParts): VersionRollouts {
  const { settings, ports } = parts;
  return new VersionRollouts({
    bounds: settings.rolloutBounds,
    process: `${settings.vm}/${parts.incarnation}`,
    registry: parts.registry,
    fleet: parts.fleet,
    scheduler: ports.scheduler,
    metrics: ports.metrics,
    nowMs: () => parts.nowMs(),
    epoch: () => parts.weightsRollout.epoch,
    announce: () => parts.gossipChannel.announce(),
    logDecision: parts.logDecision,
  });
}

/**
 * Drives the orders while this daemon holds the rollout lease.
 *
 * @example
 * ```ts
 * createVersionRolloutTask(parts).start();
 * ```
 */
export function createVersionRolloutTask(
  parts: DaemonParts,
): VersionRolloutTask {
  const { clock, scheduler, rolloutStatusLog } = parts.ports;
  return new VersionRolloutTask({
    clock,
    scheduler,
    log: rolloutStatusLog,
    rollouts: parts.versionRollouts,
    epoch: () => parts.weightsRollout.epoch,
    isLeaseFresh: () => parts.weightsRollout.isLeaseFresh,
    logDecision: parts.logDecision,
  });
}
