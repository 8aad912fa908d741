/**
 * The log of the rollout lease in memory, for tests.
 *
 * @module
 */

import type {
  LeaseAppendResult,
  LeaseLogState,
  LeaseRecord,
} from "./lease_plan.ts";

/** The records of the lease. */
export class LeaseRecords {
  readonly list: LeaseRecord[] = [];
  /** Records of the claims only, oldest first. */
  get claims(): readonly LeaseRecord[] {
    return this.list.filter(({ kind }) => kind === "claim");
  }

  read(): LeaseLogState {
    return { end: this.list.length, newest: this.list.at(-1) };
  }

  append(record: LeaseRecord, end: number): LeaseAppendResult {
    if (this.list.length !== end) return { kind: "moved" };
    this.list.push(record);
    return { kind: "appended", end: end + 1 };
  }
}
