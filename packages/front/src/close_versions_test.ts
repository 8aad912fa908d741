import process from "node:process";
import test from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { TestFleet } from "./testing_fleet.ts";

/** `VERSION_SEEDS=1-50` plays other seeds than the few of CI. */
const [FIRST_SEED = 1, LAST_SEED = 8] = (process.env["VERSION_SEEDS"] ?? "1-8")
  .split("-").map(Number);

const DAEMONS = 4;
const ENGINES = 4;
const SEND_INTERVAL_MS = 17;
const REPORT_INTERVAL_MS = 1_200;
const FIRST_NAME_MS = 4_000;
/** No request may begin on older weights this long after newer were named. */
const VERSION_MS = 8_000;
/** Time after the last name in which all engines must have the weights. */
const ALL_MS = 1.5 * VERSION_MS;

type Trouble = (fleet: TestFleet, draw: Draw) => void;
type Draw = (from: number, to: number) => number;

const TROUBLES: readonly Trouble[] = [
  () => {},
  // The daemon that sends the orders ends, and comes back.
  (fleet, draw) => {
    const holder = Number(fleet.rollout.holder?.split("-").at(-1) ?? 0);
    fleet.killDaemon(holder);
    fleet.time.after(draw(200, 2_000), () => fleet.startDaemon(holder));
  },
  // An engine starts again with the weights that it had.
  (fleet, draw) => {
    const engines = fleet.runningEngines();
    const engine = engines[draw(0, engines.length - 1)]!;
    fleet.restart(engine);
    fleet.report(engine);
  },
  // Engines can't report meanwhile.
  (fleet, draw) => {
    fleet.store.isDown = true;
    fleet.time.after(draw(300, 1_500), () => {
      fleet.store.isDown = false;
    });
  },
];

// Guards against an engine that loads a version while newer ones are named
// already, and is then taken to have the newest.
for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
  test.serial(`weights that are named in quick succession reach all engines, seed ${seed}`, async (t) => {
    const random = xoroshiro128plus(seed);
    const draw: Draw = (from, to) => uniformInt(random, from, to);
    const fleet = new TestFleet({
      daemons: DAEMONS,
      engines: ENGINES,
      rollsOut: true,
    });
    const { time } = fleet;
    const every = (intervalMs: number, task: () => void) => {
      task();
      time.after(intervalMs, () => every(intervalMs, task));
    };
    every(REPORT_INTERVAL_MS, () => {
      for (const engine of fleet.runningEngines()) {
        if (!fleet.store.isDown) fleet.report(engine);
      }
    });
    let sent = 0;
    time.after(2_000, () =>
      every(SEND_INTERVAL_MS, () => {
        const segments = [`rules-${sent % 7}`, `parish-${sent % 61}`];
        fleet.send(sent++ % DAEMONS, segments);
      }));
    const namedAtMs = new Map<number, number>([[1, 0]]);
    let atMs = FIRST_NAME_MS;
    const versions = draw(2, 5);
    for (let version = 2; version <= versions + 1; version++) {
      const nameAtMs = atMs;
      namedAtMs.set(version, nameAtMs);
      time.after(nameAtMs, () => fleet.nameWeights(version));
      atMs += draw(100, 3_000);
    }
    const lastNamedAtMs = namedAtMs.get(versions + 1)!;
    // A name that goes back names nothing new.
    if (draw(0, 2) === 0) {
      time.after(lastNamedAtMs + 200, () => fleet.nameWeights(versions));
    }
    const trouble = TROUBLES[draw(0, TROUBLES.length - 1)]!;
    time.after(
      draw(FIRST_NAME_MS, lastNamedAtMs + 500),
      () => trouble(fleet, draw),
    );
    await time.advance(lastNamedAtMs + ALL_MS);

    const newest = versions + 1;
    const engineWeights = fleet.runningEngines().map(({ weights }) => weights);
    t.deepEqual(engineWeights, engineWeights.map(() => newest));
    const late = fleet.outcomes.filter(({ sentAtMs }) =>
      sentAtMs > time.nowMs - 3_000 && sentAtMs < time.nowMs - 1_000
    );
    const served = late.filter(({ hasEnded }) => hasEnded);
    t.true(
      served.length >= 0.9 * late.length,
      `${served.length} of ${late.length} late requests served`,
    );
    const old = fleet.arrivals.filter(({ weights, atMs }) => {
      const replacedAtMs = namedAtMs.get(weights + 1);
      return replacedAtMs !== undefined && atMs > replacedAtMs + VERSION_MS;
    });
    t.deepEqual(old, [], "requests at engines with weights replaced long ago");
  });
}
