/**
 * What may happen to a fleet whose daemons share a limit: kills, drains, pauses,
 * cuts between daemons, and VMs that are replaced.
 *
 * @module
 */

import process from "node:process";
import type { TestFleet } from "./testing_fleet.ts";
import type { FleetEvents } from "./testing_repeats.ts";

/** `FLEET_SEEDS=1-50` and `FLEET_DAEMONS=48` play other fleets than CI's. */
const [FIRST_SEED = 1, LAST_SEED = 2] = (process.env["FLEET_SEEDS"] ?? "1-2")
  .split("-").map(Number);
export const DAEMONS = Number(process.env["FLEET_DAEMONS"] ?? "8");
export const ENGINES = Math.ceil(DAEMONS * 6 / 8);
export const SEEDS: readonly number[] = Array.from(
  { length: LAST_SEED - FIRST_SEED + 1 },
  (_, index) => FIRST_SEED + index,
);

const BEGINS_MS = [7_000, 12_000, 17_000];
const DOWN_MS = 400;
const RESTART_INTERVAL_MS = 1_000;
/** Shorter than callers wait for an answer. */
const HELD_MS = 5_500;
const CUT_FROM_MS = 3_000;
const SHORT_CUT_MS = 12_000;
/** Longer than a silent daemon stays a member. */
const LONG_CUT_MS = 40_000;

export const ALL = Array.from({ length: DAEMONS }, (_, index) => index);
/** The daemons of the first of four failure domains. */
const FIRST_DOMAIN = ALL.filter((index) => index % 4 === 0);
const HALF = ALL.slice(0, DAEMONS / 2);

export function restart(fleet: TestFleet, daemons: readonly number[]): void {
  for (const daemon of daemons) fleet.killDaemon(daemon);
  fleet.time.after(DOWN_MS, () => {
    for (const daemon of daemons) fleet.startDaemon(daemon);
  });
}

export function atEach(
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

/** Daemons that follow each other at a time. */
const EACH = Math.ceil(DAEMONS / 8);

/** A course of events in a fleet. */
export interface Course {
  readonly events: FleetEvents;
  readonly day?: {
    readonly lengthMs?: number;
    readonly requestsPerDaemonPerS?: number;
  };
}

/** Courses of events by what happens in them. */
export const COURSES: Readonly<Record<string, Course>> = {
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
        for (const daemon of someAt(turn, EACH)) {
          fleet.stopDaemon(daemon, () => {
            fleet.time.after(DOWN_MS, () => fleet.startDaemon(daemon));
          });
        }
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
    events: (fleet) => [[CUT_FROM_MS, () => {
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
  "while requests wait for daemons that start again": {
    events: (fleet) =>
      atEach([15_000, 30_000], () => {
        for (const daemon of ALL) fleet.killDaemon(daemon);
        fleet.holdRequests(HELD_MS);
        fleet.time.after(HELD_MS - DOWN_MS, () => {
          for (const daemon of ALL) fleet.startDaemon(daemon);
        });
      }),
    day: { lengthMs: 45_000 },
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
