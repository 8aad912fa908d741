import test from "ava";
import {
  FleetModel,
  type FleetModelOptions,
  type ModelDaemon,
} from "./testing_fleet_model.ts";

const FLEET_SIZE = 195;
/** Daemons that start together know each other by then. */
const SETTLING_MS = 9_000;
const LOOKS = 10;
const LOOK_INTERVAL_MS = 300;
/** `reachable` counts a daemon as silent after this long with relays. */
const SILENCE_TIMEOUT_MS = 3_200;
const COUNTS = [
  "received",
  "receivedMessages",
  "sent",
  "sentBytes",
  "relayedBytes",
  "requests",
  "dropped",
] as const;

/** What the daemons of a fleet know of each other, at moments of 3 s. */
function lookOver3s(options: FleetModelOptions) {
  const model = new FleetModel(FLEET_SIZE, options);
  model.run(SETTLING_MS);
  const before = model.daemons.map((daemon) => ({ ...daemon }));
  const agesMs: number[] = [];
  let lowestReachable = FLEET_SIZE;
  for (let look = 0; look < LOOKS; look++) {
    model.run(LOOK_INTERVAL_MS);
    for (const ageMs of model.agesMs(true)) agesMs.push(ageMs);
    for (const ageMs of model.agesMs(false)) agesMs.push(ageMs);
    for (const { fleet } of model.daemons) {
      const reachable = fleet.reachable(model.nowMs).length + 1;
      lowestReachable = Math.min(lowestReachable, reachable);
    }
  }
  agesMs.sort((a, b) => a - b);
  const isRelay = ({ fleet, address }: ModelDaemon) =>
    fleet.relayPlan(address, model.nowMs)?.isRelay === true;
  return {
    p50Ms: agesMs[agesMs.length >> 1]!,
    p99Ms: agesMs[Math.floor(agesMs.length * 0.99)]!,
    maxMs: agesMs.at(-1)!,
    lowestReachable,
    relaysPerS: meanPerS(model, before, isRelay),
    othersPerS: meanPerS(model, before, (daemon) => !isRelay(daemon)),
  };
}

/** What each of the chosen daemons has sent and received in a second. */
function meanPerS(
  model: FleetModel,
  before: readonly ModelDaemon[],
  isChosen: (daemon: ModelDaemon) => boolean,
) {
  const chosen = model.daemons.flatMap((daemon, index) =>
    isChosen(daemon) ? [{ daemon, earlier: before[index]! }] : []
  );
  const seconds = LOOKS * LOOK_INTERVAL_MS / 1_000;
  return Object.fromEntries(COUNTS.map((key) => {
    const sum = chosen.reduce(
      (sum, { daemon, earlier }) => sum + daemon[key] - earlier[key],
      0,
    );
    return [key, Math.round(sum / seconds / chosen.length)];
  }));
}

/** A play of 195 daemons takes a minute on a busy machine. */
const PLAY_TIMEOUT_MS = 600_000;

test("every daemon hears each failure domain before its silence timeout on idle links with short queues", (t) => {
  t.timeout(PLAY_TIMEOUT_MS);
  const found = lookOver3s({
    lossShare: 0,
    linkMbps: 20,
    linkQueueBytes: 16_384,
  });
  t.log(found);
  t.true(found.maxMs < SILENCE_TIMEOUT_MS);
  t.is(found.lowestReachable, FLEET_SIZE);
});

test("every daemon hears each failure domain before its silence timeout on slow links that lose a twentieth", (t) => {
  t.timeout(PLAY_TIMEOUT_MS);
  const found = lookOver3s({
    lossShare: 0.05,
    linkMbps: 14,
    linkQueueBytes: 32_768,
    serversPerDaemon: 8,
  });
  t.log(found);
  t.true(found.maxMs < SILENCE_TIMEOUT_MS);
  t.is(found.lowestReachable, FLEET_SIZE);
});
