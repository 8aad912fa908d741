/**
 * Decides whether a call that must run at most once is dispatched, replayed or
 * refused.
 *
 * @module
 */

export { Batcher } from "./batcher.ts";
export type { BatcherSettings } from "./batcher.ts";
export {
  decideCall,
  MAX_ATTEMPTS_PER_KEY,
  MAX_KEY_CLOCK_SKEW_MS,
  planForOutcome,
  refuseOldKey,
} from "./decide.ts";
export type {
  CommitmentCall,
  CommitmentPlan,
  DecisionContext,
} from "./decide.ts";
export { digestCall, digestKey, parseKey } from "./keys.ts";
export type { ParsedKey } from "./keys.ts";
export { commitmentRecordSchema, isSameWriter } from "./records.ts";
export type {
  CommitmentEntry,
  CommitmentOutcome,
  CommitmentRecord,
  CommitmentRecordOf,
  Writer,
} from "./records.ts";
export { readSnapshot, writeSnapshot } from "./snapshot.ts";
export { CommitmentState, KEY_RETENTION_FRACTION } from "./state.ts";
export type { CommitmentSettings, CommitmentSnapshot } from "./state.ts";
