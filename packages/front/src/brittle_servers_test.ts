import test from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { TestFleet } from "./testing_fleet.ts";

const ENGINES = 6;
const SLOTS = 6;
/** Time that an engine works on a request. */
const WORK_MS = 360;
const CONTACT_MS = 3_000;
const BRITTLE_AT_MS = 6_000;
const END_MS = 26_000;
/** The users' bound on falls. */
const MAX_FALLS = 2 + ENGINES / 10;
const SEEDS = [1, 2, 3];

// Guards against daemons that each send a brittle engine what it has room for:
// it turns requests away, falls over, and its work makes the next one fall.
for (
  const [what, day] of Object.entries({
    "8 daemons, 3 rejections": { daemons: 8, bearsPerS: 3, load: 0.6 },
    "8 daemons, 1 rejection": { daemons: 8, bearsPerS: 1, load: 0.6 },
    "8 daemons, 10 rejections, a burst": {
      daemons: 8,
      bearsPerS: 10,
      load: 1.5,
    },
    "8 daemons, 3 rejections, a burst": { daemons: 8, bearsPerS: 3, load: 1.5 },
    "24 daemons, 3 rejections": { daemons: 24, bearsPerS: 3, load: 0.6 },
    // More daemons than places.
    "40 daemons, 1 rejection": { daemons: 40, bearsPerS: 1, load: 0.6 },
  })
) {
  for (const seed of SEEDS) {
    test.serial(`brittle engines don't fall over: ${what}, seed ${seed}`, async (t) => {
      const random = xoroshiro128plus(seed);
      const draw = (count: number) => uniformInt(random, 0, count - 1);
      const fleet = new TestFleet({
        daemons: day.daemons,
        engines: ENGINES,
        kind: "at_most_once",
        slots: SLOTS,
      });
      const { time } = fleet;
      const meanPauseMs = WORK_MS / (ENGINES * SLOTS * day.load);
      // A third of the daemons gets a half of the requests.
      const busy = Math.max(1, Math.floor(day.daemons / 3));
      const send = () => {
        const pauseMs = -Math.log((draw(1_000) + 1) / 1_001) * meanPauseMs;
        time.after(pauseMs, send);
        fleet.send(draw(2) === 0 ? draw(busy) : draw(day.daemons), []);
      };
      time.after(1_500, send);
      time.after(BRITTLE_AT_MS, () => {
        fleet.brittle = { bearsPerS: day.bearsPerS, room: 2 * SLOTS };
      });
      time.after(BRITTLE_AT_MS + CONTACT_MS, () => {
        fleet.brittle = { bearsPerS: day.bearsPerS, room: 1 };
      });
      // One engine ends, and its work goes elsewhere.
      time.after(BRITTLE_AT_MS + 8_000, () => {
        fleet.crash(fleet.runningEngines()[0]!);
      });
      await time.advance(END_MS);
      const { fallAtMs } = fleet;
      t.true(fallAtMs.length <= MAX_FALLS, `${fallAtMs.length} falls`);
      const sent = fleet.outcomes.filter(({ sentAtMs }) =>
        sentAtMs > BRITTLE_AT_MS + CONTACT_MS && sentAtMs < END_MS - 1_000
      );
      const served = sent.filter(({ hasEnded }) => hasEnded).length;
      t.true(served >= sent.length / 2, `${served} of ${sent.length} served`);
      t.log(`${fallAtMs.length} falls, ${served} of ${sent.length} served`);
    });
  }
}
