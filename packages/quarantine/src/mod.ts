/**
 * Finds prompt segments that crash engines, and keeps them from engines.
 *
 * @module
 */

export { CrashEvidence } from "./crash_evidence.ts";
export type { AnswerAges, CrashReport } from "./crash_evidence.ts";
export { countIncidents, findCrashCauses } from "./find_crash_causes.ts";
export type { Crash, CrashHistory, Suspect } from "./find_crash_causes.ts";
export { PromptQuarantine } from "./prompt_quarantine.ts";
export type {
  PromptAdmission,
  PromptQuarantineOptions,
  Quarantine,
  QuarantineChange,
} from "./prompt_quarantine.ts";
export { decodeQuarantine, encodeQuarantine } from "./quarantine_record.ts";
export type { QuarantineRecord } from "./quarantine_record.ts";
export { isWholeRequest, segmentOfModel, wholeRequest } from "./suspect_key.ts";
export type { SuspectKey } from "./suspect_key.ts";
