/**
 * The daemon's tasks for the fleet-wide rate and burst limits of teams.
 *
 * @module
 */

export { createLimitsTask } from "./limits_task.ts";
export type { LimitsTask, LimitsTaskOptions } from "./limits_task.ts";
export type { LimitsHandlers } from "./peer_handlers.ts";
export { RightsFold } from "./rights_fold.ts";
export { createRightsTask } from "./rights_task.ts";
export type {
  RightsTask,
  RightsTaskOptions,
  RightsView,
} from "./rights_task.ts";
