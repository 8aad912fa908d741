/**
 * Plays fleets of which some VMs are cut off from all servers.
 *
 * @module
 */

import type { RequestKind } from "@endivebend/request-path";
import type { ExecutionContext } from "ava";
import { type Outcome, TestFleet } from "./testing_fleet.ts";
import type { CutForm } from "./testing_links.ts";

const DAEMONS = 8;
export const CUT_AT_MS = 4_000;
/** Time after the start of a cut from which callers must be served again. */
export const CONTACT_MS = 3_000;
export const CUT_MS = 12_000;
const SEND_INTERVAL_MS = 14;
/** The traffic grows during the cut, so that kept connections don't suffice. */
const RUSH_INTERVAL_MS = 6;
/** Callers of cut-off VMs are served this share as often as the others. */
export const MIN_SHARE = 0.9;

export const FORMS: readonly CutForm[] = ["silent", "reset", "old_alive"];

/** Forms whose links accept new connections and carry nothing. */
export const ACCEPTING_FORMS: readonly CutForm[] = [
  "accepted_reset",
  "accepted_reset_old_silent",
  "accepted_reset_old_alive",
  "late_reset",
  "late_reset_old_silent",
  "late_reset_old_alive",
  "accepted_silent",
  "accepted_silent_old_reset",
  "accepted_silent_old_alive",
];

/** The users' bounds on first tries at VMs that are cut off. */
const RULE_SHARE = 2 / 3;
const RULE_FAILED = 10;
const RULE_FAILED_SHARE = 1 / 50;

/**
 * Whether first tries at cut-off VMs are served often enough for the users, and
 * what was counted.
 */
export function checkFirstTries(
  atCut: readonly Outcome[],
  atOthers: readonly Outcome[],
): { readonly isKept: boolean; readonly counts: string } {
  const shares = [servedShare(atCut), servedShare(atOthers)] as const;
  const sent = atCut.length + atOthers.length;
  const failed = Math.round(
    (1 - shares[0]) * atCut.length + (1 - shares[1]) * atOthers.length,
  );
  const isKept = shares[0] >= RULE_SHARE * shares[1] ||
    failed <= RULE_FAILED + RULE_FAILED_SHARE * sent;
  const counts =
    `served at cut-off VMs ${shares[0]}, at others ${shares[1]}; ` +
    `${failed} of ${sent} failed`;
  return { isKept, counts };
}

/** Share of the requests that were served whole. */
export function servedShare(outcomes: readonly Outcome[]): number {
  const served = outcomes.filter(({ hasEnded, isCut }) => hasEnded && !isCut);
  return served.length / outcomes.length;
}

/** What happens beside the cut, by its time. */
export type Events = (
  fleet: TestFleet,
) => readonly (readonly [number, () => void])[];

/** Sends requests to all daemons in turn while some of them are cut off. */
export async function playCut(
  cut: readonly number[],
  form: CutForm,
  options: {
    readonly kind?: RequestKind;
    /** Whether calls have no prompt. */
    readonly isPlain?: boolean;
    readonly events?: Events;
    readonly engines?: number;
    /** Events of each answer. */
    readonly runEvents?: number;
    /** Whether the cut and its end are played; true by default. */
    readonly isCut?: boolean;
  } = {},
) {
  const { kind = "resumable_stream", isPlain = false } = options;
  const { events = () => [], engines = 8, isCut = true } = options;
  const answer = options.runEvents === undefined
    ? {}
    : { events: options.runEvents };
  const fleet = new TestFleet({ daemons: DAEMONS, engines, kind, isPlain });
  const { time } = fleet;
  for (const [atMs, run] of events(fleet)) time.after(atMs, run);
  await time.advance(2_000);
  let sent = 0;
  const send = () => {
    const segments = [`rules-${sent % 5}`, `parish-${sent % 60}`];
    fleet.send(sent++ % DAEMONS, segments, answer);
    const isRush = time.nowMs > CUT_AT_MS + CONTACT_MS;
    time.after(isRush ? RUSH_INTERVAL_MS : SEND_INTERVAL_MS, send);
  };
  send();
  if (isCut) {
    time.after(CUT_AT_MS - time.nowMs, () => fleet.cutOff(cut, form));
    time.after(CUT_AT_MS + CUT_MS - time.nowMs, () => fleet.heal(cut));
  }
  await time.advance(CUT_AT_MS + CUT_MS + 3_000 - time.nowMs);
  const during = fleet.outcomes.filter(({ sentAtMs }) =>
    sentAtMs >= CUT_AT_MS + CONTACT_MS && sentAtMs < CUT_AT_MS + CUT_MS
  );
  const atCut = during.filter(({ daemon }) => cut.includes(daemon));
  const atOthers = during.filter(({ daemon }) => !cut.includes(daemon));
  return { fleet, atCut, atOthers };
}

/** Checks that each request ran once at most, and none that was refused. */
export function checkRunOnce(t: ExecutionContext, fleet: TestFleet): void {
  const runs = new Set<string>();
  for (const { requestId, isTurnedAway } of fleet.arrivals) {
    if (isTurnedAway) continue;
    t.false(runs.has(requestId), `${requestId} arrived twice`);
    runs.add(requestId);
  }
  const refused = fleet.outcomes.filter(({ refusal }) => refusal?.isNotRun);
  t.deepEqual(refused.filter(({ requestId }) => runs.has(requestId)), []);
}
