import test from "ava";
import { COURSES, DAEMONS, ENGINES, SEEDS } from "./testing_courses.ts";
import { BROKEN_FROM_MS, playRepeats, worstWindow } from "./testing_repeats.ts";

for (const [name, { events, day }] of Object.entries(COURSES)) {
  for (const seed of SEEDS) {
    test.serial(`repeats stay within the fleet's budget ${name}, seed ${seed}`, async (t) => {
      const fleet = await playRepeats({
        seed,
        daemons: DAEMONS,
        engines: ENGINES,
        requestsPerDaemonPerS: 12,
        lengthMs: 24_000,
        ...day,
      }, events);
      const { repeats, allowed, endMs } = worstWindow(fleet);
      const sent = fleet.outcomes.filter(({ sentAtMs }) =>
        sentAtMs >= BROKEN_FROM_MS
      );
      const served = sent.filter(({ hasEnded }) => hasEnded);
      t.log(
        `${repeats} repeats, ${allowed.toFixed(0)} allowed at ${endMs} ms; ` +
          `served ${
            (served.length / sent.length).toFixed(3)
          } of ${sent.length}`,
      );
      t.true(
        repeats <= allowed,
        `${repeats} repeats, ${allowed} allowed at ${endMs} ms`,
      );
    });
  }
}
