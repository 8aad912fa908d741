import type { RequestKind } from "@endivebend/request-path";
import test from "ava";
import {
  ACCEPTING_FORMS,
  checkFirstTries,
  checkRunOnce,
  playCut,
  servedShare,
} from "./testing_cuts.ts";

const HALF = [0, 2, 5, 7];
const CUTS: Readonly<Record<string, readonly number[]>> = {
  "one VM": [3],
  "half of the VMs": HALF,
  // Daemons are in turn in one of four failure domains.
  "all VMs of a failure domain": [1, 5],
  "all VMs but one": [0, 1, 2, 3, 4, 5, 6],
};
for (const [name, cut] of Object.entries(CUTS)) {
  for (const form of ACCEPTING_FORMS) {
    test.serial(`callers are served where links accept connections and carry nothing, ${name}, ${form}`, async (t) => {
      const { atCut, atOthers } = await playCut(cut, form);
      const { isKept, counts } = checkFirstTries(atCut, atOthers);
      t.log(counts);
      t.true(isKept, counts);
      t.true(servedShare(atOthers) > 0.98, "others do not notice");
    });
  }
}

const KINDS: readonly (readonly [RequestKind, boolean])[] = [
  ["at_most_once", false],
  ["at_most_once", true],
  ["repeatable", true],
  ["stream", false],
];
for (const [kind, isPlain] of KINDS) {
  const what = isPlain ? `plain ${kind}` : kind;
  for (const form of ACCEPTING_FORMS) {
    test.serial(`requests of each kind are served where links accept connections, ${what}, ${form}`, async (t) => {
      const played = await playCut(HALF, form, { kind, isPlain });
      const { atCut, atOthers, fleet } = played;
      const { isKept, counts } = checkFirstTries(atCut, atOthers);
      t.log(counts);
      t.true(isKept, counts);
      if (kind !== "repeatable") checkRunOnce(t, fleet);
    });
  }
}
