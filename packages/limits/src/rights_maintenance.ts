/**
 * Plans the next record that this VM should append to the `rights` stream.
 *
 * @module
 */

import {
  currentSplit,
  encodeGroups,
  encodeRightsState,
  planClaims,
  planEndedVms,
  type PlanInput,
  type RightsState,
  shouldWriteSnapshot,
} from "@endivebend/rights";
import type { FailureDomainId, VmId } from "@endivebend/types";
import { lenderWaitMs } from "./fixed_point.ts";
import { type HolderIdentity, mustConfirmSplit } from "./holdings.ts";

const DEFAULT_SNAPSHOT_EVERY_MS = 6 * 3_600_000;

/** A record to append, without its id. */
export interface MaintenanceRecord {
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** Input of {@link planMaintenance}. */
export interface MaintenanceInput extends PlanInput {
  readonly self: HolderIdentity;
  readonly isDraining: boolean;
  readonly proposedDomains: readonly FailureDomainId[];
  readonly hasEnded: (vmId: VmId, sinceWallMs: number) => boolean;
  readonly nowWallMs: number;
  readonly nowMs: number;
  /** Time at which this VM applied the newest split. */
  readonly appliedSplitMs: number;
  readonly loanLeaseMs: number;
  readonly snapshotEveryMs: number | undefined;
}

type RecordPlanner = (
  state: RightsState,
  input: MaintenanceInput,
) => MaintenanceRecord | undefined;

function proposeDomains(
  state: RightsState,
  input: MaintenanceInput,
): MaintenanceRecord | undefined {
  if (currentSplit(state) !== undefined) return undefined;
  return {
    kind: "domains_set",
    domains: input.proposedDomains,
    amendsRevision: 0,
  };
}

function confirmDomains(
  state: RightsState,
  input: MaintenanceInput,
): MaintenanceRecord | undefined {
  if (!mustConfirmSplit(state, input.self)) return undefined;
  // Loans made under the old split must have ended.
  const readyMs = input.appliedSplitMs + lenderWaitMs(input.loanLeaseMs);
  if (input.nowMs < readyMs) return undefined;
  return {
    kind: "domains_confirmed",
    vmId: input.self.vmId,
    revision: currentSplit(state)?.revision ?? 0,
  };
}

function claimGroups(
  state: RightsState,
  input: MaintenanceInput,
): MaintenanceRecord | undefined {
  if (input.isDraining) return undefined;
  const groups = planClaims(state, input);
  if (groups.length === 0) return undefined;
  return {
    kind: "claimed",
    vmId: input.self.vmId,
    incarnation: input.self.incarnation,
    failureDomain: input.self.failureDomain,
    groups: encodeGroups(groups),
    revision: currentSplit(state)?.revision ?? 0,
  };
}

function declareEnded(
  state: RightsState,
  input: MaintenanceInput,
): MaintenanceRecord | undefined {
  const [ended] = planEndedVms(state, input);
  return ended === undefined ? undefined : { kind: "vm_ended", ...ended };
}

function writeSnapshot(
  state: RightsState,
  input: MaintenanceInput,
): MaintenanceRecord | undefined {
  const everyMs = input.snapshotEveryMs ?? DEFAULT_SNAPSHOT_EVERY_MS;
  if (!shouldWriteSnapshot(state, { ...input, everyMs })) return undefined;
  return {
    kind: "snapshot",
    asOfOffset: state.nextOffset,
    stateJson: encodeRightsState(state),
  };
}

/** Planners in order of urgency, the most urgent first. */
const PLANNERS: readonly RecordPlanner[] = [
  proposeDomains,
  confirmDomains,
  claimGroups,
  declareEnded,
  writeSnapshot,
];

/** Returns the most urgent record to append; undefined if none is due. */
export function planMaintenance(
  state: RightsState,
  input: MaintenanceInput,
): MaintenanceRecord | undefined {
  for (const plan of PLANNERS) {
    const record = plan(state, input);
    if (record !== undefined) return record;
  }
  return undefined;
}
