/**
 * The status records of version rollouts in the store.
 *
 * @module
 */

import type { ServiceName } from "@endivebend/types";
import type { FinalPhase, VersionOrder } from "@endivebend/version-rollouts";

/** The status of a service's newest order. */
export interface RolloutStatus {
  readonly service: ServiceName;
  readonly to: VersionOrder["to"];
  readonly phase: "running" | FinalPhase;
}

/** The statuses, and where the next record would stand. */
export interface RolloutStatusState {
  readonly end: number;
  readonly statuses: readonly RolloutStatus[];
}

/** Result of a conditional write. */
export type StatusAppendResult =
  | { readonly kind: "appended"; readonly end: number }
  /** Nothing was written, or it is unknown: the records have changed. */
  | { readonly kind: "moved" };

/** The status records. Calls reject without an answer. */
export interface RolloutStatusLog {
  read(): Promise<RolloutStatusState>;
  /** Writes a status if the records still end at `end`. */
  append(status: RolloutStatus, end: number): Promise<StatusAppendResult>;
}
