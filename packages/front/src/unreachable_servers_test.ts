import test from "ava";
import {
  checkRunOnce,
  FORMS,
  MIN_SHARE,
  playCut,
  servedShare,
} from "./testing_cuts.ts";

const CUTS: Readonly<Record<string, readonly number[]>> = {
  "one VM": [3],
  "half of the VMs": [0, 2, 5, 7],
  // Daemons are in turn in one of four failure domains.
  "all VMs of a failure domain": [1, 5],
  "all VMs but one": [0, 1, 2, 3, 4, 5, 6],
};
for (const [name, cut] of Object.entries(CUTS)) {
  for (const form of FORMS) {
    test.serial(`callers of VMs without a link to any server are served, ${name}, ${form}`, async (t) => {
      const { atCut, atOthers } = await playCut(cut, form);
      const shares = [servedShare(atCut), servedShare(atOthers)] as const;
      t.log(`served at cut-off VMs and at others: ${shares.join(", ")}`);
      t.true(shares[0] >= MIN_SHARE * shares[1], shares.join(", "));
      t.true(shares[1] > 0.98, "callers of the other VMs do not notice");
    });
  }
}

for (const form of FORMS) {
  test.serial(`requests that run at most once are served and run once, ${form}`, async (t) => {
    const { fleet, atCut } = await playCut([0, 2, 5, 7], form, {
      kind: "at_most_once",
    });
    t.true(servedShare(atCut) >= MIN_SHARE, String(servedShare(atCut)));
    checkRunOnce(t, fleet);
  });
}
