import test from "ava";
import { type Outcome, TestFleet } from "./testing_fleet.ts";
import type { CutForm } from "./testing_links.ts";

const DAEMONS = 8;
const CUT_AT_MS = 4_000;
/** Time after the start of a cut from which callers must be served again. */
const CONTACT_MS = 3_000;
const CUT_MS = 12_000;
const SEND_INTERVAL_MS = 14;
/** The traffic grows during the cut, so that kept connections don't suffice. */
const RUSH_INTERVAL_MS = 6;
/** Callers of cut-off VMs are served this share as often as the others. */
const MIN_SHARE = 0.9;

const CUTS: Readonly<Record<string, readonly number[]>> = {
  "one VM": [3],
  "half of the VMs": [0, 2, 5, 7],
  // Daemons are in turn in one of four failure domains.
  "all VMs of a failure domain": [1, 5],
  "all VMs but one": [0, 1, 2, 3, 4, 5, 6],
};
const FORMS: readonly CutForm[] = ["silent", "reset", "old_alive"];

function servedShare(outcomes: readonly Outcome[]): number {
  const served = outcomes.filter(({ hasEnded, isCut }) => hasEnded && !isCut);
  return served.length / outcomes.length;
}

/** Sends requests to all daemons in turn while some of them are cut off. */
async function play(
  cut: readonly number[],
  form: CutForm,
  kind: "resumable_stream" | "at_most_once" = "resumable_stream",
) {
  const fleet = new TestFleet({ daemons: DAEMONS, engines: 8, kind });
  const { time } = fleet;
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

for (const [name, cut] of Object.entries(CUTS)) {
  for (const form of FORMS) {
    test(`callers of VMs without a link to any server are served, ${name}, ${form}`, async (t) => {
      const { atCut, atOthers } = await play(cut, form);
      const shares = [servedShare(atCut), servedShare(atOthers)] as const;
      t.log(`served at cut-off VMs and at others: ${shares.join(", ")}`);
      t.true(shares[0] >= MIN_SHARE * shares[1], shares.join(", "));
      t.true(shares[1] > 0.98, "callers of the other VMs do not notice");
    });
  }
}

for (const form of FORMS) {
  test(`requests that run at most once are served and run once, ${form}`, async (t) => {
    const { fleet, atCut } = await play([0, 2, 5, 7], form, "at_most_once");
    t.true(servedShare(atCut) >= MIN_SHARE, String(servedShare(atCut)));
    const runs = new Set<string>();
    for (const { requestId } of fleet.arrivals) {
      t.false(runs.has(requestId), `${requestId} arrived twice`);
      runs.add(requestId);
    }
    const refusedAsNotRun = fleet.outcomes.filter(({ refusal }) =>
      refusal?.isNotRun
    );
    t.deepEqual(
      refusedAsNotRun.filter(({ requestId }) => runs.has(requestId)),
      [],
    );
  });
}
