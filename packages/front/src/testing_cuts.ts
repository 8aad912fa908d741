/**
 * Plays fleets of which some VMs are cut off from all servers.
 *
 * @module
 */

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
    readonly kind?: "resumable_stream" | "at_most_once";
    readonly events?: Events;
  } = {},
) {
  const { kind = "resumable_stream", events = () => [] } = options;
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 8, kind });
  const { time } = fleet;
  for (const [atMs, run] of events(fleet)) time.after(atMs, run);
  await time.advance(2_000);
  let sent = 0;
  const send = () => {
    fleet.send(sent++ % DAEMONS, [`rules-${sent % 5}`, `parish-${sent % 60}`]);
    const isRush = time.nowMs > CUT_AT_MS + CONTACT_MS;
    time.after(isRush ? RUSH_INTERVAL_MS : SEND_INTERVAL_MS, send);
  };
  send();
  time.after(CUT_AT_MS - time.nowMs, () => fleet.cutOff(cut, form));
  time.after(CUT_AT_MS + CUT_MS - time.nowMs, () => fleet.heal(cut));
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
