import test from "ava";
import {
  checkRunOnce,
  CONTACT_MS,
  CUT_AT_MS,
  CUT_MS,
  type Events,
  FORMS,
  MIN_SHARE,
  playCut,
  servedShare,
} from "./testing_cuts.ts";

/** The longest that callers may notice of the end of a VM that forwards. */
const NOTICED_MS = 1_000;

const FORWARDER_FAILURES: Readonly<Record<string, Events>> = {
  "ends": (fleet) => [[9_000, () => fleet.killDaemon(1)]],
  "ends and starts again": (fleet) => [
    [9_000, () => fleet.killDaemon(1)],
    [10_000, () => fleet.startDaemon(1)],
  ],
  "is cut off as well": (fleet) => [
    [9_000, () => fleet.cutOff([1, 4], "silent")],
    [14_000, () => fleet.heal([1, 4])],
  ],
};

for (const kind of ["resumable_stream", "at_most_once"] as const) {
  for (const [what, events] of Object.entries(FORWARDER_FAILURES)) {
    test.serial(`callers are served when a VM that forwards ${what}, ${kind}`, async (t) => {
      const cut = [0, 2, 5, 7];
      const { fleet, atCut } = await playCut(cut, "silent", { kind, events });
      const unnoticed = atCut.filter(({ sentAtMs }) =>
        sentAtMs < 8_900 || sentAtMs > 9_000 + NOTICED_MS
      );
      const share = servedShare(unnoticed);
      t.true(share >= MIN_SHARE, `${share}`);
      if (kind === "at_most_once") checkRunOnce(t, fleet);
    });
  }
}

test.serial("a cut that heals for some servers only is served all the while", async (t) => {
  const cut = [0, 2, 5, 7];
  const { atCut } = await playCut(cut, "silent", {
    events: (fleet) => [
      [8_000, () => fleet.heal(cut, fleet.runningEngines().slice(0, 3))],
    ],
  });
  t.true(servedShare(atCut) >= MIN_SHARE, `${servedShare(atCut)}`);
});

for (const form of FORMS) {
  test.serial(`no server is blamed for a cut, and VMs connect themselves after it, ${form}`, async (t) => {
    const cut = [0, 2, 5, 7];
    const { fleet } = await playCut(cut, form);
    const healedAtMs = CUT_AT_MS + CUT_MS;
    const statusOf = (fromMs: number, untilMs: number) =>
      fleet.steps.filter(({ step, atMs }) =>
        step === "status" && Number(atMs) > fromMs && Number(atMs) <= untilMs
      );
    const during = statusOf(CUT_AT_MS + CONTACT_MS, healedAtMs);
    t.true(during.length > 0);
    t.true(during.every(({ serversAvoided }) => serversAvoided === 0));
    const late = fleet.steps.filter(({ step, atMs, forwarder }) =>
      step === "place" && Number(atMs) > healedAtMs + 1_500 &&
      forwarder !== undefined
    );
    t.deepEqual(late, []);
  });
}
