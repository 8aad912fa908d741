import test from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { DAEMONS, ENGINES, SEEDS } from "./testing_courses.ts";
import { FORMS } from "./testing_cuts.ts";
import type { TestFleet } from "./testing_fleet.ts";
import type { Draw } from "./testing_gossip_links.ts";
import { playRepeats, worstWindow } from "./testing_repeats.ts";

const FIRST_MS = 5_000;
const LAST_MS = 45_000;
const LENGTH_MS = 60_000;
const MIN_TROUBLES = 4;
const MAX_TROUBLES = 12;
const LONGEST_MS = 15_000;
/** Requests wait no longer on their way than their callers do. */
const LONGEST_HOLD_MS = 5_500;

type Trouble = (fleet: TestFleet, draw: Draw) => void;

function someDaemons({ daemonCount }: TestFleet, draw: Draw): number[] {
  const count = draw(1, daemonCount);
  const first = draw(0, daemonCount - 1);
  return Array.from({ length: count }, (_, at) => (first + at) % daemonCount);
}

function someEngine(fleet: TestFleet, draw: Draw) {
  const running = fleet.runningEngines();
  return running[draw(0, running.length - 1)];
}

/** What may befall a fleet; several may overlap. */
const TROUBLES: Readonly<Record<string, Trouble>> = {
  "daemons are killed and start again": (fleet, draw) => {
    for (const daemon of someDaemons(fleet, draw)) {
      fleet.killDaemon(daemon);
      fleet.time.after(draw(100, 4_000), () => start(fleet, daemon));
    }
  },
  "a daemon is killed again and again": (fleet, draw) => {
    const daemon = draw(0, fleet.daemonCount - 1);
    for (let times = draw(2, 8), atMs = 0; times > 0; times--) {
      atMs += draw(300, 2_000);
      fleet.time.after(atMs, () => {
        fleet.killDaemon(daemon);
        fleet.time.after(100, () => start(fleet, daemon));
      });
    }
  },
  "daemons drain and start again": (fleet, draw) => {
    for (const daemon of someDaemons(fleet, draw)) {
      fleet.time.after(draw(0, 3_000), () => {
        fleet.stopDaemon(daemon, () => {
          fleet.time.after(draw(100, 3_000), () => start(fleet, daemon));
        });
      });
    }
  },
  "daemons are frozen": (fleet, draw) => {
    const durationMs = draw(300, LONGEST_MS);
    for (const daemon of someDaemons(fleet, draw)) {
      fleet.freezeDaemon(daemon, durationMs);
    }
  },
  "daemons are cut off from each other": (fleet, draw) => {
    const daemons = someDaemons(fleet, draw);
    fleet.cutOffGossip(daemons, { together: draw(0, 1) === 0 });
    fleet.time.after(draw(300, LONGEST_MS), () => fleet.healGossip(daemons));
  },
  "daemons are cut off from all servers": (fleet, draw) => {
    const daemons = someDaemons(fleet, draw);
    fleet.cutOff(daemons, FORMS[draw(0, FORMS.length - 1)]!);
    fleet.time.after(draw(300, LONGEST_MS), () => fleet.heal(daemons));
  },
  "the store is away": (fleet, draw) => {
    fleet.store.isDown = true;
    fleet.time.after(draw(300, LONGEST_MS), () => {
      fleet.store.isDown = false;
    });
  },
  "a VM is replaced by another": (fleet, draw) => {
    fleet.killDaemon(draw(0, fleet.daemonCount - 1));
    fleet.startDaemon(fleet.daemonCount);
  },
  "requests wait on their way": (fleet, draw) =>
    fleet.holdRequests(draw(300, LONGEST_HOLD_MS)),
  "a server crashes": (fleet, draw) => {
    const engine = someEngine(fleet, draw);
    if (engine !== undefined) fleet.crash(engine);
  },
  "a server turns requests away": (fleet, draw) => {
    const engine = someEngine(fleet, draw);
    if (engine === undefined) return;
    engine.asksForQuietMs = draw(100, 1_000);
    fleet.time.after(draw(500, LONGEST_MS), () => {
      engine.asksForQuietMs = undefined;
    });
  },
};

function start(fleet: TestFleet, daemon: number): void {
  if (!fleet.isRunning(daemon)) fleet.startDaemon(daemon);
}

for (const seed of SEEDS) {
  test.serial(`repeats stay within the fleet's budget while troubles overlap, seed ${seed}`, async (t) => {
    const random = xoroshiro128plus(seed);
    const draw: Draw = (from, to) => uniformInt(random, from, to);
    const names = Object.keys(TROUBLES);
    const drawn = Array.from(
      { length: draw(MIN_TROUBLES, MAX_TROUBLES) },
      () => ({
        atMs: draw(FIRST_MS, LAST_MS),
        name: names[draw(0, names.length - 1)]!,
      }),
    ).sort((a, b) => a.atMs - b.atMs);
    t.log(drawn.map(({ atMs, name }) => `${atMs} ${name}`).join("; "));
    const fleet = await playRepeats(
      {
        seed,
        daemons: DAEMONS,
        engines: ENGINES,
        requestsPerDaemonPerS: draw(2, 20),
        lengthMs: LENGTH_MS,
      },
      (playing) =>
        drawn.map(({ atMs, name }) => [
          atMs,
          () => TROUBLES[name]!(playing, draw),
        ]),
    );
    const { repeats, allowed, endMs } = worstWindow(fleet);
    t.log(`${repeats} repeats, ${allowed.toFixed(0)} allowed at ${endMs} ms`);
    t.true(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
  });
}
