/**
 * Decides which servers a VM reaches itself, and which VM forwards its requests
 * to the others.
 *
 * @module
 */

export { ServerReach } from "./server_reach.ts";
export type {
  LinkFailure,
  LinkFailureCounts,
  ReachableServer,
  ServerReachOptions,
} from "./server_reach.ts";
export { ReachChecks } from "./reach_checks.ts";
export type {
  LinkState,
  ListenState,
  ReachChecksOptions,
} from "./reach_checks.ts";
export { chooseForwarder, Forwarders } from "./choose_forwarder.ts";
export type { Forwarder, ForwarderCandidate } from "./choose_forwarder.ts";
export { ServerPaths } from "./server_paths.ts";
export type { CutEvidence, ServerPathsOptions } from "./server_paths.ts";
