import test, { type ExecutionContext } from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type FleetOptions, type Outcome, TestFleet } from "./testing_fleet.ts";

const SEEDS = [1, 2, 3];
/** Time after which every daemon must know; the users' bound. */
const CONTACT_MS = 3_000;
/** Crashes and further requests that the users allow. */
const MAX_CRASHES = 5;
const MAX_LATER_ARRIVALS = 3;
const SOUND_INTERVAL_MS = 20;
const REPEAT_DELAY_MS = 300;

interface Day extends FleetOptions {
  readonly seed: number;
  readonly deadlySegments: readonly string[];
  /** The shared segments of a prompt with the deadly one. */
  readonly deadlyPrompt: (deadly: string) => readonly string[];
  readonly deadlyPerS: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

const DAY: Omit<Day, "seed"> = {
  daemons: 8,
  engines: 12,
  deadlySegments: ["deadly"],
  deadlyPrompt: (deadly) => ["rulebook-0", "parish-0", deadly],
  deadlyPerS: 0.65,
  fromMs: 4_000,
  untilMs: 26_000,
};

class Traffic {
  readonly fleet: TestFleet;
  readonly #day: Day;
  readonly #random;
  readonly #first = new Set<Outcome>();

  constructor(day: Day) {
    this.#day = day;
    this.#random = xoroshiro128plus(day.seed);
    this.fleet = new TestFleet(day);
    for (const segment of day.deadlySegments) {
      this.fleet.deadlySegments.add(segment);
    }
  }

