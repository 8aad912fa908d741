/**
 * A holder of groups of teams: states, charges, loans.
 *
 * @module
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  computeTerms,
  createTeamState,
  step,
  type TeamState,
} from "@endivebend/limits";
import { ChargeRequestSchema, ChargeResponseSchema } from "@endivebend/peers";
import { type RightsState, splitsInUse } from "@endivebend/rights";
import type { TeamGroup } from "@endivebend/types";
import { heapSeries, type Series, sizeSeries, timeSeries } from "../measure.ts";
import { domainId, ENTRY_VMS, incarnationAt, teamId } from "../samples.ts";
import { rightsWith } from "./rights.ts";

const LENDING = { loanLeaseMs: 2_000, floorFraction: 0.25 };
const COUNTS = [2_000, 4_000, 8_000];
const START_MS = 10_000;
const BURST_TOKENS = 200_000;
/** More than a thirteenth of the burst, so that a charge of it borrows. */
const BEYOND_SHARE_TOKENS = 20_000;

function termsWith(rights: RightsState) {
  const limits = { rateTokensPerSecond: 5_000, burstTokens: BURST_TOKENS };
  return computeTerms(limits, {
    splits: splitsInUse(rights, 0 as TeamGroup),
    domain: domainId(0),
    lending: LENDING,
  });
}

function startsFull() {
  return { sinceMs: START_MS, quarantineUntilMs: START_MS, startsFull: true };
}

/** States as a holder has them: one charge was made in each. */
function activeTeams(teams: number): TeamState[] {
  const rights = rightsWith(ENTRY_VMS);
  return Array.from({ length: teams }, (_, index) => {
    const state = createTeamState(termsWith(rights), startsFull());
    charge(state, { id: String(index), nowMs: START_MS + 10 });
    return state;
  });
}

function charge(
  state: TeamState,
  options: { readonly id: string; readonly nowMs: number },
): void {
  const { id, nowMs } = options;
  const deadlineMs = nowMs + 10_000;
  step(state, { kind: "charge", id, costTokens: 3, deadlineMs }, nowMs);
}

function chargeTeams(charges: number) {
  const states = activeTeams(900);
  return () => {
    for (let index = 0; index < charges; index++) {
      const state = states[index % states.length]!;
      charge(state, { id: String(index), nowMs: START_MS + 20 + index });
    }
  };
}

/**
 * A loan with all that belongs to it: the charge that lacks tokens, the grant
 * at the lender, the receipt at the borrower.
 */
function lendAndBorrow(loans: number) {
  const borrowers = activeTeams(loans);
  const lenders = activeTeams(loans);
  const nowMs = START_MS + 20;
  return () =>
    borrowers.forEach((borrower, index) =>
      lendOnce(borrower, { lender: lenders[index]!, nowMs })
    );
}

function lendOnce(
  borrower: TeamState,
  options: { readonly lender: TeamState; readonly nowMs: number },
): void {
  const { lender, nowMs } = options;
  const charged = step(borrower, {
    kind: "charge",
    id: "beyond the share",
    costTokens: BEYOND_SHARE_TOKENS,
    deadlineMs: nowMs + 10_000,
  }, nowMs);
  const wanted = charged.find((effect) => effect.kind === "borrow");
  if (wanted === undefined) throw new Error("The charge borrowed nothing");
  const kind = "borrow_requested";
  const asked = { ...wanted, kind, borrower: domainId(0) } as const;
  const lent = step(lender, asked, nowMs)
    .find((effect) => effect.kind === "lent");
  if (lent === undefined) throw new Error("The lender did not answer");
  step(borrower, {
    ...lent,
    kind: "loan_received",
    lender: wanted.lender,
    requestedAtMs: nowMs,
  }, nowMs);
}

function chargeMessages() {
  const request = create(ChargeRequestSchema, {
    team: teamId(17),
    costTokens: 2_300n,
    waitMs: 10_000,
    requestId: incarnationAt(17),
  });
  const response = create(ChargeResponseSchema, {
    granted: true,
    limitTokens: 200_000n,
    remainingTokens: 8_000n,
    resetMs: 3_400,
  });
  return { request, response };
}

function chargeThroughCodec(charges: number) {
  const run = chargeTeams(charges);
  const messages = chargeMessages();
  return () => {
    run();
    for (let index = 0; index < charges; index++) {
      const { request, response } = messages;
      const sent = toBinary(ChargeRequestSchema, request);
      fromBinary(ChargeRequestSchema, sent);
      const answered = toBinary(ChargeResponseSchema, response);
      fromBinary(ChargeResponseSchema, answered);
    }
  };
}

/** The series of this module. */
export const limitsSeries: readonly Series[] = [
  heapSeries({
    name: "limits.team_bytes",
    per: "active team",
    sizes: [500, 1_000, 2_000],
    make: activeTeams,
  }),
  timeSeries({
    name: "limits.charge_us",
    per: "charge",
    sizes: COUNTS,
    prepare: chargeTeams,
  }),
  timeSeries({
    name: "limits.charge_codec_us",
    per: "charge",
    sizes: COUNTS,
    prepare: chargeThroughCodec,
  }),
  sizeSeries({
    name: "limits.charge_message_bytes",
    per: "charge",
    sizes: [1, 10, 100],
    encode: (size) => {
      const { request, response } = chargeMessages();
      const pair = Buffer.concat([
        toBinary(ChargeRequestSchema, request),
        toBinary(ChargeResponseSchema, response),
      ]);
      return Buffer.concat(new Array(size).fill(pair));
    },
  }),
  timeSeries({
    name: "limits.loan_us",
    per: "loan",
    sizes: COUNTS,
    prepare: lendAndBorrow,
  }),
  timeSeries({
    name: "limits.terms_us",
    per: "active team",
    sizes: [500, 1_000, 2_000],
    prepare: (size) => {
      const rights = rightsWith(ENTRY_VMS);
      const states = activeTeams(size);
      return () => {
        for (const state of states) {
          const terms = termsWith(rights);
          step(state, { kind: "terms_changed", terms }, START_MS + 20);
        }
      };
    },
  }),
];
