import test, { type ExecutionContext } from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type FleetOptions, TestFleet } from "./testing_fleet.ts";

/** The users' bounds: further requests after the third crash and some time. */
const CONTACT_MS = 3_000;
const MAX_CRASHES = 3;
const MAX_LATER_ARRIVALS = 3;
const FROM_MS = 4_000;
const UNTIL_MS = 24_000;
const SOUND_INTERVAL_MS = 20;
const REPEAT_DELAY_MS = 300;
/** Sound requests that begin, against those before; the users' bound is half. */
const MIN_SOUND_SHARE = 0.5;

interface Day extends FleetOptions {
  readonly seed: number;
  readonly deadlyBodies: readonly string[];
  readonly deadlyPerS: number;
  readonly segments: readonly string[];
}

const DAY: Day = {
  seed: 1,
  daemons: 8,
  engines: 12,
  deadlyBodies: ["deadly"],
  deadlyPerS: 3,
  segments: ["rulebook-0", "parish-0"],
};

type Events = (fleet: TestFleet) => readonly (readonly [number, () => void])[];

async function play(day: Day, events: Events = () => []): Promise<TestFleet> {
  const fleet = new TestFleet(day);
  const { time, daemonCount } = fleet;
  const random = xoroshiro128plus(day.seed);
  const draw = (count: number) => uniformInt(random, 0, count - 1);
  for (const body of day.deadlyBodies) fleet.deadlyBodies.add(body);
  for (const [atMs, run] of events(fleet)) time.after(atMs, run);
  /** Sends a request, and again at another daemon if it had no answer. */
  const send = (segments: readonly string[], body?: string) => {
    const daemon = draw(daemonCount);
    const outcome = fleet.send(daemon, segments, { ...(body && { body }) });
    time.after(2_000 + REPEAT_DELAY_MS, () => {
      if (outcome.hasEnded) return;
      const other = (daemon + 1) % daemonCount;
      fleet.send(other, segments, { body: outcome.body });
    });
  };
  const sendSound = () => {
    send([`rulebook-${draw(4)}`, `parish-${draw(20)}`]);
    time.after(SOUND_INTERVAL_MS, sendSound);
  };
  time.after(1_500, sendSound);
  for (const body of day.deadlyBodies) {
    const sendDeadly = () => {
      if (time.nowMs > UNTIL_MS) return;
      send(day.segments, body);
      const pauseMs = -Math.log((draw(1_000) + 1) / 1_001) * 1_000;
      time.after(pauseMs / day.deadlyPerS, sendDeadly);
    };
    time.after(FROM_MS, sendDeadly);
  }
  await time.advance(30_000);
  return fleet;
}

/** Share of the sound requests sent within the span that were answered. */
function soundShare(fleet: TestFleet, fromMs: number, untilMs: number) {
  const sound = fleet.outcomes.filter(({ sentAtMs, body, segments }) =>
    sentAtMs >= fromMs && sentAtMs < untilMs && !fleet.deadlyBodies.has(body) &&
    segments[0] === "rulebook-0"
  );
  return sound.filter(({ hasEnded }) => hasEnded).length / sound.length;
}

function checkContained(t: ExecutionContext, fleet: TestFleet): void {
  for (const body of fleet.deadlyBodies) {
    const crashes = fleet.deadlyCrashes.filter((crash) => crash.body === body);
    const third = crashes[MAX_CRASHES - 1];
    const boundMs = (third?.atMs ?? UNTIL_MS) + CONTACT_MS;
    const later = fleet.arrivals.filter((arrival) =>
      arrival.body === body && arrival.atMs > boundMs
    );
    t.true(
      later.length <= MAX_LATER_ARRIVALS,
      `${later.length} requests with "${body}" later than ${boundMs} ms, ` +
        `${crashes.length} crashes by it`,
    );
  }
  const lastMs = fleet.deadlyCrashes.at(-1)?.atMs ?? FROM_MS;
  const before = soundShare(fleet, 1_500, FROM_MS);
  const after = soundShare(fleet, lastMs + 2 * CONTACT_MS, UNTIL_MS);
  t.true(after >= MIN_SOUND_SHARE * before, `${after} of sound ones answered`);
}

const KINDS: Readonly<Record<string, Partial<Day>>> = {
  "a plain call that may run once": { kind: "at_most_once", isPlain: true },
  "a plain call that may be repeated": { kind: "repeatable", isPlain: true },
  "a stream on a popular segment": { kind: "resumable_stream" },
  "a stream that can't be resumed": { kind: "stream" },
  "a prompt of one part": { kind: "stream", segments: [] },
};

for (const [name, fields] of Object.entries(KINDS)) {
  for (const seed of [1, 2]) {
    test.serial(`${name} that crashes its servers soon reaches none, seed ${seed}`, async (t) => {
      checkContained(t, await play({ ...DAY, ...fields, seed }));
    });
  }
}

const VARIED: Readonly<Record<string, Partial<Day>>> = {
  "four calls at once": {
    deadlyBodies: ["deadly", "fatal", "lethal", "mortal"],
    deadlyPerS: 1,
  },
  "a call that comes often": { deadlyPerS: 15 },
  "a call that comes seldom": { deadlyPerS: 0.5 },
  "a call to a service with four servers": { engines: 4 },
};

for (const [name, fields] of Object.entries(VARIED)) {
  test.serial(`${name}, may run once, soon reaches no server`, async (t) => {
    const plain = { kind: "at_most_once", isPlain: true } as const;
    checkContained(t, await play({ ...DAY, ...plain, ...fields, seed: 3 }));
  });
}

const all = (fleet: TestFleet, act: (daemon: number) => void) => () => {
  for (let daemon = 0; daemon < fleet.daemonCount; daemon++) act(daemon);
};

const DISTURBED: Readonly<Record<string, Events>> = {
  "the whole fleet starts again": (fleet) => [
    [14_000, all(fleet, (daemon) => fleet.killDaemon(daemon))],
    [14_500, all(fleet, (daemon) => fleet.startDaemon(daemon))],
  ],
  "the store is away and a daemon starts again": (fleet) => [
    [3_000, () => fleet.store.isDown = true],
    [14_000, () => fleet.killDaemon(0)],
    [14_500, () => fleet.startDaemon(0)],
  ],
  "half of the VMs reach no server": (fleet) => [
    [3_000, () => fleet.cutOff([0, 2, 5, 7], "silent")],
    [13_000, () => fleet.heal([0, 2, 5, 7])],
  ],
};

for (const [name, events] of Object.entries(DISTURBED)) {
  test.serial(`a deadly call soon reaches no server while ${name}`, async (t) => {
    const plain = { kind: "at_most_once", isPlain: true } as const;
    checkContained(t, await play({ ...DAY, ...plain, seed: 4 }, events));
  });
}

test.serial("engines that end by themselves block no call", async (t) => {
  const day: Day = {
    ...DAY,
    kind: "at_most_once",
    isPlain: true,
    deadlyBodies: [],
    seed: 5,
  };
  const fleet = await play(
    day,
    (world) =>
      Array.from({ length: 12 }, (_, index) => [
        4_000 + index * 700,
        () => world.crash(world.runningEngines()[0]!),
      ]),
  );
  t.deepEqual(fleet.steps.filter(({ step }) => step === "quarantine"), []);
});