  async play(events: readonly (readonly [number, () => void])[] = []) {
    const { time } = this.fleet;
    for (const [atMs, run] of events) time.after(atMs, run);
    await time.advance(1_500);
    this.#sendSound();
    const { fromMs, deadlySegments } = this.#day;
    for (const segment of deadlySegments) {
      time.after(fromMs - time.nowMs, () => this.#sendDeadly(segment));
    }
    await time.advance(32_000);
  }

  /** Requests with the segment that were sent to engines after the time. */
  arrivalsAfter(segment: string, afterMs: number) {
    return this.fleet.arrivals.filter(({ atMs, segments }) =>
      atMs > afterMs && segments.includes(segment)
    );
  }

  /** Share of the sound requests with the segment that began at once. */
  soundShare(segment: string, span: readonly [number, number]): number {
    const sound = [...this.#first].filter(({ sentAtMs, segments }) =>
      sentAtMs >= span[0] && sentAtMs < span[1] && segments.includes(segment) &&
      !segments.some((id) => this.fleet.deadlySegments.has(id))
    );
    const begun = sound.filter(({ begunAtMs }) => begunAtMs !== undefined);
    return begun.length / sound.length;
  }

  #draw(count: number): number {
    return uniformInt(this.#random, 0, count - 1);
  }

  #sendSound(): void {
    const { time, daemonCount } = this.fleet;
    time.after(SOUND_INTERVAL_MS, () => this.#sendSound());
    const segments = [`rulebook-${this.#draw(4)}`, `parish-${this.#draw(60)}`];
    this.#sendAndRepeat(this.#draw(daemonCount), segments);
  }

  #sendDeadly(segment: string): void {
    const { deadlyPerS, deadlyPrompt, untilMs } = this.#day;
    const { time, daemonCount } = this.fleet;
    if (time.nowMs > untilMs) return;
    const pauseMs = -Math.log((this.#draw(1_000) + 1) / 1_001) * 1_000 /
      deadlyPerS;
    time.after(pauseMs, () => this.#sendDeadly(segment));
    this.#sendAndRepeat(this.#draw(daemonCount), deadlyPrompt(segment));
  }

  /** Sends a request, and again at another daemon if it had no answer. */
  #sendAndRepeat(daemon: number, segments: readonly string[]): void {
    const { fleet } = this;
    const outcome = fleet.send(daemon, segments);
    this.#first.add(outcome);
    fleet.time.after(2_000 + REPEAT_DELAY_MS, () => {
      if (outcome.hasEnded) return;
      fleet.send((daemon + 1) % fleet.daemonCount, segments);
    });
  }
}

/** Checks the users' bounds on further crashes and on sound requests. */
function checkContained(t: ExecutionContext, traffic: Traffic, day: Day): void {
  const { crashAtMs } = traffic.fleet;
  for (const segment of day.deadlySegments) {
    const boundMs = (crashAtMs[MAX_CRASHES - 1] ?? day.untilMs) + CONTACT_MS;
    const later = traffic.arrivalsAfter(segment, boundMs);
    t.true(
      later.length <= MAX_LATER_ARRIVALS,
      `${later.length} requests with "${segment}" reached engines later than ` +
        `${boundMs} ms, ${crashAtMs.length} engines ended, seed ${day.seed}`,
    );
  }
  const settledMs = (crashAtMs[MAX_CRASHES - 1] ?? crashAtMs.at(-1) ?? 0) +
    2 * CONTACT_MS;
  const before = traffic.soundShare("rulebook-0", [1_500, day.fromMs]);
  const after = traffic.soundShare("rulebook-0", [settledMs, day.untilMs]);
  t.true(after >= before / 2, `${after} of sound requests began at once`);
}

for (const seed of SEEDS) {
  test(`a prompt segment that crashes engines soon reaches none, seed ${seed}`, async (t) => {
    const day = { ...DAY, seed };
    const traffic = new Traffic(day);
    await traffic.play();
    checkContained(t, traffic, day);
  });
}

const VARIED: Readonly<Record<string, Partial<Day>>> = {
  "two deadly segments at once": {
    deadlySegments: ["deadly", "fatal"],
    deadlyPrompt: (deadly) => ["rulebook-0", `parish-${deadly.length}`, deadly],
  },
  "a deadly segment that comes often": { deadlyPerS: 15 },
  "a deadly first segment": {
    deadlyPrompt: (deadly) => [deadly, "rulebook-0", "parish-0"],
  },
  "a deadly segment amid prompts that can't be resumed": { kind: "stream" },
};

for (const [name, fields] of Object.entries(VARIED)) {
  test(`${name} soon reaches no engine`, async (t) => {
    const day = { ...DAY, seed: 4, ...fields };
    const traffic = new Traffic(day);
    await traffic.play();
    checkContained(t, traffic, day);
  });
}

test("a fleet that starts again as a whole sends no deadly segment to engines", async (t) => {
  const day = { ...DAY, seed: 5, deadlyPerS: 3 };
  const traffic = new Traffic(day);
  const { fleet } = traffic;
  const all = Array.from({ length: day.daemons }, (_, index) => index);
  const restartAtMs = 14_000;
  await traffic.play([
    [restartAtMs, () => all.forEach((index) => fleet.killDaemon(index))],
    [restartAtMs + 500, () => all.forEach((index) => fleet.startDaemon(index))],
  ]);
  checkContained(t, traffic, day);
  t.deepEqual(traffic.arrivalsAfter("deadly", restartAtMs + CONTACT_MS), []);
});

test("a fleet that starts again after the store lost its quarantines sends no deadly segment to engines", async (t) => {
  const day = { ...DAY, seed: 8, deadlyPerS: 3 };
  const traffic = new Traffic(day);
  const { fleet } = traffic;
  const all = Array.from({ length: day.daemons }, (_, index) => index);
  const restartAtMs = 14_800;
  await traffic.play([
    [12_000, () => fleet.store.restore({ copyAgeMs: 11_000, awayMs: 1_000 })],
    [restartAtMs, () => all.forEach((index) => fleet.killDaemon(index))],
    [restartAtMs + 500, () => all.forEach((index) => fleet.startDaemon(index))],
  ]);
  checkContained(t, traffic, day);
  t.deepEqual(traffic.arrivalsAfter("deadly", restartAtMs), []);
});

test("a daemon that starts while the store is down learns of a deadly segment from its peers", async (t) => {
  const day = { ...DAY, seed: 6, deadlyPerS: 3 };
  const traffic = new Traffic(day);
  const { fleet } = traffic;
  const restartAtMs = 14_000;
  await traffic.play([
    [3_000, () => fleet.store.isDown = true],
    [restartAtMs, () => fleet.killDaemon(0)],
    [restartAtMs + 500, () => fleet.startDaemon(0)],
  ]);
  checkContained(t, traffic, day);
});

test("engines that end by themselves, one after the other or together, block no prompt", async (t) => {
  const day = { ...DAY, seed: 7, deadlySegments: [] };
  const traffic = new Traffic(day);
  const { fleet } = traffic;
  const ends = Array.from(
    { length: 12 },
    (_, index) =>
      [
        4_000 + index * 700,
        () => fleet.crash(fleet.runningEngines()[0]!),
      ] as const,
  );
  const waves = [14_000, 18_000, 22_000].map((atMs) =>
    [
      atMs,
      () =>
        fleet.runningEngines().slice(0, 6).forEach((engine) =>
          fleet.crash(engine)
        ),
    ] as const
  );
  await traffic.play([...ends, ...waves]);
  t.true(fleet.crashAtMs.length >= 24);
  t.deepEqual(fleet.steps.filter(({ step }) => step === "quarantine"), []);
});
