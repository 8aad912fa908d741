import test from "ava";
import { TestFleet } from "./testing_fleet.ts";

const SEND_INTERVAL_MS = 40;
const NAMED_AT_MS = 4_000;
const STORE_LOST_AT_MS = 5_000;
/** After the bound of 8 s, when daemons send nothing to old weights. */
const LOADED_AT_MS = 14_000;
const END_MS = 22_000;

// Guards against daemons that go on refusing requests as engines have loaded
// new weights unseen: they sent none, so that no answer told them.
for (
  const { daemons, engines } of [
    { daemons: 4, engines: 4 },
    { daemons: 48, engines: 12 },
  ]
) {
  test(`${daemons} daemons that miss a load go on serving soon after it`, async (t) => {
    const fleet = new TestFleet({ daemons, engines });
    const { time } = fleet;
    time.after(NAMED_AT_MS, () => fleet.nameWeights(2));
    time.after(STORE_LOST_AT_MS, () => {
      fleet.store.isDown = true;
    });
    time.after(LOADED_AT_MS, () => {
      for (const engine of fleet.runningEngines()) engine.weights = 2;
    });
    let sent = 0;
    const send = () => {
      fleet.send(sent % daemons, [`rules-${sent % 7}`, `parish-${sent % 61}`]);
      sent += 1;
      time.after(SEND_INTERVAL_MS, send);
    };
    time.after(2_000, send);
    await time.advance(END_MS);

    const late = fleet.outcomes.filter(({ sentAtMs }) =>
      sentAtMs > LOADED_AT_MS + 3_000 && sentAtMs < END_MS - 1_000
    );
    const served = late.filter(({ hasEnded }) => hasEnded);
    t.true(
      served.length >= 0.95 * late.length,
      `${served.length} of ${late.length} served`,
    );
    const tooOld = fleet.arrivals.filter(({ atMs, expects, weights }) =>
      weights === 1 && expects !== 2 && atMs > NAMED_AT_MS + 8_000
    );
    t.deepEqual(tooOld, []);
    const probes = fleet.arrivals.filter(({ atMs, expects, weights }) =>
      weights === 1 && expects === 2 && atMs < LOADED_AT_MS
    );
    const atMost = 100 * (LOADED_AT_MS - NAMED_AT_MS) / 1_000;
    t.true(probes.length <= atMost, `${probes.length} probes`);
  });
}
