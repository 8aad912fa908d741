import process from "node:process";
import test from "ava";
import type { TestFleet } from "./testing_fleet.ts";
import {
  BROKEN_FROM_MS,
  type FleetEvents,
  playRepeats,
  type RepeatsDay,
  worstWindow,
} from "./testing_repeats.ts";

/** `FLEET_SEEDS=1-50` and `FLEET_DAEMONS=48` play other fleets than CI's. */
const [FIRST_SEED = 1, LAST_SEED = 2] = (process.env["FLEET_SEEDS"] ?? "1-2")
  .split("-").map(Number);
const DAEMONS = Number(process.env["FLEET_DAEMONS"] ?? "8");
const ENGINES = Math.ceil(DAEMONS * 6 / 8);

const BEGINS_MS = [7_000, 12_000, 17_000];
/** A window after the first requests. */
const OUTAGE_FROM_MS = 14_000;
/** Time in which the fleet takes what its budget allows. */
const REPEATING_MS = 3_000;
const DOWN_MS = 400;
const RESTART_INTERVAL_MS = 1_000;
/** Shorter than callers wait for an answer. */
const HELD_MS = 5_500;
/** Engines accept nothing for so long. */
const DEAF_MS = 3_000;
/** Longer than an attempt at an engine that is silent is waited for. */
const LONG_DEAF_MS = 5_500;
const DRAINED_MS = 700;
const SHORT_CUT_MS = 12_000;
/** Longer than a silent daemon stays a member. */
const LONG_CUT_MS = 40_000;

const ALL = Array.from({ length: DAEMONS }, (_, index) => index);
/** The daemons of the first of four failure domains. */
const FIRST_DOMAIN = ALL.filter((index) => index % 4 === 0);
const HALF = ALL.slice(0, DAEMONS / 2);

function restart(fleet: TestFleet, daemons: readonly number[]): void {
  for (const daemon of daemons) fleet.killDaemon(daemon);
  fleet.time.after(DOWN_MS, () => {
    for (const daemon of daemons) fleet.startDaemon(daemon);
  });
}

function atEach(
  timesMs: readonly number[],
  run: (at: number) => void,
): (readonly [number, () => void])[] {
  return timesMs.map((atMs, index) => [atMs, () => run(index)] as const);
}

/** Times at which daemons follow each other, `each` of them at a time. */
function inTurn(each: number): number[] {
  const count = Math.ceil(DAEMONS / each);
  return Array.from(
    { length: 2 * count },
    (_, turn) => BEGINS_MS[0]! + turn * RESTART_INTERVAL_MS,
  );
}

function someAt(turn: number, each: number): number[] {
  return ALL.slice(0, each).map((at) => (turn * each + at) % DAEMONS);
}

const EACH = Math.ceil(DAEMONS / 8);

interface Case {
  readonly events: FleetEvents;
  readonly day?: Partial<RepeatsDay>;
}

const CASES: Readonly<Record<string, Case>> = {
  "while nothing happens": { events: () => [] },
  "while half of the daemons are killed and start again": {
    events: (fleet) => atEach(BEGINS_MS, () => restart(fleet, HALF)),
  },
  "while all daemons are killed and start again": {
    events: (fleet) => atEach(BEGINS_MS, () => restart(fleet, ALL)),
  },
  "while all daemons are killed and start again, few requests": {
    events: (fleet) => atEach(BEGINS_MS, () => restart(fleet, ALL)),
    day: { requestsPerDaemonPerS: 3 },
  },
  "while all daemons are killed and start again, many requests": {
    events: (fleet) => atEach(BEGINS_MS, () => restart(fleet, ALL)),
    day: { requestsPerDaemonPerS: 30 },
  },
  "while daemons are killed and start again in turn": {
    events: (fleet) =>
      atEach(inTurn(EACH), (turn) => restart(fleet, someAt(turn, EACH))),
  },
  "while daemons are killed and start again in turn, few requests": {
    events: (fleet) =>
      atEach(inTurn(EACH), (turn) => restart(fleet, someAt(turn, EACH))),
    day: { requestsPerDaemonPerS: 3 },
  },
  "while daemons drain and start again in turn": {
    events: (fleet) =>
      atEach(inTurn(EACH), (turn) => {
        const daemons = someAt(turn, EACH);
        for (const daemon of daemons) fleet.stopDaemon(daemon);
        fleet.time.after(DRAINED_MS, () => {
          for (const daemon of daemons) fleet.startDaemon(daemon);
        });
      }),
    day: { lengthMs: 40_000 },
  },
  "after half of the daemons have drained": {
    events: (fleet) => [[BEGINS_MS[0]!, () => {
      for (const daemon of HALF) fleet.stopDaemon(daemon);
    }]],
  },
  "while a failure domain is cut off from the others": {
    events: (fleet) => cutOff(fleet, SHORT_CUT_MS),
    day: { lengthMs: 30_000 },
  },
  "while a failure domain is cut off for longer than members are kept": {
    events: (fleet) => cutOff(fleet, LONG_CUT_MS),
    day: { lengthMs: 60_000 },
  },
  "while all daemons are cut off from each other": {
    events: (fleet) => [[BROKEN_FROM_MS, () => {
      fleet.cutOffGossip(ALL, { together: false });
    }]],
    day: { lengthMs: 60_000 },
  },
  "while half of the daemons are frozen in series": {
    events: (fleet) =>
      atEach(BEGINS_MS, () => {
        for (const daemon of HALF) fleet.freezeDaemon(daemon, 3_000);
      }),
  },
  "while half of the daemons are frozen for longer than members are kept": {
    events: (fleet) => [[BEGINS_MS[0]!, () => {
      for (const daemon of HALF) fleet.freezeDaemon(daemon, LONG_CUT_MS);
    }]],
    day: { lengthMs: 70_000 },
  },
  "while requests wait on their way and come at once": {
    events: (fleet) =>
      atEach([12_000, 24_000], () => fleet.holdRequests(HELD_MS)),
    day: { lengthMs: 45_000 },
  },
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
  "while daemons start again without the store": {
    events: (fleet) => [
      [BEGINS_MS[0]! - 1_000, () => {
        fleet.store.isDown = true;
      }],
      ...atEach(BEGINS_MS, () => restart(fleet, HALF)),
      [25_000, () => {
        fleet.store.isDown = false;
      }],
    ],
    day: { lengthMs: 40_000 },
  },
  "while VMs are replaced by others": {
    events: (fleet) =>
      atEach(inTurn(EACH), (turn) => {
        const replaced = DAEMONS + turn * EACH;
        for (let index = 0; index < EACH; index++) {
          fleet.killDaemon(turn * EACH + index);
          fleet.startDaemon(replaced + index);
        }
      }),
    day: { lengthMs: 40_000 },
  },
};

function cutOff(fleet: TestFleet, durationMs: number) {
  return [
    [BEGINS_MS[0]!, () => {
      fleet.cutOffGossip(FIRST_DOMAIN, { together: true });
    }],
    [BEGINS_MS[0]! + durationMs, () => fleet.healGossip(FIRST_DOMAIN)],
  ] as const;
}

for (const [name, { events, day }] of Object.entries(CASES)) {
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
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
