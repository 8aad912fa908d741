import test from "ava";
import {
  ALL,
  atEach,
  type Course,
  COURSES,
  DAEMONS,
  ENGINES,
  restart,
  SEEDS,
} from "./testing_courses.ts";
import { BROKEN_FROM_MS, playRepeats, worstWindow } from "./testing_repeats.ts";

/** A window after the first requests. */
const OUTAGE_FROM_MS = 14_000;
/** Time in which the fleet takes what its budget allows. */
const REPEATING_MS = 3_000;
/** Engines accept nothing for so long. */
const DEAF_MS = 3_000;
/** Longer than an attempt at an engine that is silent is waited for. */
const LONG_DEAF_MS = 5_500;

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
  "while all daemons start again after the first repeats in a window": {
    events: (fleet) => {
      let breaks: (() => boolean) | undefined;
      return [[BROKEN_FROM_MS + 1, () => {
        breaks = fleet.breaksAnswer;
        fleet.breaksAnswer = undefined;
      }], [OUTAGE_FROM_MS, () => {
        fleet.breaksAnswer = breaks;
      }], [OUTAGE_FROM_MS + REPEATING_MS, () => restart(fleet, ALL)]];
    },
    day: { lengthMs: 30_000, requestsPerDaemonPerS: 30 },
  },
  "while attempts that are given up wait on their way": {
    events: (fleet) =>
      atEach([7_000, 14_000, 21_000], () => {
        const engines = fleet.runningEngines().slice(0, ENGINES / 2);
        for (const engine of engines) fleet.holdArrivals(engine, LONG_DEAF_MS);
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
