/**
 * Handles the charges, loan requests and handovers that other daemons send.
 *
 * @module
 */

import type {
  BorrowRequest,
  ChargeRequest,
  HandoverRequest,
  PeerHandlers,
} from "@endivebend/peers";
import {
  brandId,
  type TeamGroup,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import { toChargeResult } from "./charge_results.ts";
import type { LocalHolder } from "./local_holder.ts";
import type { RightsTask } from "./rights_task.ts";

/** The peer handlers of the limits task. */
export type LimitsHandlers = Pick<
  PeerHandlers,
  "charge" | "borrow" | "handover"
>;

const NOT_HOLDER = { notHolder: true };

async function answerCharge(
  holder: LocalHolder,
  request: ChargeRequest,
  signal: AbortSignal,
) {
  const entry = holder.entry(brandId<TeamId>(request.team));
  if (entry === undefined) return NOT_HOLDER;
  const { waitMs } = request;
  const costTokens = Number(request.costTokens);
  const outcome = await holder.charge(entry, { costTokens, waitMs, signal });
  const result = toChargeResult(entry, outcome);
  if (result === undefined) return NOT_HOLDER;
  return {
    granted: result.granted,
    code: result.code ?? "",
    retryAfterMs: Math.ceil(result.retryAfterMs ?? 0),
    limitTokens: BigInt(result.limitTokens),
    remainingTokens: BigInt(result.remainingTokens),
    resetMs: result.resetMs,
  };
}

function answerBorrow(holder: LocalHolder, request: BorrowRequest) {
  const entry = holder.entry(brandId<TeamId>(request.team));
  const lent = entry && holder.apply(entry, {
    kind: "borrow_requested",
    borrower: request.borrowerVmId,
    wantTokens: Number(request.wantTokens),
    wantCapacityTokens: Number(request.wantCapacityTokens),
  });
  if (lent === undefined) return NOT_HOLDER;
  return {
    tokens: BigInt(lent.tokens),
    capacityTokens: BigInt(lent.capacityTokens),
    leaseMs: lent.leaseMs,
  };
}

function answerHandover(rights: RightsTask, request: HandoverRequest) {
  const groups = request.groups.map((group) => group as TeamGroup);
  const to = brandId<VmId>(request.toVmId);
  return { acceptedGroups: [...rights.acceptHandover(groups, to)] };
}

/** Creates the handlers for the teams and groups that this VM holds. */
export function createLimitsHandlers(options: {
  readonly holder: LocalHolder;
  readonly rights: RightsTask;
}): LimitsHandlers {
  const { holder, rights } = options;
  return {
    charge: (request, context) => answerCharge(holder, request, context.signal),
    borrow: (request) => answerBorrow(holder, request),
    handover: (request) => answerHandover(rights, request),
  };
}
