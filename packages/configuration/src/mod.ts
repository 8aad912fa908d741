/**
 * Builds the configuration state (templates, teams, keys and drains) from the
 * `configuration` stream of the log. The state depends only on the records in
 * offset order, so every VM reaches the same verdicts.
 *
 * @module
 */

export { applyRecord, awaitSnapshotAfterGap, restoreState } from "./apply.ts";
export { checkChange } from "./check_change.ts";
export { createConfigurationState, keyIdOf } from "./state.ts";
export type { ConfigurationState, Team, Template } from "./state.ts";
export type { Accepted, ApplyResult, Refused, Verdict } from "./verdicts.ts";
export { CHANGE_SCHEMAS, isChangeKind } from "./records.ts";
export type { Change, ChangeKind, ChangeOf, SnapshotPart } from "./records.ts";
export { findVerdict, fingerprintOf } from "./decided_records.ts";
export {
  checkKey,
  findOpenRoute,
  findTeamView,
  isDrainRequested,
  listKeys,
  summarizeTeam,
} from "./queries.ts";
export type { KeyStatus, KeySummary, TeamSummary } from "./queries.ts";
export { findRoute } from "./routes.ts";
export type { RouteRule, TeamLimits, TeamView } from "./rules.ts";
export {
  createSnapshotParts,
  MAX_PART_BYTES,
  planSnapshot,
  serializeState,
} from "./snapshot.ts";
export type { SnapshotPlan } from "./snapshot.ts";
export { listSnapshotEntries } from "./snapshot_entries.ts";
export type { SnapshotEntry } from "./snapshot_entries.ts";
export { findBodyFaults } from "./template_faults.ts";
export type { BodyFault } from "./template_faults.ts";
export {
  parameterValuesSchema,
  templateBodySchema,
} from "./template_schema.ts";
export type { ParameterValues, TemplateBody } from "./template_schema.ts";
