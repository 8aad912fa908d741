/**
 * Derives from the `rights` stream which VM holds which group of teams in each
 * failure domain.
 *
 * @module
 */

export { decodeGroups, encodeGroups, groupOfTeam, hashText } from "./groups.ts";
export { parseRightsRecord } from "./records.ts";
export type { RightsRecord, RightsRecordOf } from "./records.ts";
export {
  createRightsState,
  currentSplit,
  decodeRightsState,
  encodeRightsState,
  holderOf,
} from "./state.ts";
export type {
  DomainGroups,
  DomainSplit,
  FreedBy,
  HolderVm,
  RightsState,
} from "./state.ts";
export { applyRightsRecord, rebuildFromSnapshot } from "./apply.ts";
export type { HolderChange } from "./apply.ts";
export { confirmedRevision, shareOfLimit, splitsInUse } from "./shares.ts";
export {
  HANDOVER_BATCH_GROUPS,
  planClaims,
  planEndedVms,
  planHandovers,
  rendezvousOwner,
  shouldWriteSnapshot,
} from "./plans.ts";
export type { EndedVm, PlanInput, VmLocation } from "./plans.ts";
