import test from "ava";
import {
  ALL,
  atEach,
  type Course,
  COURSES,
  DAEMONS,
  ENGINES,
  SEEDS,
} from "./testing_courses.ts";
import { BROKEN_FROM_MS, playRepeats, worstWindow } from "./testing_repeats.ts";

/** Engines accept nothing for so long. */
const DEAF_MS = 3_000;

/** Courses of events that matter to the retry budget only. */
const RETRY_COURSES: Readonly<Record<string, Course>> = {
  "while attempts wait on their way to half of the servers": {
    events: (fleet) =>
      atEach([7_000, 14_000, 21_000], () => {
        const engines = fleet.runningEngines().slice(0, ENGINES / 2);
        for (const engine of engines) fleet.holdArrivals(engine, DEAF_MS);
      }),
    day: { lengthMs: 40_000 },
  },
  "while attempts wait on their way to all servers": {
    events: (fleet) =>
      atEach([7_000, 14_000, 21_000], () => {
        for (const engine of fleet.runningEngines()) {
          fleet.holdArrivals(engine, DEAF_MS);
        }
      }),
    day: { lengthMs: 40_000 },
  },
  "while daemons are added that are cut off from the others": {
    events: (fleet) => {
      const added = ALL.map((index) => DAEMONS + index);
      return [[1_000, () => {
        fleet.cutOffGossip(added, { together: true });
      }], [2_000, () => {
        for (const daemon of added) fleet.startDaemon(daemon);
      }]];
    },
    day: { lengthMs: 40_000, requestsPerDaemonPerS: 3 },
  },
};

for (
  const [name, { events, day }] of Object.entries({
    ...COURSES,
    ...RETRY_COURSES,
  })
) {
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
